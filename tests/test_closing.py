"""A request that crosses the closing of an idle connection is answered.

A request that arrives just before the server closes a kept-alive connection
runs; one that arrives just after gets a response with the verdict not_run.
"""

import socket

import curio

from camphorstair_runtime import http_messages, http_server
from camphorstair_standins import loopback

REQUEST = b'GET / HTTP/1.1\r\nhost: entry\r\n\r\n'
READ_LIMIT_S = 10.0


async def _answer(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    await responder.respond(http_messages.Response(200, [], b'whole'))


def _tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return the client's and the server's end of a TCP connection."""
    with socket.create_server((loopback.HOST, 0)) as listener:
        client_sock = socket.create_connection(listener.getsockname())
        return client_sock, listener.accept()[0]


async def _send_around_closing(before: bytes, after: bytes) -> bytes:
    """Send bytes around the closing of an idle connection.

    :param before: Bytes sent just before the server closes idle connections.
    :param after: Bytes sent after that.
    :returns: All bytes that the server sent.
    """
    server = http_server.Server(_answer)
    client_sock, server_sock = _tcp_pair()
    caller = curio.io.Socket(client_sock)
    server_task = await curio.spawn(
        server.serve, curio.io.Socket(server_sock), ''
    )
    while not server.idle:
        await curio.sleep(0)
    await caller.sendall(before)
    server.announce_close()
    server.end_idle()
    received = await caller.recv(65536)
    await caller.sendall(after)
    async with curio.timeout_after(READ_LIMIT_S):
        while chunk := await caller.recv(65536):
            received += chunk
    await caller.close()
    await server_task.join()
    return received


def test_request_received_before_close_is_answered() -> None:
    received = curio.run(_send_around_closing(REQUEST, b''))
    assert received.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in received.lower()
    assert received.endswith(b'whole')


def test_request_arriving_after_close_is_answered_not_run() -> None:
    received = curio.run(_send_around_closing(b'', REQUEST))
    assert received.startswith(b'HTTP/1.1 408')
    assert b'x-camphorstair-verdict: not_run' in received
    assert b'connection: close' in received.lower()
