"""What callers may send that is no good request: each gets a clear answer."""

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

SLOW_LIMIT_S = 0.1
LIMITS = caller_limits.CallerLimits(request_limit_s=SLOW_LIMIT_S)
GOOD = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok'


async def _echo(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    response = http_messages.Response(200, [], request.body)
    await responder.respond(response)


async def _refuse(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    error = errors.RequestError(errors.overloaded, 'busy', retry_after_s=0.4)
    await responder.respond(http_messages.error_response(error))


def _connected() -> tuple[socket.socket, socket.socket]:
    """Return the two ends of a TCP connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        return near, listener.accept()[0]


async def _exchange(
    sent: list[bytes],
    handler: http_server.ResponderHandler,
) -> bytes:
    near, far = _connected()
    caller = curio.io.Socket(near)
    server = http_server.Server(handler, lambda: LIMITS)
    task = await curio.spawn(server.serve, curio.io.Socket(far), None)
    for part in sent:
        await caller.sendall(part)
    received = await _read(caller)
    await caller.close()
    await task.join()
    return received


async def _read(caller: curio.io.Socket) -> bytes:
    received = b''
    chunk = b'first'
    while chunk:
        async with curio.ignore_after(5 * SLOW_LIMIT_S):
            chunk = await caller.recv(request_reading.READ_BYTES)
            received += chunk
            continue
        return received
    return received


def exchange(
    *sent: bytes,
    handler: http_server.ResponderHandler = _echo,
) -> bytes:
    """Send bytes to a server and return all that comes back."""
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
    answer = exchange(GOOD + GOOD.replace(b'ok', b'go'))
    assert answer.count(b'HTTP/1.1 200') == 2
    assert answer.index(b'ok') < answer.index(b'go')


def test_a_bad_request_after_a_good_one_leaves_its_answer_whole() -> None:
    answer = exchange(GOOD, b'nonsense\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'ok' in answer
    assert b'HTTP/1.1 400' in answer


def test_a_request_in_single_bytes_is_read() -> None:
    answer = exchange(*(bytes([byte]) for byte in GOOD))
    assert answer.startswith(b'HTTP/1.1 200')


def test_a_refusal_says_when_to_come_back() -> None:
    answer = exchange(GOOD, handler=_refuse).lower()
    assert b'retry-after: 1' in answer
    assert b'x-camphorstair-verdict: not_run' in answer


async def _pipeline_without_end(sent: int) -> int:
    near, far = _connected()
    caller = curio.io.Socket(near)
    protocol_sock = curio.io.Socket(far)
    responder = http_server.Responder(
        protocol_sock,
        http_server.h11.Connection(http_server.h11.SERVER),
    )
    watch = await curio.spawn(responder.wait_disconnected)
    async with curio.ignore_after(SLOW_LIMIT_S):
        for _ in range(sent):
            await caller.sendall(b'x' * request_reading.READ_BYTES)
    await watch.cancel()
    kept = len(responder.protocol.trailing_data[0])
    await caller.close()
    await protocol_sock.close()
    return kept


def test_pipelined_bytes_are_kept_up_to_a_bound() -> None:
    kept_bytes = curio.run(_pipeline_without_end, 100)
    bound = http_server.MAX_PIPELINED_BYTES + request_reading.READ_BYTES
    assert 0 < kept_bytes <= bound
