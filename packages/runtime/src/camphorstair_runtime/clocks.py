"""The system clocks, for code that takes the time as an argument."""

import time

from camphorstair_core import ownership


def monotonic_s() -> float:
    """Return the seconds of the monotonic clock, which never goes back."""
    return time.monotonic()


def boottime_s() -> float:
    """Return the seconds since boot, including those of a suspended VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def epoch_s() -> float:
    """Return the seconds since the Unix epoch."""
    return time.time()


def moment() -> ownership.ClockReading:
    """Return the time on the epoch clock and on the monotonic clock."""
    return ownership.ClockReading(epoch_s(), monotonic_s())
