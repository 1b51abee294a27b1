"""Options of the sockets that carry requests and answers."""

import socket

import curio


def send_at_once(sock: curio.io.Socket) -> None:
    """Turn off Nagle's algorithm.

    Otherwise a small part of an answer waits for the acknowledgement of the
    part before it, which the other side may delay by 40 ms.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)


# A peer that acknowledges nothing for this long counts as gone.
SILENCE_LIMIT_MS = 1500
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 2


def detect_silence(sock: curio.io.Socket) -> None:
    """Let the kernel end a connection whose peer is out of reach.

    Without it a read waits for ever when the peer's VM has lost power.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, True)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)
