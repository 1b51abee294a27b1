"""Options of the sockets that carry requests and answers."""

import socket

import curio


def send_at_once(sock: curio.io.Socket) -> None:
    """Turn off Nagle's algorithm.

    Otherwise a small part of an answer waits for the acknowledgement of the
    part before it, which the other side may delay by 40 ms.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
