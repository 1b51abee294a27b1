"""The end of a kept-alive connection crossing a request on its way."""

import socket

import curio

from camphorstair_runtime import http_messages, http_server
from camphorstair_standins import loopback

REQUEST = b'GET / HTTP/1.1\r\nhost: entry\r\n\r\n'
LIMIT_S = 10.0


async def _answer(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    await responder.respond(http_messages.Response(200, [], b'whole'))


def _tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server((loopback.HOST, 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        return near, listener.accept()[0]


async def _cross(before: bytes, after: bytes) -> bytes:
    """Send bytes just before the end of idle connections and after it."""
    server = http_server.Server(_answer)
    near, far = _tcp_pair()
    sock = curio.io.Socket(near)
    serving = await curio.spawn(server.serve, curio.io.Socket(far), '')
    while not server.idle:
        await curio.sleep(0)
    await sock.sendall(before)
    server.announce_close()
    server.end_idle()
    received = await sock.recv(65536)
    await sock.sendall(after)
    async with curio.timeout_after(LIMIT_S):
        while chunk := await sock.recv(65536):
            received += chunk
    await sock.close()
    await serving.join()
    return received


def test_a_request_that_has_arrived_is_answered() -> None:
    received = curio.run(_cross(REQUEST, b''))
    assert received.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in received.lower()
    assert received.endswith(b'whole')


def test_a_request_that_crosses_the_end_is_answered_as_not_run() -> None:
    received = curio.run(_cross(b'', REQUEST))
    assert received.startswith(b'HTTP/1.1 408')
    assert b'x-camphorstair-verdict: not_run' in received
    assert b'connection: close' in received.lower()
