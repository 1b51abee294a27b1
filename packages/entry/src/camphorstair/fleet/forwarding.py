"""Forwards a request: attempts until it is answered or given up."""

import logging

import attrs
import curio

from camphorstair.fleet import attempts, calls, dispatch, state
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import ejection, placement, roster
from camphorstair_runtime import clocks

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Forwarding:
    """A request and the attempts at it.

    :ivar entry: The entry's state.
    :ivar dispatcher: Hands out endpoints.
    :ivar call: The request.
    :ivar queued_s: When its last attempt began, after its arrival.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    call: calls.Call
    queued_s: float = 0

    async def run(self) -> None:
        """Attempt the request until it is answered.

        :raises errors.RequestError: if it is given up.
        """
        call = self.call
        budget = self.entry.budget(call.service)
        budget.requests.add(clocks.monotonic_s())
        failure = await self._try_once()
        while failure is not None and self._may_go_on(failure):
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
            await attempt.run()
        except curio.CancelledError:
            self._note_unanswered(attempt, began_s)
            raise
        except attempts.AttemptError as failure:
            self.call.sent = False
            self.call.attempts += failure.sent
            self.call.waiter.excluded.add(endpoint)
            self.call.verdict = verdicts.worst(
                self.call.verdict, failure.verdict
            )
            if not failure.timed_out():
                self._note_failure(candidate, str(failure), failure.verdict)
            return failure
        self.call.attempts += 1
        self.call.verdict = verdicts.Verdict.ran
        ejection.note_success(candidate.health, began_s)
        self._note_answer(endpoint, attempt)
        return None

    def _note_unanswered(
        self,
        attempt: attempts.Attempt,
        began_s: float,
    ) -> None:
        """Note that time ran out, or the caller left, before any answer."""
        now_s = clocks.monotonic_s()
        if not attempt.answered and ejection.hangs(
            self._peers(), began_s, now_s
        ):
            self._note_failure(
                attempt.candidate,
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
        call = self.call
        if not verdicts.may_retry(
            call.verdict, idempotent=call.route.repeatable()
        ):
            return False
        if call.responder.torn or call.attempts >= call.route.max_attempts:
            return False
        if call.responder.started and not call.stream.numbered:
            return False
        if not failure.sent:
            return True
        budget = self.entry.budget(call.service)
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
