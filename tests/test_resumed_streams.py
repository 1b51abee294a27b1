"""Tests that a stream that breaks off goes on as it began, or breaks visibly."""

import http
import types
from collections import abc

import curio
import fleet_bench
import pytest
import raw_endpoints

from camphorstair_core.fleet import stream_progress
from camphorstair_platform_standins import exchange_headers, scripted
from camphorstair_runtime import http_client

TEXT = b'no room here\n\nid: 9\ndata: later\n\n'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def _chunk(content: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(content), content)


def _stream_head(attempt: str, *lines: tuple[str, str]) -> bytes:
    pairs = [*exchange_headers.sealed(attempt), *lines]
    head = ''.join(f'{name}: {text}\r\n' for name, text in pairs)
    return (
        f'HTTP/1.1 200 OK\r\n{head}transfer-encoding: chunked\r\n\r\n'
    ).encode()


END = b'0\r\n\r\n'
EVENTS = (('content-type', 'text/event-stream'),)
BEGUN = b'id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n'
BROKEN_STREAM = _stream_head('a1', *EVENTS) + _chunk(BEGUN)
NEXT_ANSWERS: abc.Mapping[str, bytes] = types.MappingProxyType(
    {
        'error': raw_endpoints.answer(
            500, *exchange_headers.sealed('a1'), body=TEXT
        ),
        'error without a name': raw_endpoints.answer(500, body=TEXT),
        'refusal': raw_endpoints.answer(
            503, exchange_headers.NOT_RUN, body=TEXT
        ),
        'misdirected': raw_endpoints.answer(421, body=TEXT),
        'not found': raw_endpoints.answer(
            404, *exchange_headers.sealed('a1'), body=TEXT
        ),
        'no content': raw_endpoints.answer(204, *exchange_headers.sealed('a1')),
        'redirect': raw_endpoints.answer(
            302, *exchange_headers.sealed('a1'), body=TEXT
        ),
        'text of an error with 200': raw_endpoints.answer(
            200,
            *exchange_headers.sealed('a1'),
            ('content-type', 'text/plain'),
            body=TEXT,
        ),
        'empty text with 200': raw_endpoints.answer(
            200, *exchange_headers.sealed('a1'), ('content-type', 'text/plain')
        ),
        'events without numbers': _stream_head('a1', *EVENTS)
        + _chunk(b'data: w3\n\n')
        + END,
        'a gap': _stream_head('a1', *EVENTS)
        + _chunk(b'id: 4\ndata: w4\n\n')
        + END,
        'no HTTP': TEXT,
        'nothing': b'',
        'half a head': b'HTTP/1.1 200 OK\r\nx-camphorst',
    }
)


# The text of an error, or its whole head, came in the middle of a stream, or the
# stream ended as if it were complete.
@pytest.mark.parametrize('name', NEXT_ANSWERS)
def test_a_stream_that_can_not_go_on_is_visibly_broken(
    bench: fleet_bench.FleetBench, name: str
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.configure(
            2,
            Routes=[
                fleet_bench.route(
                    'draft',
                    'streaming',
                    'engine',
                    MaxAttempts=2,
                    Resumable=True,
                )
            ],
        )
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        first = await raw_endpoints.add(running, 'i-1', 'engine', BROKEN_STREAM)
        exchange = await running.open('/draft/', 'a1')
        assert exchange.status == http.HTTPStatus.OK
        received = await _events(exchange, len(BEGUN))
        assert received == BEGUN
        second = await raw_endpoints.add(
            running, 'i-2', 'engine', NEXT_ANSWERS[name]
        )
        await second.closes.set()
        await first.closes.set()
        with pytest.raises(http_client.HttpError):
            await _events(exchange, len(BEGUN))
        await exchange.close()
        assert sum(len(received) for received in first.requests) == 1
        assert sum(len(received) for received in second.requests) == 1

    bench.run(body)


async def _events(exchange: http_client.Exchange, size: int) -> bytes:
    """Return a number of bytes of a stream; fail if more of it comes."""
    received = b''
    async with curio.timeout_after(fleet_bench.WAIT_LIMIT_S):
        while len(received) < size:
            part = await exchange.read()
            assert part is not None, 'the stream looks complete'
            received += part
    return received


def test_a_stream_goes_on_at_the_next_endpoint(
    bench: fleet_bench.FleetBench,
) -> None:
    rest = b'id: 3\ndata: w3\n\n: alive\n\nid: 4\ndata: w4\n\n'
    repeated = b'id: 2\ndata: w2\n\n'
    second = _stream_head('a1', *EVENTS) + _chunk(repeated + rest) + END

    async def body(running: fleet_bench.FleetBench) -> None:
        first = await raw_endpoints.add(running, 'i-1', 'engine', BROKEN_STREAM)
        exchange = await running.open('/draft/', 'a1')
        await raw_endpoints.add(running, 'i-2', 'engine', second)
        await first.closes.set()
        assert await exchange.read_all() == BEGUN + rest
        await exchange.close()

    bench.run(body)


# A caller of HTTP/1.0 knows the end of a stream by that of the connection only.
def test_a_broken_stream_is_reset_for_a_caller_of_the_old_version(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(
            'i-1', 'engine', scripted.Script(events=4, drop_after_events=2)
        )
        exchange = await http_client.connect(running.told.callers_address)
        head = [
            *exchange_headers.request('a1', fleet_bench.KEY, 4),
            ('host', fleet_bench.HOST),
        ]
        lines = ''.join(f'{name}: {text}\r\n' for name, text in head)
        await exchange.sock.sendall(
            f'GET /draft/ HTTP/1.0\r\n{lines}\r\n'.encode()
        )
        with pytest.raises(ConnectionError):
            await _read_to_end(exchange.sock)

    bench.run(body)


async def _read_to_end(sock: curio.io.Socket) -> None:
    async with curio.timeout_after(fleet_bench.WAIT_LIMIT_S):
        while await sock.recv(65536):
            await curio.sleep(0)


@pytest.mark.parametrize('last_event', ['', '²', '7', 'x'])
@pytest.mark.parametrize(
    'parts',
    [
        (b': hello\n\nid: 8\ndata: y\n\n', b'id: 9\ndata: z\n\n'),
        (b'data: y\n\n', b'id: 9\ndata: z\n\n'),
        (b'id: 8\ndata: y\n\n', b': alive\n\n', b'id: 19\ndata: z\n\n'),
        (b'id: x\ndata: y\n\n', b'event: end\n\n'),
    ],
)
def test_a_first_attempt_may_send_any_events(
    last_event: str, parts: tuple[bytes, ...]
) -> None:
    stream = stream_progress.StreamProgress(last_event)
    for part in parts:
        assert stream.take(part, resumed=False) == part


@pytest.mark.parametrize('last_event', ['', '7'])
def test_events_that_were_not_consecutive_may_go_on_with_any_number(
    last_event: str,
) -> None:
    stream = stream_progress.StreamProgress(last_event)
    stream.take(b'id: 10\ndata: y\n\nid: 20\ndata: y\n\n', resumed=False)
    rest = b'id: 40\ndata: z\n\n'
    assert stream.take(rest, resumed=True) == rest
