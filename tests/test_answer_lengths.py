"""Answers whose end can't be told from a break."""

import socket

import curio
import pytest

from camphorstair_runtime import http_client, http_messages


async def _read(raw: bytes, method: str) -> bytes:
    listener = socket.create_server(('127.0.0.1', 0))
    address = f'127.0.0.1:{listener.getsockname()[1]}'

    async def serve() -> None:
        sock = curio.io.Socket(listener)
        served, _ = await sock.accept()
        async with served:
            await served.recv(65536)
            await served.sendall(raw)

    task = await curio.spawn(serve)
    request = http_messages.Request(method, '/', [], b'')
    try:
        return (await http_client.fetch(address, request)).body
    finally:
        await task.join()
        listener.close()


def test_a_body_that_only_the_connection_ends_is_an_error() -> None:
    raw = b'HTTP/1.1 200 OK\r\n\r\nhalf'
    with pytest.raises(http_client.HttpError, match='tell its length'):
        curio.run(_read(raw, 'GET'))


@pytest.mark.parametrize(
    ('raw', 'method', 'body'),
    [
        (b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', 'GET', b'ok'),
        (b'HTTP/1.1 204 No Content\r\n\r\n', 'GET', b''),
        (b'HTTP/1.1 200 OK\r\n\r\n', 'HEAD', b''),
    ],
)
def test_other_answers_are_whole(raw: bytes, method: str, body: bytes) -> None:
    assert curio.run(_read(raw, method)) == body
