"""Forward a request, with retries, until it is answered or fails."""

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
ENDPOINT_POLL_INTERVAL_S = 0.25
ENDPOINT_WAIT_LIMIT_S = 10.0
_MS_IN_S = 1000

_LOG = logging.getLogger(__name__)


@attrs.define
class Forwarding:
    """A request that is being forwarded, and the state of its attempts.

    :ivar entry: The entry's state.
    :ivar start: The request, as sent in the first attempt.
    :ivar answer: What the caller has received of the response.
    :ivar deadline_s: Deadline of the request, on the monotonic clock.
    :ivar tried: Names of endpoints where an attempt failed.
    :ivar verdict: Worst verdict of all attempts so far.
    :ivar prefix: Key of the prompt's prefix; 0 without one.
    :ivar attempt_count: Number of attempts so far.
    :ivar wait_deadline_s: Until when a request that may have run may wait for
        another endpoint, on the monotonic clock; 0 if not set.
    """

    entry: entry_state.Entry
    start: messages.RequestStart
    answer: attempts.CallerResponse
    deadline_s: float
    tried: set[str] = attrs.field(factory=set)
    verdict: verdicts.Verdict = verdicts.Verdict.not_run
    prefix: int = 0
    attempt_count: int = 0
    wait_deadline_s: float = 0

    async def run(self) -> None:
        """Attempt the request until it is answered or may not be retried.

        :raises errors.RequestError: if the request failed.
        """
        in_flight = self.entry.requests_in_flight()
        retries.record_request(self.entry.budget, in_flight)
        retries.record_request(self.entry.failure_budget, in_flight)
        if self.start.path == routing.COMPLETIONS_PATH:
            self.prefix = affinity.prefix_key(self.start.body)
        failure: errors.RequestError | None = None
        while True:
            endpoint = await self._next_endpoint(failure)
            try:
                await self._run_attempt(self._new_attempt(endpoint))
            except errors.RequestError as error:
                failure = error
            else:
                self._record_cached(endpoint)
                return
            self._check_retry(endpoint, failure)

    async def _run_attempt(self, attempt: attempts.Attempt) -> None:
        """Run an attempt, but cancel it at the request's deadline."""
        remaining_s = self.deadline_s - clocks.monotonic_s()
        if remaining_s <= 0:
            raise self._deadline_error(verdicts.Verdict.not_run)
        try:
            await curio.timeout_after(remaining_s, attempt.run)
        except curio.TaskTimeout as error:
            raise self._deadline_error(attempt.verdict()) from error

    def _deadline_error(
        self,
        verdict: verdicts.Verdict,
    ) -> errors.RequestError:
        return errors.RequestError(
            errors.deadline_exceeded,
            'the deadline has passed',
            verdict,
            key_unknown=True,
        )

    async def _next_endpoint(
        self,
        failure: errors.RequestError | None,
    ) -> endpoints.Endpoint:
        if keys.keyed(self.start):
            return self._choose_owner(failure)
        endpoint = self._choose_endpoint()
        while endpoint is None and self._may_wait():
            await curio.sleep(ENDPOINT_POLL_INTERVAL_S)
            self.tried.clear()
            endpoint = self._choose_endpoint()
        if endpoint is None:
            raise self._final_error(failure)
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
            raise self._final_error(failure)
        return endpoint

    def _choose_endpoint(self) -> endpoints.Endpoint | None:
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

    def _record_cached(self, endpoint: endpoints.Endpoint) -> None:
        if self.prefix:
            affinity.record_cached(
                self.entry.hints,
                self.prefix,
                endpoint.vm.name,
                clocks.monotonic_s(),
            )

    def _may_wait(self) -> bool:
        """Return whether the request may wait for an available endpoint.

        Only a request that may have run waits, until ``ENDPOINT_WAIT_LIMIT_S``
        after the first call of this method. Others fail at once.
        """
        may_have_run = self.verdict is not verdicts.Verdict.not_run
        now_s = clocks.monotonic_s()
        if may_have_run and not self.wait_deadline_s:
            self.wait_deadline_s = min(
                now_s + ENDPOINT_WAIT_LIMIT_S, self.deadline_s
            )
        return may_have_run and now_s < self.wait_deadline_s

    def _new_attempt(self, endpoint: endpoints.Endpoint) -> attempts.Attempt:
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
        """Record and log a failed attempt.

        :raises errors.RequestError: if no further attempt is allowed.
        """
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
        if not self._may_retry(failure):
            raise self._final_error(failure)
        self.entry.instruments.retries.add(1)

    def _may_retry(self, failure: errors.RequestError) -> bool:
        """Return whether another attempt is allowed after a failure.

        Spend a retry of the budget if so.
        """
        if failure.code is errors.deadline_exceeded:
            return False
        if self.answer.streaming and not self.answer.offset.resumable:
            return False
        may_have_run = self.verdict is not verdicts.Verdict.not_run
        max_attempts = (
            retries.MAX_RESUMES if may_have_run else retries.MAX_ATTEMPTS
        )
        if self.attempt_count >= max_attempts:
            return False
        allowed = verdicts.may_retry(
            failure.verdict,
            idempotent=self.start.idempotent,
        )
        return allowed and self._spend_retry(failure, may_have_run=may_have_run)

    def _spend_retry(
        self,
        failure: errors.RequestError,
        *,
        may_have_run: bool,
    ) -> bool:
        """Spend a retry of the budget; return whether one was left.

        An attempt that was not run costs none if an earlier attempt may have
        run: the time that the request may wait for an endpoint limits these
        retries.
        """
        if failure.verdict is not verdicts.Verdict.not_run:
            return retries.try_spend(self.entry.failure_budget)
        return may_have_run or retries.try_spend(self.entry.budget)

    def _final_error(
        self,
        failure: errors.RequestError | None,
    ) -> errors.RequestError:
        """Return the error for the caller when no attempt is left.

        Its verdict covers all attempts. For a keyed request whose key was not
        looked up by the owner, an earlier request may have run.
        """
        if failure is None:
            failure = errors.RequestError(
                errors.no_endpoint,
                f'no endpoint of service {self.start.service} accepts requests',
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
