"""Tests of endpoints whose answers never end or never get on."""

import tracemalloc

import curio
import fleet_bench
import pytest

from camphorstair.fleet import stream_relaying
from camphorstair_core.fleet import stream_progress
from camphorstair_platform_standins import exchange_headers, scripted
from camphorstair_runtime import http_client
from camphorstair_standins import loopback

CHUNK = b'x' * 65536
ENDLESS_HEAD = b'HTTP/1.1 200 OK\r\n%s' % (b'x-more: 1\r\n' * 2000)
ENDLESS_BYTES = b'no answer at all '
MAX_GROWTH_BYTES = 48 * 1024 * 1024


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def _head(attempt: str) -> bytes:
    """Return the head of a sealed answer whose body ends with the connection."""
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in exchange_headers.sealed(attempt)
    )
    return f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode()


class _EndlessEndpoint:
    """An endpoint that sends bytes until its caller closes the connection.

    :ivar first: What it sends first.
    :ivar closed: Connections that the caller has closed.
    """

    def __init__(self, first: bytes) -> None:
        """Set what is sent first."""
        self.first = first
        self.closed = 0

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Read one request and answer it without end."""
        await sock.recv(65536)
        try:
            await sock.sendall(self.first)
            while True:
                await sock.sendall(CHUNK)
        except OSError:
            self.closed += 1


async def _add(
    running: fleet_bench.FleetBench, endpoint: _EndlessEndpoint, service: str
) -> None:
    address = loopback.free_address()
    await running.listen_raw(address, endpoint.serve)
    running.register('i-1', service, address)
    known = running.entry.endpoints.endpoints
    await running.wait_until(lambda: 'i-1' in known)


@pytest.mark.parametrize(
    'first',
    [ENDLESS_HEAD, ENDLESS_BYTES, _head('a1')],
    ids=['head', 'no HTTP', 'body'],
)
@pytest.mark.parametrize(
    ('path', 'service'),
    [('/look/', 'plain'), ('/book/', 'plain'), ('/draft/', 'engine')],
)
def test_bytes_without_end_cost_bounded_memory_and_end_at_once(
    bench: fleet_bench.FleetBench, first: bytes, path: str, service: str
) -> None:
    endpoint = _EndlessEndpoint(first)

    async def body(running: fleet_bench.FleetBench) -> None:
        await _add(running, endpoint, service)
        tracemalloc.start()
        answer = await running.call(path)
        _now, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        # It may have run, so no status promises that it has not.
        assert answer.status == 502
        assert peak_bytes < MAX_GROWTH_BYTES
        await running.wait_until(lambda: endpoint.closed)
        candidate = running.entry.candidates['i-1']
        assert candidate.health.failures

    bench.run(body)


def test_an_endless_event_ends_before_it_fills_the_memory(
    bench: fleet_bench.FleetBench,
) -> None:
    endpoint = _EndlessEndpoint(b'%sid: 1\ndata: y\n\n' % _head('a1'))

    async def body(running: fleet_bench.FleetBench) -> None:
        await _add(running, endpoint, 'engine')
        with pytest.raises(http_client.HttpError):
            await running.call('/draft/')
        await running.wait_until(lambda: endpoint.closed)

    bench.run(body)
    assert stream_relaying.MAX_EVENT_BYTES < http_client.MAX_BODY_BYTES


def test_a_slow_sound_stream_is_not_cut(bench: fleet_bench.FleetBench) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(
            'i-1', 'engine', scripted.Script(events=4, gap_s=0.6)
        )
        answer = await running.call('/draft/')
        assert answer.body.count(b'data:') == 4

    bench.run(body)


def test_a_stream_that_trickles_without_an_event_ends_at_the_time_limit(
    bench: fleet_bench.FleetBench,
) -> None:
    async def trickle(sock: curio.io.Socket, _address: object) -> None:
        await sock.recv(65536)
        await sock.sendall(b'%sid: 1\ndata: ' % _head('a1'))
        for _ in range(100):
            await sock.sendall(b'y')
            await curio.sleep(0.2)

    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = _EndlessEndpoint(b'')
        endpoint.serve = trickle  # type: ignore[method-assign]
        await _add(running, endpoint, 'engine')
        async with curio.timeout_after(4):
            assert (await running.call('/draft/')).status == 504

    bench.run(body)


@pytest.mark.parametrize('last_event', ['²', '9' * 5000, '-1', 'x'])
def test_an_unusable_event_number_of_a_caller_is_no_error(
    last_event: str,
) -> None:
    stream = stream_progress.StreamProgress(last_event)
    events = b'id: 1\ndata: y\n\nid: %s\ndata: z\n\n' % (b'9' * 5000)
    assert stream.take(events, resumed=True) == events
