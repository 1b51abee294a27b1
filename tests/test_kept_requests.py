"""Tests that the bodies of all requests together take bounded memory.

An entry that keeps each request's body until its answer reaches the memory of
its VM as soon as some endpoints read bodies late, and is killed with all that
it has passed on.
"""

import contextlib
import gc
import http
import tracemalloc
from collections import abc

import attrs
import curio
import fleet_bench
import pytest

from camphorstair_platform_standins import documents, exchange_headers, scripted
from camphorstair_runtime import http_client, http_messages
from camphorstair_standins import loopback

BODY_BYTES = 1_000_000
BOUND_BYTES = 4 * BODY_BYTES
REQUESTS = 20
# What comes of a body is joined once, and the parts of one may be on their way.
ALLOWED_BYTES = 3 * BOUND_BYTES
UNREAD_S = 1.0
CHUNK = b'x' * 65536
KEPT_BYTES = 3 * BODY_BYTES


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


@attrs.define(eq=False)
class LateReader:
    """An endpoint that reads the bodies of requests late, but whole.

    :ivar taken: Number of requests of which the head has come.
    """

    taken: int = 0

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Answer one request."""
        content = await sock.recv(4096)
        self.taken += 1
        await curio.sleep(UNREAD_S)
        head, _blank, body = content.partition(b'\r\n\r\n')
        unread_bytes = BODY_BYTES - len(body)
        while unread_bytes > 0:
            unread_bytes -= len(await sock.recv(65536))
        lines = head.decode('latin-1').split('\r\n')
        named = dict(line.split(': ', 1) for line in lines[1:])
        attempt = named[exchange_headers.ATTEMPT]
        answer = ''.join(
            f'{name}: {text}\r\n'
            for name, text in exchange_headers.sealed(attempt)
        )
        answer = f'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{answer}\r\n'
        await sock.sendall(answer.encode())


async def _add(
    running: fleet_bench.FleetBench, serve: fleet_bench.ServeConnection
) -> None:
    """Bound the bodies, and start an endpoint with room for all requests."""
    running.entry.kept_requests.budget.bound_bytes = BOUND_BYTES
    address = loopback.free_address()
    await running.listen_raw(address, serve)
    running.register('i-1', 'plain', address, Slots=REQUESTS)
    await running.wait_until(lambda: running.entry.endpoints.endpoints)


async def _status(
    running: fleet_bench.FleetBench, attempt: str, body: bytes
) -> int:
    """Return the status of the answer to a booking; 0 if it was cut off."""
    try:
        return (await running.call('/book/', attempt, body=body)).status
    except http_client.HttpError:
        return 0


# review/7: endpoints that read bodies late brought an entry over its memory.
@pytest.mark.parametrize('bounded', [False, True])
def test_bodies_for_endpoints_that_read_late_take_bounded_memory(
    bench: fleet_bench.FleetBench, bounded: bool
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.entry.settings = attrs.evolve(
            running.entry.settings, bounds_slow_peers=bounded
        )
        late = LateReader()
        await _add(running, late.serve)
        content = bytes(BODY_BYTES)
        tracemalloc.start()
        group = curio.TaskGroup()
        async with group:
            for number in range(REQUESTS):
                await group.spawn(_status, running, f'a{number}', content)
        _now, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        statuses = group.results
        assert peak_bytes < ALLOWED_BYTES
        # What is refused was not passed on, and nothing passed on is lost.
        assert set(statuses) == {http.HTTPStatus.OK, 503}
        assert statuses.count(http.HTTPStatus.OK) == late.taken
        assert late.taken >= BOUND_BYTES // BODY_BYTES
        budget = running.entry.kept_requests.budget
        await running.wait_until(lambda: not budget.total_bytes)

    bench.run(body)


# Small requests go on beside large ones that wait.
def test_a_small_request_is_served_while_large_ones_take_all_room(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        late = LateReader()
        await _add(running, late.serve)
        await running.add_endpoint('i-2', 'engine', scripted.Script(events=1))
        async with curio.TaskGroup() as group:
            for number in range(REQUESTS):
                await group.spawn(
                    _status, running, f'a{number}', bytes(BODY_BYTES)
                )
            await running.wait_until(lambda: late.taken >= 4)
            async with curio.timeout_after(0.3):
                assert (await running.call('/draft/')).status == 200

    bench.run(body)


# A body in chunks has no length to go by.
def test_a_body_in_chunks_counts(bench: fleet_bench.FleetBench) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        late = LateReader()
        await _add(running, late.serve)
        budget = running.entry.kept_requests.budget
        budget.bound_bytes = BODY_BYTES
        first = await curio.spawn(_status, running, 'a1', bytes(BODY_BYTES))
        await running.wait_until(lambda: late.taken)
        head = await _send_chunks(running)
        assert head.startswith(b'HTTP/1.1 503')
        assert budget.total_bytes == BODY_BYTES
        assert await first.join() == http.HTTPStatus.OK

    bench.run(body)


async def _send_chunks(running: fleet_bench.FleetBench) -> bytes:
    """Send a body in chunks and return how the answer begins."""
    exchange = await http_client.connect(running.told.callers_address)
    lines = exchange_headers.request('a2', fleet_bench.KEY, 4)
    head = ''.join(f'{name}: {text}\r\n' for name, text in lines)
    sock = exchange.sock
    await sock.sendall(
        f'POST /book/ HTTP/1.1\r\nhost: {documents.HOST}\r\n{head}'
        'transfer-encoding: chunked\r\n\r\n'.encode()
    )
    for _ in range(4):
        await sock.sendall(b'%x\r\n%s\r\n' % (len(CHUNK), CHUNK))
    answer: bytes = await curio.timeout_after(1, sock.recv, 4096)
    await exchange.close()
    return answer


async def _leave(running: fleet_bench.FleetBench, attempt: str) -> None:
    """Send a request and leave before its answer."""
    exchange = await http_client.connect(running.told.callers_address)
    request = http_messages.Request(
        'POST',
        '/look/',
        exchange_headers.request(attempt, fleet_bench.KEY, 4),
        bytes(BODY_BYTES),
    )
    await http_client.send(exchange, fleet_bench.HOST, request)
    await curio.sleep(0.05)
    await exchange.close()
    _forget_arrivals(running)


@contextlib.contextmanager
def _uncollected() -> abc.Iterator[None]:
    """Trace the memory without collections of reference cycles."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def _forget_arrivals(running: fleet_bench.FleetBench) -> None:
    """Forget what the stand-in of the endpoint was sent."""
    arrivals = running.scripted_endpoints['i-1'].arrivals
    for arrived in arrivals:
        arrived.body = b''
    arrivals.clear()


async def _book(running: fleet_bench.FleetBench, attempt: str) -> None:
    """Send a request and wait for its end."""
    await _status(running, attempt, bytes(BODY_BYTES))
    _forget_arrivals(running)


# Bodies of ended requests stayed in memory until a collection of the oldest
# generation, as tasks that were cancelled refer to them.
@pytest.mark.parametrize(
    'script',
    [
        scripted.Script(),
        scripted.Script(status=500),
        scripted.Script(events=3, drop_after_events=1),
        scripted.Script(delay_s=0.5),
        None,
    ],
    ids=['answered', 'error', 'broken', 'timeout', 'left'],
)
def test_the_body_of_an_ended_request_is_not_kept(
    bench: fleet_bench.FleetBench, script: scripted.Script | None
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(
            'i-1', 'plain', script or scripted.Script(delay_s=0.2)
        )
        send = _leave if script is None else _book
        with _uncollected():
            for number in range(REQUESTS):
                await send(running, f'a{number}')
            await running.wait_until(lambda: not running.process.callers.active)
            kept_bytes, _peak_bytes = tracemalloc.get_traced_memory()
        assert kept_bytes < KEPT_BYTES

    bench.run(body)
