"""The HTTP server answers malformed, oversized, slow and pipelined requests."""

import re
import socket

import curio
import pytest

from camphorstair_core import caller_limits, errors
from camphorstair_runtime import (
    http_messages,
    http_server,
    request_reading,
)

REQUEST_LIMIT_S = 0.1
LIMITS = caller_limits.CallerLimits(request_limit_s=REQUEST_LIMIT_S)
VALID_REQUEST = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok'


async def _echo(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    response = http_messages.Response(200, [], request.body)
    await responder.respond(response)


async def _refuse_as_overloaded(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    error = errors.RequestError(errors.overloaded, 'busy', retry_after_s=0.4)
    await responder.respond(http_messages.error_response(error))


def _connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Return the client's and the server's end of a TCP connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        client_sock = socket.create_connection(listener.getsockname())
        return client_sock, listener.accept()[0]


async def _exchange(
    sent: list[bytes],
    handler: http_server.ResponderHandler,
) -> bytes:
    """Send parts to a server one by one and return all bytes it answers."""
    client_sock, server_sock = _connected_sockets()
    caller = curio.io.Socket(client_sock)
    server = http_server.Server(handler, lambda: LIMITS)
    task = await curio.spawn(server.serve, curio.io.Socket(server_sock), None)
    for part in sent:
        await caller.sendall(part)
    received = await _read_available(caller)
    await caller.close()
    await task.join()
    return received


async def _read_available(caller: curio.io.Socket) -> bytes:
    """Return all bytes up to the connection's end or a pause in the data."""
    received = b''
    chunk = b'first'
    while chunk:
        async with curio.ignore_after(5 * REQUEST_LIMIT_S):
            chunk = await caller.recv(request_reading.READ_BYTES)
            received += chunk
            continue
        return received
    return received


def exchange(
    *sent: bytes,
    handler: http_server.ResponderHandler = _echo,
) -> bytes:
    """Send bytes to a server and return all bytes that it answers.

    :param sent: The parts to send, each in a write of its own.
    :param handler: Answers the requests.
    :returns: All responses, heads and bodies.
    """
    return bytes(curio.run(_exchange, list(sent), handler))


@pytest.mark.parametrize(
    ('sent', 'status', 'code'),
    [
        (b'nonsense\r\n\r\n', b'400', b'bad_request'),
        (
            b'GET / HTTP/1.1\r\nHost: a\r\nx: %b\r\n\r\n'
            % (b'y' * LIMITS.head_bytes),
            b'431',
            b'head_too_large',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b'
            % (
                LIMITS.body_bytes + 1,
                b'y' * (LIMITS.body_bytes + 1),
            ),
            b'413',
            b'too_large',
        ),
        (
            b'GET / HTTP/1.1\r\nHost: a\r\n%b\r\nabc'
            % b'Content-Length: 2\r\nContent-Length: 3\r\n',
            b'400',
            b'bad_request',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab',
            b'408',
            b'request_timeout',
        ),
        (b'GET / HTTP/1.1\r\nHos', b'408', b'request_timeout'),
        (b'GET / HTTP/1.1\r\n\r\n', b'400', b'bad_request'),
        (b'GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n', b'400', b'bad_request'),
    ],
)
def test_a_bad_request_gets_one_clear_answer(
    sent: bytes,
    status: bytes,
    code: bytes,
) -> None:
    answer = exchange(sent)
    assert answer.startswith(b'HTTP/1.1 %b ' % status)
    assert b'"code":"%b"' % code in answer
    assert b'"verdict":"not_run"' in answer
    assert b'connection: close' in answer.lower()
    assert len(re.findall(rb'HTTP/1\.1 \d', answer)) == 1


def test_pipelined_requests_are_answered_in_order() -> None:
    answer = exchange(VALID_REQUEST + VALID_REQUEST.replace(b'ok', b'go'))
    assert answer.count(b'HTTP/1.1 200') == 2
    assert answer.index(b'ok') < answer.index(b'go')


def test_malformed_request_does_not_affect_previous_response() -> None:
    answer = exchange(VALID_REQUEST, b'nonsense\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'ok' in answer
    assert b'HTTP/1.1 400' in answer


def test_request_received_byte_by_byte_is_served() -> None:
    answer = exchange(*(bytes([byte]) for byte in VALID_REQUEST))
    assert answer.startswith(b'HTTP/1.1 200')


def test_overload_response_has_retry_after_header() -> None:
    answer = exchange(VALID_REQUEST, handler=_refuse_as_overloaded).lower()
    assert b'retry-after: 1' in answer
    assert b'x-camphorstair-verdict: not_run' in answer


async def _count_buffered_bytes(chunk_count: int) -> int:
    """Return how many pipelined bytes a busy connection buffers.

    :param chunk_count: Number of chunks sent, each of READ_BYTES bytes.
    :returns: The size of the buffer in bytes.
    """
    client_sock, server_sock = _connected_sockets()
    caller = curio.io.Socket(client_sock)
    protocol_sock = curio.io.Socket(server_sock)
    responder = http_server.Responder(
        protocol_sock,
        http_server.h11.Connection(http_server.h11.SERVER),
    )
    watch = await curio.spawn(responder.wait_disconnected)
    async with curio.ignore_after(REQUEST_LIMIT_S):
        for _ in range(chunk_count):
            await caller.sendall(b'x' * request_reading.READ_BYTES)
    await watch.cancel()
    buffered_bytes = len(responder.protocol.trailing_data[0])
    await caller.close()
    await protocol_sock.close()
    return buffered_bytes


def test_pipelined_bytes_are_kept_up_to_a_bound() -> None:
    buffered_bytes = curio.run(_count_buffered_bytes, 100)
    bound = http_server.MAX_PIPELINED_BYTES + request_reading.READ_BYTES
    assert 0 < buffered_bytes <= bound
