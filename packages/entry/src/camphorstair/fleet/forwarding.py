"""Forwards a request, with retries, until it is answered or fails."""

import logging

import attrs
import curio

from camphorstair.fleet import (
    attempt_errors,
    attempt_outcomes,
    attempts,
    calls,
    crash_suspects,
    dispatch,
    reservations,
    state,
)
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import ejection, placement, waiting
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
    :ivar outcomes: Records how its attempts end.
    :ivar moving_to: The endpoint that is reserved for the next attempt, as the
        current one was aborted to move its stream there; its retry was spent
        when it was aborted. None if it was not aborted.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    call: calls.Call
    queued_s: float = 0
    moving_to: placement.Candidate | None = None
    outcomes: attempt_outcomes.OutcomeRecorder = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the recorder of the request's attempts."""
        self.outcomes = attempt_outcomes.OutcomeRecorder(self.entry, self.call)

    async def run(self) -> None:
        """Attempt the request until it is answered or must not be retried.

        :raises errors.RequestError: if no attempt answered it.
        """
        try:
            await self._run()
        finally:
            unused = self._take_reserved()
            if unused is not None:
                await self._release(unused)

    async def _run(self) -> None:
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
            waiting.limit_start(call.waiter, self.entry.stop_s)
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

    async def _acquire_and_attempt(self) -> attempt_errors.AttemptError | None:
        """Wait for an endpoint and make one attempt.

        :returns: Why the attempt failed, or None if it succeeded.
        :raises errors.RequestError: if no endpoint can be used.
        """
        call = self.call
        candidate = self._take_reserved()
        if candidate is None:
            candidate = await self.dispatcher.acquire(call.service, call.waiter)
        self.queued_s = clocks.monotonic_s() - call.received_s
        try:
            return await self._attempt(candidate)
        finally:
            await self._release(candidate)

    def _take_reserved(self) -> placement.Candidate | None:
        """Return the reserved endpoint, which is reserved no more."""
        reserved = self.moving_to
        self.moving_to = None
        return reserved

    async def _release(self, candidate: placement.Candidate) -> None:
        """Free the slot of an endpoint."""
        call = self.call
        await self.dispatcher.release(
            call.service, call.organisation, candidate
        )

    async def _attempt(
        self,
        candidate: placement.Candidate,
    ) -> attempt_errors.AttemptError | None:
        """Make an attempt and record its outcome.

        :returns: Why it failed, or None if it succeeded.
        """
        attempt = attempts.Attempt(self.entry, self.call, candidate)
        endpoint = candidate.endpoint.registration.endpoint
        try:
            await self._run_movable(attempt, endpoint)
        except curio.CancelledError:
            self.outcomes.record_unanswered(attempt)
            raise
        except attempt_errors.AttemptError as failure:
            self.outcomes.record_failed(attempt, failure)
            await crash_suspects.note_answered(self.entry, attempt)
            crashed = await crash_suspects.check(self.entry, attempt, failure)
            failure.suspect = crashed and crash_suspects.must_not_repeat(
                self.entry, attempt
            )
            return failure
        self.call.attempts += 1
        self.call.verdict = verdicts.Verdict.ran
        await crash_suspects.note_answered(self.entry, attempt)
        ejection.record_success(candidate.health, attempt.began_s)
        self.outcomes.record_answered(attempt, self.queued_s)
        self._note_slot_time(attempt)
        return None

    def _note_slot_time(self, attempt: attempts.Attempt) -> None:
        """Note for how long an answer made in one attempt occupied a slot."""
        call = self.call
        if call.attempts == 1 and self.entry.is_ranked(call.service):
            slot_s = clocks.monotonic_s() - attempt.began_s
            self.dispatcher.ranked.note_answered(call.route, call.work, slot_s)

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

        Its slot there is reserved first, so that the stream need not wait and
        can't be refused.

        :returns: Whether it was aborted; False if it is not an open stream,
            is aborted already, must not be retried or has no slot elsewhere.
        """
        call = self.call
        if attempt.left or attempt.exchange is None or not call.streaming():
            return False
        # call.attempts does not include the current attempt yet.
        if not self._may_send_again(call.attempts + 1):
            return False
        free = reservations.find(
            self.dispatcher, call.service, call.waiter, attempt.candidate
        )
        if free is None or not self._spend_retry():
            return False
        reservations.reserve(self.dispatcher, call.service, call.waiter, free)
        self.moving_to = free
        attempt.abort()
        return True

    def _may_retry(self, failure: attempt_errors.AttemptError) -> bool:
        """Return whether another attempt is made after a failure.

        Spends a retry of the budget, unless the attempt was moved or had sent
        nothing.
        """
        if clocks.monotonic_s() >= self.call.deadline_s:
            return False
        if failure.suspect or not self._may_send_again(self.call.attempts):
            return False
        if self.moving_to is not None or not failure.sent:
            return True
        return self._spend_retry()

    def _may_send_again(self, attempts_sent: int) -> bool:
        """Return whether the request may be sent once more.

        A stream that the caller has begun to receive can be resumed only if
        its events are numbered.

        :param attempts_sent: Number of attempts that have sent it.
        """
        call = self.call
        if not verdicts.may_retry(
            call.verdict_now(), idempotent=call.route.repeatable()
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

    async def _give_up(self, failure: attempt_errors.AttemptError) -> None:
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
        raise attempt_errors.incomplete_answer_error(str(failure))
