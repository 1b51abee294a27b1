"""Connects TCP sockets and sets their options."""

import socket
import ssl

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


def set_user_timeout(sock: curio.io.Socket, timeout_ms: int) -> None:
    """Set how long sent data may remain unacknowledged or unread.

    The kernel also applies this timeout to a live peer that has not read for
    so long that its receive window is closed.

    :param sock: A TCP socket.
    :param timeout_ms: The timeout; 0 for none but that of retransmissions.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


async def connect(
    host: str,
    port: int,
    context: ssl.SSLContext | None = None,
) -> curio.io.Socket:
    """Open a connection with Nagle's algorithm disabled.

    :param host: IP address, or a name to look up.
    :param port: Port of the server.
    :param context: TLS context, or None for plain TCP.
    :raises OSError: if the connect or the TLS handshake fails.
    """
    family = _family(host)
    if family is None:
        sock = await curio.open_connection(host, port, ssl=context)
    else:
        sock = await _connect(family, host, port)
        if context is not None:
            sock = await _start_tls(sock, context)
    disable_nagle(sock)
    return sock


def _family(host: str) -> socket.AddressFamily | None:
    """Return the family of an IP address, or None if it is a name."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        return family
    return None


async def _connect(
    family: socket.AddressFamily, ip_address: str, port: int
) -> curio.io.Socket:
    """Connect without a look-up, for which curio would use a thread."""
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((ip_address, port))
    except BaseException:
        await sock.close()
        raise
    return sock


async def _start_tls(
    sock: curio.io.Socket, context: ssl.SSLContext
) -> curio.io.Socket:
    secure = await curio.ssl.CurioSSLContext(context).wrap_socket(
        sock, do_handshake_on_connect=False
    )
    try:
        await secure.do_handshake()
    except BaseException:
        await secure.close()
        raise
    return secure
