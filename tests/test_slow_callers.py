"""Tests of callers and endpoints that read slowly."""

import http
import logging
import socket
from collections import abc

import attrs
import curio
import fleet_bench
import pytest

from camphorstair.fleet import holding
from camphorstair_core.fleet import held_bytes
from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import (
    clocks,
    http_client,
    http_messages,
    http_server,
    sockets,
)
from camphorstair_standins import loopback

BUFFER_BYTES = 16384
EVENT_BYTES = 4096
# More than the shrunken kernel buffers on the way, less than a caller's bound.
EVENT_COUNT = 60
# An endpoint cuts an answer that remains unread for this long.
CUT_S = 0.8
PAUSE_S = 1.6
# Half of the shortest gap between events that a caller would notice.
LATENESS_LIMIT_S = 0.1
POLL_S = 0.05
BODY_BYTES = 500_000

End = abc.Callable[[http_client.Exchange], abc.Awaitable[None]]


@attrs.define(eq=False)
class CuttingEndpoint:
    """An endpoint that cuts answers that remain unread.

    :ivar count: Number of events, or of parts of a whole answer.
    :ivar is_stream: Whether the answer is an event stream.
    :ivar gap_s: Time after each event; the event holds the time of sending.
    :ivar cut: Number of answers that were cut.
    :ivar complete: Number of answers that were sent to their end.
    """

    count: int = EVENT_COUNT
    is_stream: bool = True
    gap_s: float = 0
    cut: int = 0
    complete: int = 0

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one request.

        :raises http_server.Disconnected: if a part is not read in time.
        """
        attempt = request.header(exchange_headers.ATTEMPT)
        headers = exchange_headers.sealed(attempt)
        if not self.is_stream:
            length = str(self.count * EVENT_BYTES)
            headers.append(('content-length', length))
        await responder.start(http.HTTPStatus.OK, headers)
        for number in range(1, self.count + 1):
            try:
                await curio.timeout_after(CUT_S, responder.send, event(number))
            except (curio.TaskTimeout, http_server.Disconnected):
                self.cut += 1
                raise http_server.Disconnected('cut') from None
            await curio.sleep(self.gap_s)
        await responder.finish()
        self.complete += 1


def event(number: int) -> bytes:
    """Return an event of ``EVENT_BYTES`` that tells when it was sent."""
    line = f'id: {number}\ndata: {clocks.monotonic_s()} '
    return f'{line:x<{EVENT_BYTES - 2}}\n\n'.encode()


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> fleet_bench.FleetBench:
    """Return a bench whose sockets have small kernel buffers."""
    disable_nagle = sockets.disable_nagle

    def shrink(sock: curio.io.Socket) -> None:
        disable_nagle(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)

    monkeypatch.setattr(sockets, 'disable_nagle', shrink)
    return fleet_bench.FleetBench()


async def add(
    running: fleet_bench.FleetBench,
    service: str,
    handler: http_server.ResponderHandler,
    name: str = 'i-1',
) -> None:
    """Bound slow peers and start an endpoint."""
    entry = running.entry
    entry.settings = attrs.evolve(entry.settings, bounds_slow_peers=True)
    address = loopback.free_address()
    await running.listen(address, handler)
    running.register(name, service, address)
    await running.wait_until(lambda: name in entry.endpoints.endpoints)


def totals(running: fleet_bench.FleetBench) -> held_bytes.Totals:
    """Return what the entry holds."""
    return running.entry.held.totals


async def wait_freed(running: fleet_bench.FleetBench) -> None:
    """Wait until no answer is open; fail if it still holds something."""
    await running.wait_until(lambda: not running.entry.held.holdings)
    assert not totals(running).total_bytes
    assert not totals(running).accounts


@pytest.mark.parametrize('bounded', [True, False])
def test_a_slow_caller_gets_its_whole_stream(
    bench: fleet_bench.FleetBench, bounded: bool
) -> None:
    """Guards against an endpoint that cuts the answer of a slow caller.

    Unless slow peers are bounded, nothing is held and the stream is cut.
    """

    async def play(running: fleet_bench.FleetBench) -> None:
        endpoint = CuttingEndpoint()
        await add(running, 'engine', endpoint.handle)
        running.entry.settings = attrs.evolve(
            running.entry.settings, bounds_slow_peers=bounded
        )
        exchange = await running.open('/draft/')
        await curio.sleep(PAUSE_S)
        assert bool(totals(running).total_bytes) == bounded
        assert bool(endpoint.cut) != bounded
        if bounded:
            body = await exchange.read_all()
            assert len(body) == EVENT_COUNT * EVENT_BYTES
            assert body.endswith(b'\n\n')
            assert body.count(b'id: ') == EVENT_COUNT
        await exchange.close()
        await wait_freed(running)

    bench.run(play)


@pytest.mark.parametrize(
    ('path', 'service'), [('/draft/', 'engine'), ('/look/', 'plain')]
)
def test_a_caller_that_reads_nothing_ends_at_its_deadline(
    bench: fleet_bench.FleetBench, path: str, service: str
) -> None:
    """Guards against answers that are held beyond their deadline.

    Also against reading on beyond the caller's bound.
    """

    async def play(running: fleet_bench.FleetBench) -> None:
        endpoint = CuttingEndpoint(200, is_stream=service == 'engine')
        await add(running, service, endpoint.handle)
        began_s = clocks.monotonic_s()
        exchange = await running.open(path)
        peak_bytes = 0
        while running.entry.held.holdings:
            peak_bytes = max(peak_bytes, totals(running).total_bytes)
            await curio.sleep(POLL_S)
        assert peak_bytes
        if service == 'engine':
            bound_bytes = held_bytes.CALLER_BOUND_BYTES + holding.WRITE_BYTES
            assert peak_bytes <= bound_bytes
        # The route's limit is 3 s.
        assert clocks.monotonic_s() - began_s < 4
        with pytest.raises(http_client.HttpError):
            await exchange.read_all()
        await exchange.close()
        await wait_freed(running)

    bench.run(play)


def test_a_fast_caller_beside_slow_ones_is_not_delayed(
    bench: fleet_bench.FleetBench,
) -> None:
    """Guards against slow callers that delay the events of another one."""

    async def play(running: fleet_bench.FleetBench) -> None:
        await add(running, 'engine', CuttingEndpoint(gap_s=0.02).handle)
        slow = [
            await running.open('/draft/', f's{slow_number}')
            for slow_number in range(5)
        ]
        exchange = await running.open('/draft/', 'fast')
        chunk = await exchange.read()
        lateness_s = []
        while chunk is not None:
            if chunk.startswith(b'id: '):
                sent_s = float(chunk.split()[3])
                lateness_s.append(clocks.monotonic_s() - sent_s)
            chunk = await exchange.read()
        assert totals(running).total_bytes
        assert len(lateness_s) > EVENT_COUNT / 2
        assert sorted(lateness_s)[len(lateness_s) // 2] < LATENESS_LIMIT_S
        for other in slow:
            await other.close()
        await exchange.close()
        await wait_freed(running)

    bench.run(play)


@pytest.mark.parametrize(
    ('path', 'service', 'repeatable'),
    [
        ('/draft/', 'engine', True),
        ('/look/', 'plain', True),
        ('/book/', 'plain', False),
    ],
)
def test_beyond_the_total_an_answer_is_ended_visibly(
    bench: fleet_bench.FleetBench,
    caplog: pytest.LogCaptureFixture,
    path: str,
    service: str,
    repeatable: bool,
) -> None:
    """Guards against an ended answer that looks complete.

    Also against cutting a request at its endpoint that may not be repeated.
    """
    caplog.set_level(logging.WARNING, holding.__name__)

    async def play(running: fleet_bench.FleetBench) -> None:
        endpoint = CuttingEndpoint(200, service == 'engine', gap_s=0.002)
        await add(running, service, endpoint.handle)
        totals(running).bound_bytes = 100_000
        with pytest.raises(http_client.HttpError):
            await read_after_pause(await running.open(path))
        await wait_freed(running)
        await running.wait_until(lambda: endpoint.complete + endpoint.cut)
        assert bool(endpoint.complete) != repeatable
        ended = [
            record
            for record in caplog.records
            if record.message.startswith('answer ended')
        ]
        assert ended[0].__dict__['held_bytes'] > 100_000

    bench.run(play)


def test_a_body_that_an_endpoint_reads_slowly_counts(
    bench: fleet_bench.FleetBench,
) -> None:
    """Guards against request bodies that are held without a bound."""

    async def play(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        entry = running.entry
        entry.settings = attrs.evolve(entry.settings, bounds_slow_peers=True)
        await running.listen_raw(address, read_slowly)
        running.register('i-1', 'plain', address)
        await running.wait_until(lambda: entry.endpoints.endpoints)
        budget = entry.kept_requests.budget
        budget.bound_bytes = 500_000
        async with curio.TaskGroup() as group:
            await group.spawn(fails, running, bytes(500_000))
            await running.wait_until(lambda: budget.total_bytes)
            # A further one exceeds the total and is refused at once.
            head = await curio.timeout_after(1, begin_body, running, 600_000)
            assert head.startswith(b'HTTP/1.1 503')
            assert budget.total_bytes == 500_000
        await wait_freed(running)
        assert not budget.total_bytes

    bench.run(play)


def test_an_endpoint_may_pause_within_a_body(
    bench: fleet_bench.FleetBench,
) -> None:
    """Guards against a user timeout that ends a slow endpoint's request."""

    async def read_late(sock: curio.io.Socket, _address: object) -> None:
        await curio.sleep(sockets.USER_TIMEOUT_MS / 1000 + 0.7)
        unread_bytes = BODY_BYTES
        while unread_bytes > 0:
            unread_bytes -= len(await sock.recv(BODY_BYTES))
        lines = [
            f'{name}: {text}\r\n'
            for name, text in exchange_headers.sealed('a1')
        ]
        head = f'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{"".join(lines)}'
        await sock.sendall(f'{head}\r\n'.encode())

    async def play(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        entry = running.entry
        entry.settings = attrs.evolve(entry.settings, bounds_slow_peers=True)
        await running.listen_raw(address, read_late)
        running.register('i-1', 'plain', address)
        await running.wait_until(lambda: entry.endpoints.endpoints)
        assert not await fails(running, bytes(BODY_BYTES))
        await wait_freed(running)

    bench.run(play)


async def read_after_pause(exchange: http_client.Exchange) -> None:
    """Read an answer only after its endpoint could send a part of it."""
    try:
        await curio.sleep(CUT_S / 2)
        await exchange.read_all()
    finally:
        await exchange.close()


async def read_slowly(sock: curio.io.Socket, _address: object) -> None:
    """Read a request at 20 KB/s and never answer."""
    while await sock.recv(1000):
        await curio.sleep(POLL_S)


async def begin_body(running: fleet_bench.FleetBench, size_bytes: int) -> bytes:
    """Send the head of a request with a body; return how its answer begins."""
    lines = exchange_headers.request('a2', fleet_bench.KEY, 4)
    head = ''.join(f'{name}: {text}\r\n' for name, text in lines)
    exchange = await http_client.connect(running.told.callers_address)
    await exchange.sock.sendall(
        f'POST /look/ HTTP/1.1\r\nhost: {fleet_bench.HOST}\r\n{head}'
        f'content-length: {size_bytes}\r\n\r\n'.encode()
    )
    answer: bytes = await exchange.sock.recv(4096)
    await exchange.close()
    return answer


async def fails(running: fleet_bench.FleetBench, body: bytes) -> bool:
    """Return whether a call of the plain service fails."""
    try:
        answer = await running.call('/look/', body=body)
    except http_client.HttpError:
        return True
    return answer.status != http.HTTPStatus.OK


def test_ends_of_every_kind_leave_nothing_held(
    bench: fleet_bench.FleetBench,
) -> None:
    """Guards against accounts that are not freed."""

    async def read_some(exchange: http_client.Exchange) -> None:
        await exchange.read()

    async def read_all(exchange: http_client.Exchange) -> None:
        await exchange.read_all()

    async def pause(_exchange: http_client.Exchange) -> None:
        await curio.sleep(0.3)

    async def stay(_exchange: http_client.Exchange) -> None:
        await curio.sleep(4)

    ends: list[End] = [read_some, read_all, pause, stay]

    async def play(running: fleet_bench.FleetBench) -> None:
        await add(running, 'engine', CuttingEndpoint(100).handle)
        await add(
            running,
            'plain',
            CuttingEndpoint(100, is_stream=False).handle,
            'i-2',
        )
        totals(running).bound_bytes = 1_500_000

        async def call(number: int) -> None:
            path = ('/draft/', '/look/', '/book/')[number % 3]
            try:
                exchange = await running.open(path, f'a{number}')
            except http_client.HttpError:
                return
            try:
                await ends[number % 4](exchange)
            except http_client.HttpError:
                return
            finally:
                await exchange.close()

        async with curio.TaskGroup() as group:
            for number in range(36):
                await group.spawn(call, number)
        await wait_freed(running)

    bench.run(play)
