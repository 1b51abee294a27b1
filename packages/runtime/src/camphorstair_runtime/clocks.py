"""The clocks that processes pass to the decisions."""

import time

from camphorstair_core import ownership


def monotonic_s() -> float:
    """Return the seconds of a clock that never goes back."""
    return time.monotonic()


def suspended_s() -> float:
    """Return the seconds of a clock that also runs while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def epoch_s() -> float:
    """Return the seconds since the epoch."""
    return time.time()


def moment() -> ownership.ClockReading:
    """Return the time on both clocks."""
    return ownership.ClockReading(epoch_s(), monotonic_s())
