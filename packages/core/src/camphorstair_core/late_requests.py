"""Tells from log lines, second by second, where late requests spent their time."""

import collections

import attrs

from camphorstair_core import request_traces

HEADER = (
    'second               answered  late  refused'
    '  queued_s  failed_s  endpoint_s  skew'
)
_SECOND_CHARACTERS = len('2026-12-04T04:00:00')


@attrs.define
class Second:
    """The requests whose outcome was logged in one second.

    The times are sums over the late requests.

    :ivar answered: Number of requests that were answered.
    :ivar late: Number of these whose first part came late.
    :ivar refused: Number of requests that were refused.
    :ivar queued_s: Time that the late ones waited in their entry.
    :ivar failed_s: Time that their failed attempts took.
    :ivar endpoint_s: Rest of the time until the first part: at the endpoint
        that answered, and on the way.
    :ivar skew: Highest skew of a rank group that a planner logged; 0 if none.
    """

    answered: int = 0
    late: int = 0
    refused: int = 0
    queued_s: float = 0
    failed_s: float = 0
    endpoint_s: float = 0
    skew: float = 0


def summarize(
    lines: list[request_traces.LogLine], limit_s: float
) -> dict[str, Second]:
    """Return the seconds of logs in order, by their time in ISO 8601.

    :param lines: Log lines of entries and agents, in any order.
    :param limit_s: A request is late if its first part took longer.
    """
    failed_s = _failed_attempts_s(lines)
    seconds: dict[str, Second] = collections.defaultdict(Second)
    for line in sorted(lines, key=lambda unsorted: unsorted.time):
        second = seconds[line.time[:_SECOND_CHARACTERS]]
        second.skew = max(second.skew, line.skew)
        second.refused += line.message.startswith(request_traces.REFUSED)
        if line.message == request_traces.ANSWERED:
            second.answered += 1
            if line.first_part_s > limit_s:
                _add_late(second, line, failed_s.get(line.request, 0))
    return dict(seconds)


def table(seconds: dict[str, Second]) -> list[str]:
    """Return a table of the seconds with requests, as lines of text.

    Times are means over the late requests.
    """
    rows = [
        _row(time, second)
        for time, second in seconds.items()
        if second.answered or second.refused
    ]
    return [HEADER, *rows]


def _failed_attempts_s(
    lines: list[request_traces.LogLine],
) -> dict[str, float]:
    """Return how long the failed attempts of each request took."""
    failed_s: dict[str, float] = collections.defaultdict(float)
    for line in lines:
        if line.message.startswith(request_traces.ATTEMPT_FAILED):
            failed_s[line.request] += line.attempt_s
    return failed_s


def _add_late(
    second: Second, line: request_traces.LogLine, failed_s: float
) -> None:
    second.late += 1
    second.queued_s += line.queued_s
    second.failed_s += failed_s
    rest_s = line.first_part_s - line.queued_s - failed_s
    second.endpoint_s += max(0, rest_s)


def _row(time: str, second: Second) -> str:
    counts = f'{second.answered:8}  {second.late:4}  {second.refused:7}'
    late = second.late or 1
    means_s = (
        second.queued_s / late,
        second.failed_s / late,
        second.endpoint_s / late,
    )
    times = '  {:8.3f}  {:8.3f}  {:10.3f}'.format(*means_s)
    return f'{time}  {counts}{times}  {second.skew:4.2f}'
