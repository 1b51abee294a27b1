"""Tests of the estimates of when waiting requests start."""

import collections
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core.fleet import start_estimates

PER_S = 20
WORK_S = 3.0
# The work ahead of a request, and its wait while 20 requests start a second.
AHEAD_S = 40 * WORK_S
WAIT_S = 2.0
# From 0.5 s to 5 s, which are then spread by up to a quarter.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 6.25


def _serve(
    throughput: start_estimates.Throughput,
    begin_s: float,
    seconds: float,
    per_s: float = PER_S,
    work_s: float = WORK_S,
) -> float:
    """Start requests evenly while others wait, and return the end."""
    start_estimates.record_queue(throughput, True, begin_s)
    for number in range(round(seconds * per_s)):
        now_s = begin_s + (number + 1) / per_s
        start_estimates.record_start(throughput, work_s, now_s)
    return begin_s + seconds


@given(st.floats(0.1, 10))
def test_shared_error_of_work_estimates_does_not_change_waits(
    factor: float,
) -> None:
    """Guards against refusals that follow estimates off by ten times."""
    throughput = start_estimates.Throughput()
    now_s = _serve(throughput, 100, 10, work_s=factor * WORK_S)
    found_s = start_estimates.wait_s(throughput, factor * AHEAD_S, now_s)
    assert found_s == pytest.approx(WAIT_S, rel=0.1)


def test_too_few_starts_give_no_estimate() -> None:
    """Guards against refusals on chance."""
    throughput = start_estimates.Throughput()
    now_s = _serve(throughput, 100, 0.15)
    assert start_estimates.wait_s(throughput, AHEAD_S, now_s) is None
    now_s = _serve(throughput, now_s, 0.05)
    assert start_estimates.wait_s(throughput, AHEAD_S, now_s) is not None


def test_starts_while_no_request_waits_give_no_estimate() -> None:
    """Guards against taking a low demand for a low capacity."""
    throughput = start_estimates.Throughput()
    for now_s in range(100):
        start_estimates.record_start(throughput, WORK_S, now_s / 10)
    assert start_estimates.wait_s(throughput, AHEAD_S, 10) is None


def test_time_in_which_no_request_waits_is_left_out() -> None:
    """Guards against a burst that is refused because of the quiet before it."""
    throughput = start_estimates.Throughput()
    now_s: float = 100
    for _ in range(3):
        now_s = _serve(throughput, now_s + 0.4, 0.2)
        start_estimates.record_queue(throughput, False, now_s)
    found_s = start_estimates.wait_s(throughput, AHEAD_S, now_s)
    assert found_s == pytest.approx(WAIT_S, rel=0.1)


def test_estimate_ends_when_starts_stop() -> None:
    """Guards against refusals on outdated evidence."""
    throughput = start_estimates.Throughput()
    now_s = _serve(throughput, 100, 5)
    waits = [
        start_estimates.wait_s(throughput, AHEAD_S, now_s + tick / 10)
        for tick in range(21)
    ]
    known = [wait_s for wait_s in waits if wait_s is not None]
    assert known == sorted(known)
    assert waits[-1] is None


def test_estimate_follows_within_window_when_half_of_capacity_goes() -> None:
    """Guards against callers who are held although capacity went."""
    throughput = start_estimates.Throughput()
    now_s = _serve(throughput, 100, 5)
    now_s = _serve(throughput, now_s, start_estimates.WINDOW_S, PER_S / 2)
    found_s = start_estimates.wait_s(throughput, AHEAD_S, now_s)
    assert found_s == pytest.approx(2 * WAIT_S, rel=0.1)


def test_frozen_entry_does_not_take_its_pause_for_slow_service() -> None:
    """Guards against refusals of a full queue when an entry wakes up."""
    throughput = start_estimates.Throughput()
    now_s = _serve(throughput, 100, 5) + 4
    assert start_estimates.wait_s(throughput, AHEAD_S, now_s) is None
    now_s = _serve(throughput, now_s, 0.5)
    found_s = start_estimates.wait_s(throughput, AHEAD_S, now_s)
    assert found_s == pytest.approx(WAIT_S, rel=0.1)


@given(st.floats(), st.floats(0, 30), st.integers())
def test_retry_after_is_bounded(
    ahead_s: float, served_s: float, seed: int
) -> None:
    """Guards against absurd times when the work ahead is absurd."""
    throughput = start_estimates.Throughput()
    now_s = _serve(throughput, 100, served_s, 10)
    found_s = start_estimates.retry_after_s(
        throughput, ahead_s, now_s, random.Random(seed)
    )
    assert MIN_RETRY_AFTER_S <= found_s <= MAX_RETRY_AFTER_S
    assert len(throughput.buckets) <= start_estimates.WINDOW_BUCKETS


@pytest.mark.parametrize('seed', range(5))
def test_callers_refused_together_return_spread(seed: int) -> None:
    """Guards against callers who all return at the same time."""
    throughput = start_estimates.Throughput()
    now_s = _serve(throughput, 100, 5)
    generator = random.Random(seed)
    times_s = [
        start_estimates.retry_after_s(throughput, AHEAD_S, now_s, generator)
        for _ in range(400)
    ]
    estimate_s = start_estimates.wait_s(throughput, AHEAD_S, now_s)
    assert estimate_s is not None
    # The spread is a quarter of the estimate; these are its tenths.
    tenths = collections.Counter(
        int(40 * (time_s / estimate_s - 1)) for time_s in times_s
    )
    assert set(tenths) == set(range(10))
    # Twice an even spread.
    assert max(tenths.values()) <= 80
