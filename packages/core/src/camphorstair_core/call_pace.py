"""Limits the calls to a shared service: a token bucket and a backoff."""

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
    """State of a token bucket with exponential backoff after failures.

    Each call uses one token of the bucket.

    :ivar rate_per_s: Tokens added per second.
    :ivar burst_calls: Capacity of the bucket, in tokens.
    :ivar max_delay_s: Upper bound of the backoff.
    :ivar calls_left: Tokens in the bucket.
    :ivar updated_s: When tokens were last added, on the monotonic clock; None
        before the first call.
    :ivar failures: Consecutive failures.
    :ivar retry_s: End of the current backoff, on the monotonic clock.
    """

    rate_per_s: float = RATE_PER_S
    burst_calls: float = BURST_CALLS
    max_delay_s: float = MAX_DELAY_S
    calls_left: float = BURST_CALLS
    updated_s: float | None = None
    failures: int = 0
    retry_s: float = 0


def try_acquire(pace: CallPace, now_s: float) -> bool:
    """Use one token if a call is allowed now.

    :param pace: The token bucket.
    :param now_s: The current time, on the monotonic clock.
    :returns: Whether the call is allowed.
    """
    if now_s < pace.retry_s:
        return False
    if pace.updated_s is not None:
        gained = (now_s - pace.updated_s) * pace.rate_per_s
        pace.calls_left = min(pace.calls_left + gained, pace.burst_calls)
    pace.updated_s = now_s
    if pace.calls_left < 1:
        return False
    pace.calls_left -= 1
    return True


def record_failure(
    pace: CallPace,
    now_s: float,
    generator: random.Random,
) -> None:
    """Start a backoff that doubles with each consecutive failure, with jitter.

    :param pace: The token bucket.
    :param now_s: The current time, on the monotonic clock.
    :param generator: Random source of the jitter.
    """
    doublings = min(pace.failures, MAX_DOUBLINGS)
    delay_s = min(FIRST_DELAY_S * 2**doublings, pace.max_delay_s)
    pace.failures += 1
    pace.retry_s = now_s + delay_s * generator.uniform(*JITTER_SHARES)


def record_success(pace: CallPace) -> None:
    """Reset the number of failures and end the backoff."""
    pace.failures = 0
    pace.retry_s = 0
