"""Records how attempts end: in the call, the endpoints' health and the log."""

import logging

import attrs

from camphorstair.fleet import attempt_errors, attempts, calls, state
from camphorstair_core import verdicts
from camphorstair_core.fleet import answer_durations, ejection, roster
from camphorstair_runtime import clocks

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class OutcomeRecorder:
    """Records the outcomes of the attempts at one request.

    :ivar entry: The entry's state.
    :ivar call: The request.
    """

    entry: state.FleetEntry
    call: calls.Call

    def record_failed(
        self,
        attempt: attempts.Attempt,
        failure: attempt_errors.AttemptError,
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
        if failure.withdrawn:
            _LOG.info(
                'attempt withdrawn: %s',
                failure,
                extra={
                    'request': call.caller_headers.attempt,
                    'endpoint': candidate.endpoint.registration.endpoint,
                    'attempt_s': round(
                        clocks.monotonic_s() - attempt.began_s, 3
                    ),
                },
            )
        elif not attempt.left and not failure.timed_out():
            self._record_failure(attempt, str(failure), failure.verdict)

    def record_unanswered(self, attempt: attempts.Attempt) -> None:
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
        if ejection.hangs(peers, attempt.began_s, now_s):
            self._record_failure(
                attempt,
                f'no answer in {now_s - attempt.began_s:.1f} s',
                verdicts.Verdict.may_have_run,
            )

    def record_answered(
        self,
        attempt: attempts.Attempt,
        queued_s: float,
    ) -> None:
        """Count, measure and log an answered request.

        :param attempt: The attempt that answered it.
        :param queued_s: Time from the request's arrival to the attempt.
        """
        call = self.call
        meters = self.entry.meters
        first_part_s = attempt.first_part_s - call.received_s
        whole_s = clocks.monotonic_s() - call.received_s
        answer_durations.record(self.entry.durations, call.route.name, whole_s)
        meters.answers.add(1, {'route': call.route.name})
        meters.queued_s.record(queued_s)
        meters.first_part_s.record(first_part_s)
        _LOG.info(
            'answered',
            extra={
                'request': call.caller_headers.attempt,
                'identity': call.identity,
                'route': call.route.name,
                'version': call.version,
                'endpoint': attempt.candidate.endpoint.registration.endpoint,
                'attempts': call.attempts,
                'queued_s': round(queued_s, 3),
                'first_part_s': round(first_part_s, 3),
                'whole_s': round(whole_s, 3),
            },
        )

    def _record_failure(
        self,
        attempt: attempts.Attempt,
        reason: str,
        verdict: verdicts.Verdict,
    ) -> None:
        """Count a failure of an endpoint, which may eject it, and log it."""
        candidate = attempt.candidate
        now_s = clocks.monotonic_s()
        ejected = ejection.record_failure(
            candidate.health, self._service_health(), now_s
        )
        if ejected:
            self.entry.meters.ejections.add(1)
        _LOG.info(
            'attempt failed: %s',
            reason,
            extra={
                'request': self.call.caller_headers.attempt,
                'identity': self.call.identity,
                'endpoint': candidate.endpoint.registration.endpoint,
                'verdict': verdict.value,
                'ejected': ejected,
                'events': self.call.stream.events,
                'attempt_s': round(now_s - attempt.began_s, 3),
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


def _answer_due(call: calls.Call, now_s: float) -> bool:
    """Return whether an endpoint should have begun to answer by now.

    Callers disconnect from a stream that sends no event, so for a stream an
    answer is always due. For other requests the endpoint answers at the
    deadline at the latest, if only to report that it stopped.
    """
    return call.streaming() or now_s >= call.deadline_s
