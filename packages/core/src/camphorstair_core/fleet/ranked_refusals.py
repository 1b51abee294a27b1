"""Which waiting requests of a ranked service are refused.

A request that can't be started by its latest useful start makes others wait for
nothing. When such a request is found, the requests with the lowest value for
their work are refused until it can start, or it is refused itself. The value of
a request halves with each priority and when it is late.
"""

import heapq
import zlib
from collections import abc

import attrs

from camphorstair_core.fleet import ranked_order, waiting

# Value of a request relative to one of the next more urgent priority.
VALUE_PER_PRIORITY = 0.5
# Work counts only up to this multiple of the mean of the waiting requests.
MAX_WORK_MEANS = 2
# Work is compared in steps of the mean divided by this number, so that between
# requests of similar size the order decides.
WORK_STEPS_PER_MEAN = 2
# Of this number of large requests, one counts as one of mean size. Otherwise a
# long overload would refuse all large requests before any other.
SHELTERED_OF = 2


@attrs.define
class _Kept:
    """The requests that are kept so far, the least valuable one first.

    :ivar wait_s_of: Returns the expected wait for the work ahead.
    :ivar now_s: The current time.
    :ivar heap: Each with its value for its work and the negative position in
        the order.
    :ivar work_s: Sum of their slot times.
    :ivar work_by_value_s: The same, by value.
    """

    wait_s_of: abc.Callable[[float], float | None]
    now_s: float
    heap: list[tuple[float, int, waiting.Waiter]] = attrs.field(factory=list)
    work_s: float = 0
    work_by_value_s: dict[float, float] = attrs.field(factory=dict)

    def add(self, value: float, position: int, waiter: waiting.Waiter) -> None:
        """Keep a request."""
        heapq.heappush(self.heap, (value, -position, waiter))
        self._count(value, waiter.work_s)

    def can_start(self, waiter: waiting.Waiter, ahead_s: float) -> bool:
        """Return whether a request can start in time after some work."""
        wait_s = self.wait_s_of(max(0, ahead_s))
        if wait_s is None:
            return True
        return self.now_s + wait_s < waiter.latest_useful_start_s

    def make_room(
        self, waiter: waiting.Waiter, value: float
    ) -> list[waiting.Waiter]:
        """Remove less valuable requests until another one can start in time.

        :param waiter: The other request, after all that are kept.
        :param value: Its value for its work.
        :returns: The removed requests.
        """
        removed: list[waiting.Waiter] = []
        while self.heap and self.heap[0][0] < value:
            if self.can_start(waiter, self.work_s):
                break
            kept_value, _, least_valuable = heapq.heappop(self.heap)
            self._count(kept_value, -least_valuable.work_s)
            removed.append(least_valuable)
        return removed

    def work_from_s(self, value: float) -> float:
        """Return the slot time of the requests of at least this value."""
        return sum(
            work_s
            for kept_value, work_s in self.work_by_value_s.items()
            if kept_value >= value
        )

    def _count(self, value: float, work_s: float) -> None:
        self.work_s += work_s
        before_s = self.work_by_value_s.get(value, 0)
        self.work_by_value_s[value] = before_s + work_s


def to_refuse(
    ordered: list[waiting.Waiter],
    wait_s_of: abc.Callable[[float], float | None],
    now_s: float,
) -> list[waiting.Waiter]:
    """Return the requests to refuse, so that all others can start in time.

    A request is refused in favour of a later one only if that one can then
    start.

    :param ordered: The waiting requests in the order of their starts.
    :param wait_s_of: Returns the expected wait of a request from the slot time
        of the requests before it, or None if it is unknown; then nothing is
        refused.
    :param now_s: The current time.
    """
    mean_s = _mean_work_s(ordered)
    kept = _Kept(wait_s_of, now_s)
    refused: list[waiting.Waiter] = []
    for position, waiter in enumerate(ordered):
        value = _value(waiter, mean_s, now_s)
        if not kept.can_start(waiter, kept.work_s):
            if not kept.can_start(waiter, kept.work_from_s(value)):
                refused.append(waiter)
                continue
            refused += kept.make_room(waiter, value)
        kept.add(value, position, waiter)
    return refused


def displaced(
    queue: waiting.Queue,
    newcomer: waiting.Waiter,
    now_s: float,
) -> waiting.Waiter:
    """Return the request to refuse when the queue is full.

    A priority keeps as large a share of the queue as it has of the starts.
    Otherwise endless urgent requests would displace all that the reserved
    starts are for.

    :param queue: The waiting requests.
    :param newcomer: The request that arrives; not in the queue.
    :param now_s: The current time.
    :returns: The newcomer or one of the waiting requests.
    """
    waiters = [*queue.waiters, newcomer]
    mean_s = _mean_work_s(waiters)
    by_value: dict[float, list[waiting.Waiter]] = {}
    levels = [waiter.priority for waiter in waiters]
    numbers = {level: levels.count(level) for level in set(levels)}
    # With this divisor at least one priority has more than its share.
    divisor = max(ranked_order.MAX_PASSED_OVER, len(numbers)) + 1
    for waiter in waiters:
        if numbers[waiter.priority] <= len(waiters) / divisor:
            continue
        value = _value(waiter, mean_s, now_s)
        by_value.setdefault(value, []).append(waiter)
    least_valuable = by_value[min(by_value)]
    return ranked_order.ranked(least_valuable, queue.in_progress, now_s)[-1]


def _mean_work_s(waiters: list[waiting.Waiter]) -> float:
    """Return the mean of the known slot times; 0 if none is known."""
    known = [waiter.work_s for waiter in waiters if waiter.work_s > 0]
    return sum(known) / len(known) if known else 0


def _value(waiter: waiting.Waiter, mean_s: float, now_s: float) -> float:
    """Return the value of a request for its work."""
    halvings = waiter.priority + ranked_order.is_late(waiter, now_s)
    return VALUE_PER_PRIORITY**halvings / _work_means(waiter, mean_s)


def _work_means(waiter: waiting.Waiter, mean_s: float) -> float:
    """Return the work of a request as a multiple of the mean, 1 to 2.

    Small requests count like those of mean size. Otherwise a route with small
    requests would be preferred to one of a more urgent priority.
    """
    if waiter.work_s <= mean_s or _is_sheltered(waiter):
        return 1
    steps = int(waiter.work_s / mean_s * WORK_STEPS_PER_MEAN)
    return min(steps / WORK_STEPS_PER_MEAN, MAX_WORK_MEANS)


def _is_sheltered(waiter: waiting.Waiter) -> bool:
    """Return whether a large request counts as one of mean size.

    It depends on the attempt only, so it is the same in each decision while the
    request waits, and may differ when the request comes again.
    """
    return zlib.crc32(waiter.request.encode()) % SHELTERED_OF == 0
