"""Forwards a request, with retries, until it is answered or fails."""

import logging

import attrs
import curio

from camphorstair.fleet import (
    attempts,
    calls,
    crash_suspects,
    dispatch,
    state,
)
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import ejection, placement, roster, waiting
from camphorstair_runtime import clocks

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Forwarding:
    """Forwards one request in a series of attempts.

    :ivar entry: The entry's state.
    :ivar dispatcher: Assigns endpoints.
    :ivar call: The request.
    :ivar queued_s: Time from the request's arrival to the start of its last
        attempt.
    :ivar move_started: Whether the current attempt was aborted to move its
        stream to another endpoint; its retry was spent when it was aborted.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    call: calls.Call
    queued_s: float = 0
    move_started: bool = False

    async def run(self) -> None:
        """Attempt the request until it is answered or must not be retried.

        :raises errors.RequestError: if no attempt answered it.
        """
        call = self.call
        budget = self.entry.budget(call.service)
        budget.requests.add(clocks.monotonic_s())
        failure = await self._acquire_and_attempt()
        while failure is not None and self._may_retry(failure):
            waiting.set_deadlines(
                call.waiter, call.route, clocks.monotonic_s(), call.deadline_s
            )
            try:
                failure = await self._acquire_and_attempt()
            except errors.RequestError as refusal:
                # The failure of the earlier attempt tells the caller more than
                # the refusal, so it is the one reported.
                _LOG.info(
                    'no other endpoint: %s',
                    refusal,
                    extra={'request': call.caller_headers.attempt},
                )
                break
        if failure is not None:
            await self._give_up(failure)

    async def _acquire_and_attempt(self) -> attempts.AttemptError | None:
        """Wait for an endpoint and make one attempt.

        :returns: Why the attempt failed, or None if it succeeded.
        :raises errors.RequestError: if no endpoint can be used.
        """
        call = self.call
        candidate = await self.dispatcher.acquire(call.service, call.waiter)
        self.queued_s = clocks.monotonic_s() - call.received_s
        try:
            return await self._attempt(candidate)
        finally:
            await self.dispatcher.release(
                call.service, call.organisation, candidate
            )

    async def _attempt(
        self,
        candidate: placement.Candidate,
    ) -> attempts.AttemptError | None:
        """Make an attempt and record its outcome.

        :returns: Why it failed, or None if it succeeded.
        """
        attempt = attempts.Attempt(self.entry, self.call, candidate)
        endpoint = candidate.endpoint.registration.endpoint
        began_s = clocks.monotonic_s()
        try:
            await self._run_movable(attempt, endpoint)
        except curio.CancelledError:
            self._record_unanswered(attempt, began_s)
            raise
        except attempts.AttemptError as failure:
            self._record_failed_attempt(attempt, failure)
            crashed = await crash_suspects.check(self.entry, attempt, failure)
            failure.suspect = crashed and crash_suspects.is_suspect(
                self.entry, attempt
            )
            return failure
        self.call.attempts += 1
        self.call.verdict = verdicts.Verdict.ran
        ejection.record_success(candidate.health, began_s)
        self._record_answer(endpoint, attempt)
        return None

    async def _run_movable(
        self,
        attempt: attempts.Attempt,
        endpoint: str,
    ) -> None:
        """Run an attempt that can be moved to another endpoint meanwhile."""

        def move() -> bool:
            return self._move(attempt)

        moves = self.entry.moves.setdefault(endpoint, [])
        moves.append(move)
        try:
            await attempt.run()
        finally:
            moves.remove(move)
            if not moves:
                self.entry.moves.pop(endpoint, None)

    def _move(self, attempt: attempts.Attempt) -> bool:
        """Abort an attempt so that its stream resumes at another endpoint.

        :returns: Whether it was aborted; False if it is not an open stream,
            is aborted already or must not be retried.
        """
        call = self.call
        if (
            self.move_started
            or attempt.exchange is None
            or not call.streaming()
        ):
            return False
        # call.attempts does not include the current attempt yet.
        if (
            not self._may_send_again(call.attempts + 1)
            or not self._spend_retry()
        ):
            return False
        self.move_started = True
        attempt.abort()
        return True

    def _record_failed_attempt(
        self,
        attempt: attempts.Attempt,
        failure: attempts.AttemptError,
    ) -> None:
        """Record a failed attempt in the call, roster and endpoint's health.

        An attempt that was aborted by the entry, or that the endpoint stopped
        at its deadline, does not count against the endpoint's health.
        """
        call = self.call
        call.sent = False
        call.attempts += failure.sent
        candidate = attempt.candidate
        call.waiter.excluded.add(candidate.endpoint.registration.endpoint)
        call.verdict = verdicts.worst(call.verdict, failure.verdict)
        if failure.misdirected:
            roster.mark_address_taken(self.entry.endpoints, candidate.endpoint)
        if not attempt.left and not failure.timed_out():
            self._record_failure(candidate, str(failure), failure.verdict)

    def _record_unanswered(
        self,
        attempt: attempts.Attempt,
        began_s: float,
    ) -> None:
        """Record a cancelled attempt that had no answer as a failure.

        An attempt is cancelled when its time runs out or the caller
        disconnects. It counts against the endpoint only if an answer was due
        and the endpoints it is compared with show that it hangs.
        """
        now_s = clocks.monotonic_s()
        if attempt.answered or not _answer_due(self.call, now_s):
            return
        candidate = attempt.candidate
        peers = self._service_health()
        if candidate.endpoint.registration.membership is not None:
            # The ranks of a group work in lockstep, and each serves requests in
            # order of arrival, so a rank is compared only with itself.
            peers = [candidate.health]
        if ejection.hangs(peers, began_s, now_s):
            self._record_failure(
                candidate,
                f'no answer in {now_s - began_s:.1f} s',
                verdicts.Verdict.may_have_run,
            )

    def _record_failure(
        self,
        candidate: placement.Candidate,
        reason: str,
        verdict: verdicts.Verdict,
    ) -> None:
        """Count a failure of an endpoint, which may eject it, and log it."""
        ejected = ejection.record_failure(
            candidate.health, self._service_health(), clocks.monotonic_s()
        )
        if ejected:
            self.entry.meters.ejections.add(1)
        _LOG.info(
            'attempt failed: %s',
            reason,
            extra={
                'request': self.call.caller_headers.attempt,
                'endpoint': candidate.endpoint.registration.endpoint,
                'verdict': verdict.value,
                'ejected': ejected,
                'events': self.call.stream.events,
                'prompt': ','.join(self.call.caller_headers.prompt_parts),
            },
        )

    def _service_health(self) -> list[ejection.Health]:
        """Return the health of all usable endpoints of the service."""
        return [
            self.entry.candidate(endpoint).health
            for endpoint in roster.usable(
                self.entry.endpoints, self.call.service
            )
        ]

    def _may_retry(self, failure: attempts.AttemptError) -> bool:
        """Return whether another attempt is made after a failure.

        Spends a retry of the budget, unless the attempt was moved or had sent
        nothing.
        """
        move_started = self.move_started
        self.move_started = False
        if clocks.monotonic_s() >= self.call.deadline_s:
            return False
        if failure.suspect or not self._may_send_again(self.call.attempts):
            return False
        return move_started or not failure.sent or self._spend_retry()

    def _may_send_again(self, attempts_sent: int) -> bool:
        """Return whether the request may be sent once more.

        A stream that the caller has begun to receive can be resumed only if
        its events are numbered.

        :param attempts_sent: Number of attempts that have sent it.
        """
        call = self.call
        if not verdicts.may_retry(
            call.verdict, idempotent=call.route.repeatable()
        ):
            return False
        if (
            call.responder.partially_sent
            or attempts_sent >= call.route.max_attempts
        ):
            return False
        return call.stream.numbered or not call.responder.started

    def _spend_retry(self) -> bool:
        """Spend one retry of this entry's share of the retry budget.

        :returns: Whether a retry was left.
        """
        budget = self.entry.budget(self.call.service)
        max_entries = self.entry.entry_count.bound()
        taken = budget.take(max_entries, clocks.monotonic_s())
        self.entry.meters.retries.add(1, {'taken': taken})
        return taken

    async def _give_up(self, failure: attempts.AttemptError) -> None:
        """Relay the endpoint's error response or raise an error.

        :raises errors.RequestError: if the endpoint sent no complete error
            response or the answer has begun already.
        """
        call = self.call
        if failure.answer is not None and not call.responder.started:
            await call.responder.respond(failure.answer)
            return
        if call.verdict is verdicts.Verdict.not_run:
            raise self.dispatcher.refusal(
                call.service, errors.overloaded, str(failure)
            )
        raise attempts.incomplete_answer_error(str(failure))

    def _record_answer(self, endpoint: str, attempt: attempts.Attempt) -> None:
        """Count, measure and log an answered request."""
        call = self.call
        meters = self.entry.meters
        first_part_s = attempt.first_part_s - call.received_s
        meters.answers.add(1, {'route': call.route.name})
        meters.queued_s.record(self.queued_s)
        meters.first_part_s.record(first_part_s)
        _LOG.info(
            'answered',
            extra={
                'request': call.caller_headers.attempt,
                'route': call.route.name,
                'version': call.version,
                'endpoint': endpoint,
                'attempts': call.attempts,
                'queued_s': round(self.queued_s, 3),
                'first_part_s': round(first_part_s, 3),
                'whole_s': round(clocks.monotonic_s() - call.received_s, 3),
            },
        )


def _answer_due(call: calls.Call, now_s: float) -> bool:
    """Return whether an endpoint should have begun to answer by now.

    Callers disconnect from a stream that sends no event, so for a stream an
    answer is always due. For other requests the endpoint answers at the
    deadline at the latest, if only to report that it stopped.
    """
    return call.streaming() or now_s >= call.deadline_s
