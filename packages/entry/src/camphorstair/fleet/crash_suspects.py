"""Reports the prompts that were at an engine when its process ended."""

import logging

from camphorstair.fleet import attempts, crash_reporting, state
from camphorstair_core import verdicts

_LOG = logging.getLogger(__name__)


async def check(
    entry: state.FleetEntry,
    attempt: attempts.Attempt,
    failure: attempts.AttemptError,
) -> bool:
    """Find out whether a failed attempt may have crashed its engine.

    If so, the shared parts of its prompt are reported as suspects.

    :returns: Whether the engine's process has ended before the answer had
        made progress.
    """
    call = attempt.call
    parts = call.caller_headers.prompt_parts
    if attempt.progress.proven or attempt.left:
        return False
    if failure.verdict is not verdicts.Verdict.may_have_run:
        return False
    registration = attempt.candidate.endpoint.registration
    if not await entry.crashes.checks.has_ended(registration.address):
        return False
    crash = f'{registration.endpoint}@{registration.born_ms}'
    entry.meters.crashes.add(1)
    _LOG.warning(
        'the engine crashed before it answered',
        extra={
            'request': call.caller_headers.attempt,
            'identity': call.identity,
            'endpoint': registration.endpoint,
            'crash': crash,
            'prompt': ','.join(parts),
            'unanswered': ','.join(_unanswered(entry, parts)),
        },
    )
    if parts:
        await crash_reporting.report_suspects(entry, crash, parts)
    return True


def is_suspect(entry: state.FleetEntry, attempt: attempts.Attempt) -> bool:
    """Return whether some part of a prompt was never answered.

    Such a request is not sent again after it was at an engine that crashed.
    """
    parts = attempt.call.caller_headers.prompt_parts
    return bool(_unanswered(entry, parts))


def _unanswered(
    entry: state.FleetEntry,
    parts: tuple[str, ...],
) -> list[str]:
    return [part for part in parts if not entry.crashes.answered.count(part)]
