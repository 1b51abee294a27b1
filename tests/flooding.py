"""Peers that send without end, each faster than the code under test reads.

They run in threads, so that they go on while the event loop is busy.
"""

import contextlib
import socket
import threading
from collections import abc

from camphorstair_standins import loopback

_READ_BYTES = 65536
# A flood ends then, so that no thread outlives its test for long.
FLOOD_LIMIT_S = 15.0


def _send_forever(sock: socket.socket, first: bytes, block: bytes) -> None:
    sock.settimeout(FLOOD_LIMIT_S)
    with contextlib.suppress(OSError), sock:
        sock.sendall(first)
        while True:
            sock.sendall(block)


def _serve(listener: socket.socket, first: bytes, block: bytes) -> None:
    with contextlib.suppress(OSError), listener:
        while True:
            sock, _address = listener.accept()
            threading.Thread(
                target=_answer, args=(sock, first, block), daemon=True
            ).start()


def _answer(sock: socket.socket, first: bytes, block: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.recv(_READ_BYTES)
        _send_forever(sock, first, block)


@contextlib.contextmanager
def server(first: bytes, block: bytes) -> abc.Iterator[str]:
    """Answer each request with bytes and then with a block without end.

    :returns: A context manager whose value is the address of the server.
    """
    listener = socket.create_server((loopback.HOST, 0))
    listener.settimeout(FLOOD_LIMIT_S)
    port = listener.getsockname()[1]
    threading.Thread(
        target=_serve, args=(listener, first, block), daemon=True
    ).start()
    try:
        yield f'{loopback.HOST}:{port}'
    finally:
        listener.close()


def _discard_answers(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        received = b'x'
        while received:
            received = sock.recv(_READ_BYTES)


@contextlib.contextmanager
def client(
    host: str, port: int, first: bytes, block: bytes
) -> abc.Iterator[None]:
    """Send bytes and then a block without end; read whatever is answered."""
    sock = socket.create_connection((host, port))
    for target, arguments in (
        (_send_forever, (sock, first, block)),
        (_discard_answers, (sock,)),
    ):
        threading.Thread(target=target, args=arguments, daemon=True).start()
    try:
        yield
    finally:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


@contextlib.contextmanager
def datagrams(host: str, port: int, content: bytes) -> abc.Iterator[None]:
    """Send a datagram again and again."""
    ended = threading.Event()

    def send() -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with contextlib.suppress(OSError), sock:
            while not ended.is_set():
                sock.sendto(content, (host, port))

    threading.Thread(target=send, daemon=True).start()
    try:
        yield
    finally:
        ended.set()
