"""Forwards a request: attempts until it is answered or given up."""

import logging

import attrs

from camphorstair import attempts, entry_state
from camphorstair_core import (
    answers,
    endpoints,
    errors,
    keys,
    messages,
    retries,
    verdicts,
)
from camphorstair_runtime import clocks

RETRY_AFTER_S = 1.0
_MS_IN_S = 1000

_LOG = logging.getLogger(__name__)


@attrs.define
class Forwarding:
    """A request on its way.

    :ivar entry: The entry's state.
    :ivar start: The request as it is first sent.
    :ivar answer: What the caller has of the answer.
    :ivar deadline_s: When the caller gives up, on the monotonic clock.
    :ivar tried: Names of endpoints that did not answer it.
    :ivar verdict: What is known of all attempts so far.
    """

    entry: entry_state.Entry
    start: messages.RequestStart
    answer: attempts.Answer
    deadline_s: float
    tried: set[str] = attrs.field(factory=set)
    verdict: verdicts.Verdict = verdicts.Verdict.not_run

    async def run(self) -> None:
        """Attempt the request until it is answered.

        :raises errors.RequestError: if it is given up.
        """
        retries.note_request(self.entry.budget)
        failure: errors.RequestError | None = None
        for number in range(1, retries.MAX_ATTEMPTS + 1):
            endpoint = self._choose(failure)
            try:
                await self._attempt(endpoint, number).run()
            except errors.RequestError as error:
                failure = error
            else:
                return
            self._check_retry(endpoint, failure)
        raise self._give_up(failure)

    def _choose(
        self,
        failure: errors.RequestError | None,
    ) -> endpoints.Endpoint:
        if keys.keyed(self.start):
            endpoint = endpoints.choose_owner(
                self.entry.table,
                self.start,
                failure,
                self.tried,
            )
        else:
            endpoint = endpoints.choose(
                self.entry.table,
                self.start.service,
                self.tried,
                clocks.monotonic_s(),
                self.entry.generator,
            )
        if endpoint is None:
            raise self._give_up(failure)
        return endpoint

    def _attempt(
        self,
        endpoint: endpoints.Endpoint,
        number: int,
    ) -> attempts.Attempt:
        remaining_s = self.deadline_s - clocks.monotonic_s()
        if remaining_s <= 0:
            raise errors.RequestError(
                errors.deadline_exceeded,
                'the deadline has passed',
                self.verdict,
            )
        start = attrs.evolve(
            self.start,
            attempt=number,
            remaining_ms=round(remaining_s * _MS_IN_S),
            after_event=self.answer.last_event,
        )
        progress = answers.AnswerProgress(
            start.request_id,
            number,
            last_event=start.after_event,
        )
        return attempts.Attempt(
            self.entry,
            endpoint,
            start,
            self.answer,
            progress,
        )

    def _check_retry(
        self,
        endpoint: endpoints.Endpoint,
        failure: errors.RequestError,
    ) -> None:
        """Raise the failure unless another attempt is allowed."""
        self.tried.add(endpoint.vm.name)
        self.verdict = verdicts.worst(self.verdict, failure.verdict)
        _LOG.info(
            'attempt failed: %s',
            failure,
            extra={
                'request_id': self.start.request_id,
                'verdict': failure.verdict.value,
            },
        )
        allowed = verdicts.may_retry(
            failure.verdict,
            idempotent=self.start.idempotent,
        )
        if not (allowed and retries.take(self.entry.budget)):
            raise self._give_up(failure)
        self.entry.instruments.retries.add(1)

    def _give_up(
        self,
        failure: errors.RequestError | None,
    ) -> errors.RequestError:
        if failure is None:
            failure = errors.RequestError(
                errors.no_endpoint,
                f'no endpoint of service {self.start.service} takes requests',
                retry_after_s=RETRY_AFTER_S,
                key_unknown=True,
            )
        failure.verdict = self.verdict
        if keys.keyed(self.start) and failure.key_unknown:
            failure.verdict = verdicts.Verdict.may_have_run
            failure.retry_after_s = RETRY_AFTER_S
        if self.verdict is verdicts.Verdict.not_run:
            failure.retry_after_s = failure.retry_after_s or RETRY_AFTER_S
        return failure
