"""Closes connections without losing data that was already sent.

None of the functions does anything to a socket that is closed already.
"""

import contextlib
import socket
import struct

import curio

from camphorstair_runtime import fairness

LINGER_S = 0.3
_READ_BYTES = 65536
# Linger option: on, for no time.
_RESET = struct.pack('ii', 1, 0)


def stop_reading(sock: curio.io.Socket) -> None:
    """Shut down the receiving side; reads return buffered data, then EOF.

    A task that waits for data wakes up. Unlike cancelling that task, this
    cannot discard data that has arrived before the task is scheduled.

    :param sock: A connected socket, with or without TLS.
    """
    if _is_closed(sock):
        return
    duplicate = socket.fromfd(sock.fileno(), socket.AF_INET, socket.SOCK_STREAM)
    with contextlib.closing(duplicate), contextlib.suppress(OSError):
        duplicate.shutdown(socket.SHUT_RD)


def reset_on_close(sock: curio.io.Socket) -> None:
    """Let the closing of a socket reset its connection.

    Unlike a regular close, it never looks like the end of a response without a
    length.
    """
    if _is_closed(sock):
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


async def linger(sock: curio.io.Socket) -> None:
    """Shut down the sending side and discard input for a short time.

    Closing a socket with unread data resets the connection, which may
    destroy the last response before the other side has read it.

    Sleep ``LINGER_S`` first, then read for at most ``LINGER_S``. Errors of
    the connection are ignored; the socket is not closed.

    :param sock: A connected socket.
    """
    if _is_closed(sock):
        return
    with contextlib.suppress(OSError):
        await sock.shutdown(socket.SHUT_WR)
        await curio.sleep(LINGER_S)
        async with curio.ignore_after(LINGER_S):
            while chunk := await sock.recv(_READ_BYTES):
                await fairness.count_event(len(chunk))


def _is_closed(sock: curio.io.Socket) -> bool:
    return sock.fileno() < 0
