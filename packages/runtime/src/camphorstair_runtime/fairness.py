"""Lets other tasks run while a peer's data keeps coming.

An operation on a socket suspends its task only if it has to wait. A task that
loops over the data of a fast peer would keep all others from running, and its
own timeout from ending it. So each such loop counts what it receives here.
"""

import attrs
import curio

# What all tasks together may receive before others get a turn.
TURN_EVENTS = 64
# Received bytes that count as one more event.
EVENT_BYTES = 4096


@attrs.define
class _Turn:
    """The current turn of the loop.

    :ivar events: Events counted in it.
    """

    events: int = 0


_TURN = _Turn()


async def count_event(size_bytes: int = 0) -> None:
    """Count something that a peer has sent; let other tasks run if it is time.

    :param size_bytes: Size of what was received.
    """
    _TURN.events += 1 + size_bytes // EVENT_BYTES
    if _TURN.events >= TURN_EVENTS:
        _TURN.events = 0
        await curio.sleep(0)
