"""Options of TCP sockets."""

import socket

import curio


def disable_nagle(sock: curio.io.Socket) -> None:
    """Disable Nagle's algorithm.

    Otherwise a small part of a response waits for the acknowledgement of the
    previous part, which the peer may delay by 40 ms.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)


# The connection fails if sent data is not acknowledged for this long.
USER_TIMEOUT_MS = 1500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def enable_keepalive(sock: curio.io.Socket) -> None:
    """Let the kernel close a connection whose peer is unreachable.

    Set TCP keepalive and the user timeout. Otherwise a read waits forever if
    the peer's VM has lost power.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, True)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
