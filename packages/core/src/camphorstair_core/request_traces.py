"""Reconstructs the outcome of a request, and its cause, from log lines."""

from collections import abc

import attrs

# Log messages of the entries, or prefixes of them.
ANSWERED = 'answered'
ATTEMPT_FAILED = 'attempt failed: '
REFUSED = 'refused: '
LINES_DROPPED = 'log lines were left out'
STORE_UNAVAILABLE = 'store does not answer'
CONFIGURATION_IN_FORCE = 'configuration in force'
# Prefixes of the messages after which an endpoint gets no more requests.
_ENDPOINT_UNAVAILABLE = (
    'endpoint gone',
    'endpoint draining',
    'data centre out',
)


@attrs.frozen
class LogLine:
    """A line of a process's log.

    :ivar time: Time of the line in ISO 8601; sorts chronologically as text.
    :ivar node: Name of the process's VM.
    :ivar message: The log message.
    :ivar request: Identifier of the request; empty if the line is not about
        a request.
    :ivar endpoint: Name of the endpoint; empty if the line names none.
    :ivar verdict: Whether the endpoint may have run the request; empty if not
        logged.
    :ivar attempts: Number of endpoints that the request was sent to.
    :ivar version: Version of the configuration; 0 if not logged.
    :ivar queued_s: How long the request waited in the entry.
    :ivar first_part_s: Time from its arrival to the first part of the answer.
    :ivar attempt_s: How long a failed attempt took.
    :ivar skew: Load of the busiest rank of a group, as a multiple of the mean;
        0 if not logged.
    """

    time: str
    node: str
    message: str
    request: str = ''
    endpoint: str = ''
    verdict: str = ''
    attempts: int = 0
    version: int = 0
    queued_s: float = 0
    first_part_s: float = 0
    attempt_s: float = 0
    skew: float = 0


def trace(lines: list[LogLine], request: str) -> list[str]:
    """Return the log lines of a request as text, and the cause of its outcome.

    :param lines: Log lines of all entries, in any order.
    :param request: Identifier of the request.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if line.request == request]
    if not request_lines:
        return _explain_absence(ordered, request)
    told = [_format_line(line) for line in request_lines]
    before = [line for line in ordered if line.time <= request_lines[-1].time]
    return [*told, *_find_cause(request_lines, before)]


def _format_line(line: LogLine) -> str:
    """Return a log line as text: time, node, message and details."""
    details = ', '.join(
        detail for detail in (line.endpoint, line.verdict) if detail
    )
    suffix = f' ({details})' if details else ''
    return f'{line.time} {line.node} {line.message}{suffix}'


def _explain_absence(lines: list[LogLine], request: str) -> list[str]:
    """Return the possible reasons why no line of a request was found."""
    reasons = (
        'the caller left first, its entry was killed, or its log was not read'
    )
    explanation = [f'no line of request {request}: {reasons}']
    lost_lines = [line for line in lines if line.message == LINES_DROPPED]
    return explanation + [
        f'{line.time} {line.node} left out lines' for line in lost_lines
    ]


def _find_cause(
    request_lines: list[LogLine], before: list[LogLine]
) -> list[str]:
    """Return the cause of a request's outcome.

    :param request_lines: The lines of the request, in order; the last one
        states the outcome.
    :param before: The lines of all requests up to the last one of
        ``request_lines``.
    """
    last = request_lines[-1]
    if last.message == ANSWERED:
        return [f'cause: none; answered by {last.endpoint}']
    if not last.message.startswith(REFUSED):
        return ['cause: the caller left, or its entry was killed, after this']
    code = last.message.removeprefix(REFUSED).partition(':')[0]
    causes = {
        'overloaded': _cause_overloaded,
        'no_endpoint': _cause_no_endpoint,
        'no_configuration': _cause_no_configuration,
        'unauthorized': _cause_configuration,
        'unknown_path': _cause_configuration,
    }
    return causes.get(code, _cause_from_attempts)(request_lines, before)


def _cause_overloaded(
    request_lines: list[LogLine], before: list[LogLine]
) -> list[str]:
    """Return why a request was refused as ``overloaded``."""
    if _failed_attempts(request_lines):
        return _cause_from_attempts(request_lines, before)
    return ['cause: it waited at the entry and no endpoint was free in time']


def _cause_no_endpoint(
    request_lines: list[LogLine], before: list[LogLine]
) -> list[str]:
    """Return why the entry had no endpoint, with the last one that left."""
    left = _last_line(request_lines[-1].node, before, _ENDPOINT_UNAVAILABLE)
    if left is None:
        return ['cause: no endpoint had registered, or its group was closed']
    cause = 'cause: no endpoint remained, or the rank group was closed'
    return [cause, f'the last that went: {_format_line(left)}']


def _cause_no_configuration(
    request_lines: list[LogLine], before: list[LogLine]
) -> list[str]:
    """Return why the entry had no configuration that was recent enough."""
    lost = _last_line(request_lines[-1].node, before, (STORE_UNAVAILABLE,))
    if lost is None:
        return ['cause: the entry had just started']
    nodes = {line.node for line in before}
    silent = {
        line.node
        for line in before
        if line.message.startswith(STORE_UNAVAILABLE)
    }
    return [
        f"cause: the entry's configuration was too old: {_format_line(lost)}",
        f'{len(silent)} of {len(nodes)} processes had lost the store',
    ]


def _cause_configuration(
    request_lines: list[LogLine], before: list[LogLine]
) -> list[str]:
    """Return the version of the configuration that refused the request."""
    in_force = _last_line(
        request_lines[-1].node, before, (CONFIGURATION_IN_FORCE,)
    )
    version = in_force.version if in_force else 0
    return [f'cause: version {version} of the configuration does not allow it']


def _cause_from_attempts(
    request_lines: list[LogLine], _before: list[LogLine]
) -> list[str]:
    """Return why the last failed attempt at the request failed."""
    failed = _failed_attempts(request_lines)
    if not failed:
        return ['cause: it timed out at an endpoint, or before it reached one']
    reason = failed[-1].message.removeprefix(ATTEMPT_FAILED)
    return [f'cause: endpoint {failed[-1].endpoint}: {reason}']


def _failed_attempts(request_lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of the failed attempts at a request."""
    return [
        line
        for line in request_lines
        if line.message.startswith(ATTEMPT_FAILED)
    ]


def _last_line(
    node: str,
    lines: abc.Sequence[LogLine],
    prefixes: tuple[str, ...],
) -> LogLine | None:
    """Return the last line of a process whose message has one of the prefixes.

    :param node: Name of the process's VM.
    :param lines: Lines in the order of time.
    :param prefixes: The prefixes.
    """
    matching = (
        line
        for line in reversed(lines)
        if line.node == node and line.message.startswith(prefixes)
    )
    return next(matching, None)
