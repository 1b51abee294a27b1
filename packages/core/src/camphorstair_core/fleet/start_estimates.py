"""Estimates when waiting requests start, from the starts that happened.

While requests wait, the work of the requests that start shows how fast the
service works. The work ahead of a request divided by that rate is its wait.
An error that all work estimates share cancels out. Time in which no request
waits says nothing about the service's capacity and is left out.
"""

import collections
import random

import attrs

WINDOW_S = 2.0
# The window moves in steps of this length, which bounds its state.
BUCKET_S = 0.1
WINDOW_BUCKETS = round(WINDOW_S / BUCKET_S)
# Fewer starts are no evidence.
MIN_STARTS = 4
# Waits are estimated every 0.1 s while requests wait. Longer gaps mean that
# the entry itself did not run, which says nothing about the service.
MAX_GAP_S = 0.5
MAX_WORK_S = 3600.0
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0
MAX_SPREAD_FACTOR = 1.25


@attrs.define
class Bucket:
    """The starts in one step of the window.

    :ivar number: Its time in units of ``BUCKET_S``.
    :ivar waited_before_s: Value of the throughput's ``waited_s`` before it.
    :ivar starts: Number of starts while requests waited.
    :ivar work_s: Their work.
    """

    number: int
    waited_before_s: float
    starts: int = 0
    work_s: float = 0


@attrs.define
class Throughput:
    """The work that a service was granted while requests waited for it.

    :ivar is_waiting: Whether requests wait now.
    :ivar waited_s: Total time in which requests waited.
    :ivar updated_s: Until when that time is counted.
    :ivar buckets: The starts in the window, oldest first.
    :ivar starts: Number of starts in the window.
    :ivar work_s: Their work.
    """

    is_waiting: bool = False
    waited_s: float = 0
    updated_s: float = 0
    buckets: collections.deque[Bucket] = attrs.field(factory=collections.deque)
    starts: int = 0
    work_s: float = 0


def record_queue(
    throughput: Throughput, is_waiting: bool, now_s: float
) -> None:
    """Record whether requests wait, after any of them came or left."""
    _advance(throughput, now_s)
    throughput.is_waiting = is_waiting


def record_start(throughput: Throughput, work_s: float, now_s: float) -> None:
    """Record that a request starts; only counted while requests wait.

    :param throughput: The throughput to update.
    :param work_s: The estimated work of the request; 0 if unknown.
    :param now_s: The current time.
    """
    if not throughput.is_waiting:
        return
    _advance(throughput, now_s)
    added_s = max(0, min(work_s, MAX_WORK_S))
    bucket = throughput.buckets[-1]
    bucket.starts += 1
    bucket.work_s += added_s
    throughput.starts += 1
    throughput.work_s += added_s


def wait_s(
    throughput: Throughput, work_ahead_s: float, now_s: float
) -> float | None:
    """Return the estimated time until a request starts.

    :param throughput: The throughput of its service.
    :param work_ahead_s: The work of the requests that start before it.
    :param now_s: The current time.
    :returns: None if too few requests started in the window while others
        waited, or if their work is unknown.
    """
    _advance(throughput, now_s)
    if throughput.starts < MIN_STARTS or throughput.work_s <= 0:
        return None
    waited_s = throughput.waited_s - throughput.buckets[0].waited_before_s
    if waited_s <= 0:
        return None
    return max(0, work_ahead_s) * waited_s / throughput.work_s


def retry_after_s(
    throughput: Throughput,
    work_ahead_s: float,
    now_s: float,
    generator: random.Random,
) -> float:
    """Return after which time a refused request should come again.

    Without an estimate, this is the shortest time.

    :param throughput: The throughput of its service.
    :param work_ahead_s: The work of the requests that wait.
    :param now_s: The current time.
    :param generator: Spreads the times of requests that are refused together.
    """
    estimate_s = wait_s(throughput, work_ahead_s, now_s) or 0
    bounded_s = max(MIN_RETRY_AFTER_S, min(estimate_s, MAX_RETRY_AFTER_S))
    return bounded_s * generator.uniform(1, MAX_SPREAD_FACTOR)


def _advance(throughput: Throughput, now_s: float) -> None:
    """Count the time until now and move the window there."""
    before_s = throughput.waited_s
    elapsed_s = now_s - throughput.updated_s
    if elapsed_s > 0:
        throughput.updated_s = now_s
        if throughput.is_waiting and elapsed_s <= MAX_GAP_S:
            throughput.waited_s += elapsed_s
    number = int(now_s / BUCKET_S)
    buckets = throughput.buckets
    if buckets and buckets[-1].number >= number:
        return
    buckets.append(Bucket(number, before_s))
    while buckets[0].number <= number - WINDOW_BUCKETS:
        buckets.popleft()
    throughput.starts = sum(bucket.starts for bucket in buckets)
    throughput.work_s = sum(bucket.work_s for bucket in buckets)
