"""How often a process may call a shared service: a budget and a backoff."""

import random

import attrs

RATE_PER_S = 2.0
BURST_CALLS = 8.0
FIRST_DELAY_S = 0.25
MAX_DELAY_S = 5.0
JITTER_SHARES = (0.5, 1.0)
MAX_DOUBLINGS = 10


@attrs.define
class CallPace:
    """State of a budget of calls with a backoff after failures.

    :ivar rate_per_s: Calls that the budget gains in a second.
    :ivar burst_calls: Most calls that it holds.
    :ivar max_delay_s: Longest backoff.
    :ivar calls_left: Calls that it holds.
    :ivar counted_s: When that was counted, on the monotonic clock.
    :ivar failures: Failures in a row.
    :ivar retry_s: No call before this, on the monotonic clock.
    """

    rate_per_s: float = RATE_PER_S
    burst_calls: float = BURST_CALLS
    max_delay_s: float = MAX_DELAY_S
    calls_left: float = BURST_CALLS
    counted_s: float | None = None
    failures: int = 0
    retry_s: float = 0


def may_call(pace: CallPace, now_s: float) -> bool:
    """Take a call from the budget, if it may be made now."""
    if now_s < pace.retry_s:
        return False
    if pace.counted_s is not None:
        gained = (now_s - pace.counted_s) * pace.rate_per_s
        pace.calls_left = min(pace.calls_left + gained, pace.burst_calls)
    pace.counted_s = now_s
    if pace.calls_left < 1:
        return False
    pace.calls_left -= 1
    return True


def note_failure(
    pace: CallPace,
    now_s: float,
    generator: random.Random,
) -> None:
    """Put the next call off, longer with each failure, with jitter."""
    doublings = min(pace.failures, MAX_DOUBLINGS)
    delay_s = min(FIRST_DELAY_S * 2**doublings, pace.max_delay_s)
    pace.failures += 1
    pace.retry_s = now_s + delay_s * generator.uniform(*JITTER_SHARES)


def note_success(pace: CallPace) -> None:
    """End the backoff."""
    pace.failures = 0
    pace.retry_s = 0
