"""Forwards a request: attempts until it is answered or given up."""

import logging

import attrs
import curio

from camphorstair.fleet import attempts, calls, dispatch, state
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import ejection, placement, roster, waiting
from camphorstair_runtime import clocks

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Forwarding:
    """A request and the attempts at it.

    :ivar entry: The entry's state.
    :ivar dispatcher: Hands out endpoints.
    :ivar call: The request.
    :ivar queued_s: When its last attempt began, after its arrival.
    :ivar moving: Whether the present attempt ends for one elsewhere.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    call: calls.Call
    queued_s: float = 0
    moving: bool = False

    async def run(self) -> None:
        """Attempt the request until it is answered.

        :raises errors.RequestError: if it is given up.
        """
        call = self.call
        budget = self.entry.budget(call.service)
        budget.requests.add(clocks.monotonic_s())
        failure = await self._try_once()
        while failure is not None and self._may_go_on(failure):
            waiting.set_deadlines(
                call.waiter, call.route, clocks.monotonic_s(), call.deadline_s
            )
            try:
                failure = await self._try_once()
            except errors.RequestError as refusal:
                # What the attempts before have shown says more to the caller.
                _LOG.info(
                    'no other endpoint: %s',
                    refusal,
                    extra={'request': call.given.attempt},
                )
                break
        if failure is not None:
            await self._give_up(failure)

    async def _try_once(self) -> attempts.AttemptError | None:
        """Wait for an endpoint and make an attempt at it."""
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
        """Make an attempt; return why it failed, or None if it did not."""
        attempt = attempts.Attempt(self.entry, self.call, candidate)
        endpoint = candidate.endpoint.registration.endpoint
        began_s = clocks.monotonic_s()
        try:
            await self._run_movable(attempt, endpoint)
        except curio.CancelledError:
            self._note_unanswered(attempt, began_s)
            raise
        except attempts.AttemptError as failure:
            self._take_failure(attempt, failure)
            return failure
        self.call.attempts += 1
        self.call.verdict = verdicts.Verdict.ran
        ejection.note_success(candidate.health, began_s)
        self._note_answer(endpoint, attempt)
        return None

    async def _run_movable(
        self,
        attempt: attempts.Attempt,
        endpoint: str,
    ) -> None:
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
        """Let a stream go on at another endpoint, if it may."""
        call = self.call
        if self.moving or attempt.exchange is None or not call.streaming():
            return False
        # The present attempt counts once it has ended.
        if not self._may_repeat(call.attempts + 1) or not self._take_repeat():
            return False
        self.moving = True
        attempt.leave()
        return True

    def _take_failure(
        self,
        attempt: attempts.Attempt,
        failure: attempts.AttemptError,
    ) -> None:
        call = self.call
        call.sent = False
        call.attempts += failure.sent
        candidate = attempt.candidate
        call.waiter.excluded.add(candidate.endpoint.registration.endpoint)
        call.verdict = verdicts.worst(call.verdict, failure.verdict)
        if failure.misdirected:
            roster.disprove(self.entry.endpoints, candidate.endpoint)
        if not attempt.left and not failure.timed_out():
            self._note_failure(candidate, str(failure), failure.verdict)

    def _note_unanswered(
        self,
        attempt: attempts.Attempt,
        began_s: float,
    ) -> None:
        """Note that time ran out, or the caller left, before any answer."""
        now_s = clocks.monotonic_s()
        if attempt.answered or not _answer_due(self.call, now_s):
            return
        candidate = attempt.candidate
        peers = self._peers()
        if candidate.endpoint.registration.membership is not None:
            # Ranks work together, and each in the order of arrival.
            peers = [candidate.health]
        if ejection.hangs(peers, began_s, now_s):
            self._note_failure(
                candidate,
                f'no answer in {now_s - began_s:.1f} s',
                verdicts.Verdict.may_have_run,
            )

    def _note_failure(
        self,
        candidate: placement.Candidate,
        reason: str,
        verdict: verdicts.Verdict,
    ) -> None:
        ejected = ejection.note_failure(
            candidate.health, self._peers(), clocks.monotonic_s()
        )
        if ejected:
            self.entry.meters.ejections.add(1)
        _LOG.info(
            'attempt failed: %s',
            reason,
            extra={
                'request': self.call.given.attempt,
                'endpoint': candidate.endpoint.registration.endpoint,
                'verdict': verdict.value,
                'ejected': ejected,
            },
        )

    def _peers(self) -> list[ejection.Health]:
        return [
            self.entry.candidate(one).health
            for one in roster.usable(self.entry.endpoints, self.call.service)
        ]

    def _may_go_on(self, failure: attempts.AttemptError) -> bool:
        """Tell whether another attempt is allowed after a failure."""
        moving = self.moving
        self.moving = False
        if clocks.monotonic_s() >= self.call.deadline_s:
            return False
        if not self._may_repeat(self.call.attempts):
            return False
        return moving or not failure.sent or self._take_repeat()

    def _may_repeat(self, made: int) -> bool:
        """Tell whether the request may be sent once more.

        :param made: Endpoints that it was sent to.
        """
        call = self.call
        if not verdicts.may_retry(
            call.verdict, idempotent=call.route.repeatable()
        ):
            return False
        if call.responder.torn or made >= call.route.max_attempts:
            return False
        return call.stream.numbered or not call.responder.started

    def _take_repeat(self) -> bool:
        """Take a repeat from the budget of all entries, if there is one."""
        budget = self.entry.budget(self.call.service)
        entries = self.entry.entry_count.bound()
        taken = budget.take(entries, clocks.monotonic_s())
        self.entry.meters.repeats.add(1, {'taken': taken})
        return taken

    async def _give_up(self, failure: attempts.AttemptError) -> None:
        """Pass on the endpoint's failure, or raise what is known."""
        call = self.call
        if failure.answer is not None and not call.responder.started:
            await call.responder.respond(failure.answer)
            return
        if call.verdict is verdicts.Verdict.not_run:
            raise self.dispatcher.refusal(
                call.service, errors.overloaded, str(failure)
            )
        raise attempts.broken_answer(str(failure))

    def _note_answer(self, endpoint: str, attempt: attempts.Attempt) -> None:
        call = self.call
        meters = self.entry.meters
        first_part_s = attempt.first_part_s - call.received_s
        meters.answers.add(1, {'route': call.route.name})
        meters.queued_s.record(self.queued_s)
        meters.first_part_s.record(first_part_s)
        _LOG.info(
            'answered',
            extra={
                'request': call.given.attempt,
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
    """Tell whether an endpoint should have said something by now.

    Callers leave a stream that says nothing; else the endpoint says at the
    deadline that it stops.
    """
    return call.streaming() or now_s >= call.deadline_s
