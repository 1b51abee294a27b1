"""Receives the datagrams between entries and agents."""

import curio

from camphorstair_runtime import fairness

# Longest datagram that is read whole.
MAX_DATAGRAM_BYTES = 2048

Sender = tuple[str, int]


async def receive(sock: curio.io.Socket) -> tuple[bytes, Sender]:
    """Return the next datagram and its sender.

    Other tasks run in between, however many datagrams come.
    """
    await fairness.count_event()
    return await sock.recvfrom(MAX_DATAGRAM_BYTES)
