"""Ends connections so that what was already sent on them is not lost."""

import contextlib
import socket

import curio

LINGER_S = 0.3
_READ_BYTES = 65536


def stop_reading(sock: curio.io.Socket) -> None:
    """Let a read return what has arrived, and then the end.

    A task that waits for data wakes up. Unlike a cancellation, this can't
    hit a task that has data and has not yet run.

    :param sock: A connected socket, with or without TLS.
    """
    twin = socket.fromfd(sock.fileno(), socket.AF_INET, socket.SOCK_STREAM)
    with contextlib.closing(twin), contextlib.suppress(OSError):
        twin.shutdown(socket.SHUT_RD)


async def linger(sock: curio.io.Socket) -> None:
    """Send the end, and read for a while what the other side still sends.

    Closing a socket with unread data resets the connection, which may
    destroy the last answer before the other side has read it.

    :param sock: A connected socket.
    """
    with contextlib.suppress(OSError):
        await sock.shutdown(socket.SHUT_WR)
        await curio.sleep(LINGER_S)
        async with curio.ignore_after(LINGER_S):
            while await sock.recv(_READ_BYTES):
                await curio.sleep(0)
