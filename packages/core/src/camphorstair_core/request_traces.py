"""Tells from log lines what became of a request, and why."""

from collections import abc

import attrs

ANSWERED = 'answered'
ATTEMPT_FAILED = 'attempt failed: '
REFUSED = 'refused: '
LOST_LINES = 'log lines were left out'
STORE_LOST = 'store does not answer'
CONFIGURATION = 'configuration in force'
# Lines after which an endpoint gets no more requests.
_ENDPOINT_LEAVES = ('endpoint gone', 'endpoint draining', 'data centre out')


@attrs.frozen
class LogLine:
    """What a process logged.

    :ivar time: When, in ISO 8601; sorts by time.
    :ivar node: The VM of the process.
    :ivar message: What happened.
    :ivar request: The identifier of the request; empty if of none.
    :ivar endpoint: The endpoint that it names; empty if none.
    :ivar verdict: Whether the request may have run.
    :ivar attempts: Endpoints that the request was sent to.
    :ivar version: Version of the configuration; 0 if not told.
    """

    time: str
    node: str
    message: str
    request: str = ''
    endpoint: str = ''
    verdict: str = ''
    attempts: int = 0
    version: int = 0


def trace(lines: list[LogLine], request: str) -> list[str]:
    """Return what happened to a request, and the cause of its end.

    :param lines: Lines of all entries.
    :param request: The identifier of the request.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.request == request]
    if not own:
        return _absent(ordered, request)
    told = [_told(line) for line in own]
    before = [line for line in ordered if line.time <= own[-1].time]
    return [*told, *_cause(own, before)]


def _told(line: LogLine) -> str:
    details = ', '.join(
        detail for detail in (line.endpoint, line.verdict) if detail
    )
    suffix = f' ({details})' if details else ''
    return f'{line.time} {line.node} {line.message}{suffix}'


def _absent(lines: list[LogLine], request: str) -> list[str]:
    why = 'the caller left first, its entry was killed, or its log was not read'
    found = [f'no line of request {request}: {why}']
    lost = [line for line in lines if line.message == LOST_LINES]
    return found + [f'{line.time} {line.node} left out lines' for line in lost]


def _cause(own: list[LogLine], before: list[LogLine]) -> list[str]:
    """Return the cause of the end that the last line tells."""
    last = own[-1]
    if last.message == ANSWERED:
        return [f'cause: none; answered by {last.endpoint}']
    if not last.message.startswith(REFUSED):
        return ['cause: the caller left, or its entry was killed, after this']
    code = last.message.removeprefix(REFUSED).partition(':')[0]
    causes = {
        'overloaded': _overloaded,
        'no_endpoint': _no_endpoint,
        'no_configuration': _no_configuration,
        'unauthorized': _by_configuration,
        'unknown_path': _by_configuration,
    }
    return causes.get(code, _after_attempts)(own, before)


def _overloaded(own: list[LogLine], before: list[LogLine]) -> list[str]:
    if _attempts(own):
        return _after_attempts(own, before)
    return ['cause: it waited at the entry and no endpoint was free in time']


def _no_endpoint(own: list[LogLine], before: list[LogLine]) -> list[str]:
    left = _last_of(own[-1].node, before, _ENDPOINT_LEAVES)
    if left is None:
        return ['cause: no endpoint had registered, or its group was closed']
    cause = 'cause: no endpoint was left, or the rank group was closed'
    return [cause, f'the last that went: {_told(left)}']


def _no_configuration(own: list[LogLine], before: list[LogLine]) -> list[str]:
    lost = _last_of(own[-1].node, before, (STORE_LOST,))
    if lost is None:
        return ['cause: the entry had just started']
    nodes = {line.node for line in before}
    silent = {
        line.node for line in before if line.message.startswith(STORE_LOST)
    }
    return [
        f'cause: what the entry knew was too old: {_told(lost)}',
        f'{len(silent)} of {len(nodes)} processes had lost the store',
    ]


def _by_configuration(own: list[LogLine], before: list[LogLine]) -> list[str]:
    used = _last_of(own[-1].node, before, (CONFIGURATION,))
    version = used.version if used else 0
    return [f'cause: version {version} of the configuration does not allow it']


def _after_attempts(own: list[LogLine], _before: list[LogLine]) -> list[str]:
    failed = _attempts(own)
    if not failed:
        return ['cause: its time was over at an endpoint, or before one']
    reason = failed[-1].message.removeprefix(ATTEMPT_FAILED)
    return [f'cause: endpoint {failed[-1].endpoint}: {reason}']


def _attempts(own: list[LogLine]) -> list[LogLine]:
    return [line for line in own if line.message.startswith(ATTEMPT_FAILED)]


def _last_of(
    node: str,
    lines: abc.Sequence[LogLine],
    beginnings: tuple[str, ...],
) -> LogLine | None:
    """Return the last line of a process that begins in one of some ways."""
    found = (
        line
        for line in reversed(lines)
        if line.node == node and line.message.startswith(beginnings)
    )
    return next(found, None)
