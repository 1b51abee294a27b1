"""Forwards a request: attempts until it is answered or given up."""

import logging

import attrs
import curio

from camphorstair import attempts, entry_state
from camphorstair_core import (
    affinity,
    answers,
    choice,
    endpoints,
    errors,
    keys,
    messages,
    retries,
    routing,
    verdicts,
)
from camphorstair_runtime import clocks

RETRY_AFTER_S = 1.0
WAIT_S = 0.25
WAIT_LIMIT_S = 10.0
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
    :ivar prefix: Number of the prompt's first part; 0 for none.
    :ivar attempt_count: Attempts so far.
    :ivar wait_deadline_s: Until when a broken answer waits for an endpoint.
    """

    entry: entry_state.Entry
    start: messages.RequestStart
    answer: attempts.Answer
    deadline_s: float
    tried: set[str] = attrs.field(factory=set)
    verdict: verdicts.Verdict = verdicts.Verdict.not_run
    prefix: int = 0
    attempt_count: int = 0
    wait_deadline_s: float = 0

    async def run(self) -> None:
        """Attempt the request until it is answered.

        :raises errors.RequestError: if it is given up.
        """
        in_flight = self.entry.requests_in_flight()
        retries.record_request(self.entry.budget, in_flight)
        retries.record_request(self.entry.failure_budget, in_flight)
        if self.start.path == routing.COMPLETIONS_PATH:
            self.prefix = affinity.prefix_key(self.start.body)
        failure: errors.RequestError | None = None
        while True:
            endpoint = await self._choose(failure)
            try:
                await self._run_attempt(self._attempt(endpoint))
            except errors.RequestError as error:
                failure = error
            else:
                self._note_cached(endpoint)
                return
            self._check_retry(endpoint, failure)

    async def _run_attempt(self, attempt: attempts.Attempt) -> None:
        """Run an attempt until the deadline at most."""
        remaining_s = self.deadline_s - clocks.monotonic_s()
        if remaining_s <= 0:
            raise self._deadline_passed(verdicts.Verdict.not_run)
        try:
            await curio.timeout_after(remaining_s, attempt.run)
        except curio.TaskTimeout as error:
            raise self._deadline_passed(attempt.verdict()) from error

    def _deadline_passed(
        self,
        verdict: verdicts.Verdict,
    ) -> errors.RequestError:
        return errors.RequestError(
            errors.deadline_exceeded,
            'the deadline has passed',
            verdict,
            key_unknown=True,
        )

    async def _choose(
        self,
        failure: errors.RequestError | None,
    ) -> endpoints.Endpoint:
        if keys.keyed(self.start):
            return self._choose_owner(failure)
        endpoint = self._pick()
        while endpoint is None and self._may_wait():
            await curio.sleep(WAIT_S)
            self.tried.clear()
            endpoint = self._pick()
        if endpoint is None:
            raise self._give_up(failure)
        return endpoint

    def _choose_owner(
        self,
        failure: errors.RequestError | None,
    ) -> endpoints.Endpoint:
        endpoint = endpoints.choose_owner(
            self.entry.table,
            self.start,
            failure,
            self.tried,
        )
        if endpoint is None:
            raise self._give_up(failure)
        return endpoint

    def _pick(self) -> endpoints.Endpoint | None:
        criteria = choice.EndpointCriteria(
            self.start.service, self.tried, self.prefix
        )
        return choice.choose(
            self.entry.subset_table,
            self.entry.hints,
            criteria,
            clocks.monotonic_s(),
            self.entry.generator,
        )

    def _note_cached(self, endpoint: endpoints.Endpoint) -> None:
        if self.prefix:
            affinity.record_cached(
                self.entry.hints,
                self.prefix,
                endpoint.vm.name,
                clocks.monotonic_s(),
            )

    def _may_wait(self) -> bool:
        """Tell whether a broken answer may wait for an endpoint.

        A request that no endpoint has begun gets its final answer at once.
        """
        begun = self.verdict is not verdicts.Verdict.not_run
        now_s = clocks.monotonic_s()
        if begun and not self.wait_deadline_s:
            self.wait_deadline_s = min(now_s + WAIT_LIMIT_S, self.deadline_s)
        return begun and now_s < self.wait_deadline_s

    def _attempt(self, endpoint: endpoints.Endpoint) -> attempts.Attempt:
        self.attempt_count += 1
        remaining_s = self.deadline_s - clocks.monotonic_s()
        after_event = self.answer.offset.last_event
        headers = self.start.headers
        if after_event:
            self.entry.instruments.resumed_streams.add(1)
            headers = [pair for pair in headers if pair[0] != 'last-event-id']
        start = attrs.evolve(
            self.start,
            attempt=self.attempt_count,
            headers=headers,
            remaining_ms=max(0, round(remaining_s * _MS_IN_S)),
            after_event=after_event,
        )
        progress = answers.AnswerProgress(start.request_id, self.attempt_count)
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
        if not self._may_go_on(failure):
            raise self._give_up(failure)
        self.entry.instruments.retries.add(1)

    def _may_go_on(self, failure: errors.RequestError) -> bool:
        """Tell whether another attempt is allowed after a failure."""
        if failure.code is errors.deadline_exceeded:
            return False
        if self.answer.streaming and not self.answer.offset.resumable:
            return False
        begun = self.verdict is not verdicts.Verdict.not_run
        most = retries.MAX_RESUMES if begun else retries.MAX_ATTEMPTS
        if self.attempt_count >= most:
            return False
        allowed = verdicts.may_retry(
            failure.verdict,
            idempotent=self.start.idempotent,
        )
        return allowed and self._take_budget(failure, begun=begun)

    def _take_budget(
        self,
        failure: errors.RequestError,
        *,
        begun: bool,
    ) -> bool:
        """Spend a retry; a begun answer's refusals are limited by its wait."""
        if failure.verdict is not verdicts.Verdict.not_run:
            return retries.try_spend(self.entry.failure_budget)
        return begun or retries.try_spend(self.entry.budget)

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
        not_run = self.verdict is verdicts.Verdict.not_run
        if not_run or self.start.idempotent:
            failure.retry_after_s = failure.retry_after_s or RETRY_AFTER_S
        return failure
