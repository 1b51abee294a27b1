"""Reports the requests that were at an endpoint when its process ended."""

import logging

from camphorstair.fleet import (
    attempt_errors,
    attempts,
    crash_reporting,
    state,
)
from camphorstair_core import verdicts
from camphorstair_core.fleet import crash_reports

_LOG = logging.getLogger(__name__)


async def check(
    entry: state.FleetEntry,
    attempt: attempts.Attempt,
    failure: attempt_errors.AttemptError,
) -> bool:
    """Find out whether a failed attempt may have crashed its endpoint.

    If so, the request and the shared parts of its prompt are reported as
    suspects.

    :returns: Whether the endpoint's process has ended before the answer had
        made progress.
    """
    call = attempt.call
    if attempt.progress.proven or attempt.left:
        return False
    if failure.verdict is not verdicts.Verdict.may_have_run:
        return False
    registration = attempt.candidate.endpoint.registration
    if not await entry.crashes.checks.has_ended(registration.address):
        return False
    crash = crash_reports.crash_name(
        registration.endpoint, registration.born_ms
    )
    entry.meters.crashes.add(1)
    _LOG.warning(
        'the endpoint crashed before it answered',
        extra={
            'request': call.caller_headers.attempt,
            'identity': call.identity,
            'repeated': attempt.repeated,
            'endpoint': registration.endpoint,
            'crash': crash,
            'prompt': ','.join(call.caller_headers.prompt_parts),
            'unanswered': ','.join(_unanswered_parts(entry, attempt)),
        },
    )
    repeated = (call.identity,) if attempt.repeated else ()
    await crash_reporting.report_suspects(
        entry, crash, crash_reports.Suspicion(call.waiter.suspects, repeated)
    )
    return True


def must_not_repeat(entry: state.FleetEntry, attempt: attempts.Attempt) -> bool:
    """Return whether a request is not sent again after its endpoint crashed.

    That is so if it was at another endpoint that crashed, if it was a trial, or
    if some part of its prompt was never answered.
    """
    if attempt.repeated or attempt.call.waiter.trials:
        return True
    return bool(_unanswered_parts(entry, attempt))


async def note_answered(
    entry: state.FleetEntry, attempt: attempts.Attempt
) -> None:
    """End the quarantines that an answered request was the trial of."""
    trials = attempt.call.waiter.trials
    if trials and attempt.progress.proven:
        entry.crashes.answered_trials |= trials
        await entry.crashes.news.set()


def _unanswered_parts(
    entry: state.FleetEntry,
    attempt: attempts.Attempt,
) -> list[str]:
    answered = entry.crashes.answered
    parts = attempt.call.caller_headers.prompt_parts
    return [part for part in parts if not answered.count(part)]
