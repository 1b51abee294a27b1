"""The HTTP client rejects responses of unknown length.

A body that only the end of the connection delimits can't be distinguished
from one that a lost connection cut short.
"""

import socket

import curio
import pytest

from camphorstair_runtime import http_client, http_messages


async def _fetch_body(raw: bytes, method: str) -> bytes:
    """Return the body that the client reads from a raw response.

    :param raw: Bytes that the server sends, head and body.
    :param method: The method of the request.
    :returns: The body.
    :raises HttpError: If the client rejects the response.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    address = f'127.0.0.1:{listener.getsockname()[1]}'

    async def serve() -> None:
        listening_sock = curio.io.Socket(listener)
        accepted_sock, _ = await listening_sock.accept()
        async with accepted_sock:
            await accepted_sock.recv(65536)
            await accepted_sock.sendall(raw)

    server_task = await curio.spawn(serve)
    request = http_messages.Request(method, '/', [], b'')
    try:
        return (await http_client.fetch(address, request)).body
    finally:
        await server_task.join()
        listener.close()


def test_response_without_body_length_is_an_error() -> None:
    raw = b'HTTP/1.1 200 OK\r\n\r\nhalf'
    with pytest.raises(http_client.HttpError, match='tell its length'):
        curio.run(_fetch_body(raw, 'GET'))


@pytest.mark.parametrize(
    ('raw', 'method', 'body'),
    [
        (b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', 'GET', b'ok'),
        (b'HTTP/1.1 204 No Content\r\n\r\n', 'GET', b''),
        (b'HTTP/1.1 200 OK\r\n\r\n', 'HEAD', b''),
    ],
)
def test_response_with_known_body_length_is_read_in_full(
    raw: bytes, method: str, body: bytes
) -> None:
    assert curio.run(_fetch_body(raw, method)) == body
