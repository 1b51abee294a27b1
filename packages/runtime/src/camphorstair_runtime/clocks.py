"""The clocks that processes pass to the decisions."""

import time


def monotonic_s() -> float:
    """Return the seconds of a clock that never goes back."""
    return time.monotonic()


def epoch_s() -> float:
    """Return the seconds since the epoch."""
    return time.time()
