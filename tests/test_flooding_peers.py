"""Tests that a peer that sends without end keeps nobody else waiting."""

import signal
import time
from collections import abc

import curio
import fleet_bench
import flooding
import pytest

from camphorstair_agent.fleet import engine_calls
from camphorstair_core import event_stream, messages
from camphorstair_platform import engines, store, store_errors
from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import fairness, http_client, links, settings

INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
CHUNK = b'1\r\nx\r\n'
COUNT = 2000
# Time in which anything else has to be answered beside a flood.
ANSWER_LIMIT_S = 1.0
# How long a caller waits, and half a second.
CALL_LIMIT_S = fleet_bench.CALLER_LIMIT_S + 0.5
HANG_LIMIT_S = 30


def _head(attempt: str) -> bytes:
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in exchange_headers.sealed(attempt)
    )
    return (
        f'HTTP/1.1 200 OK\r\n{lines}transfer-encoding: chunked\r\n\r\n'.encode()
    )


FLOODS = (
    pytest.param(b'', INTERIM * COUNT, id='interim responses'),
    pytest.param(_head('a1'), CHUNK * COUNT, id='chunks of one byte'),
    pytest.param(
        _head('a1'), b'1;%s\r\nx\r\n' % (b'y' * 60) * COUNT, id='extensions'
    ),
    pytest.param(
        b'%s8\r\nid: 1\n\n\r\n' % _head('a1'), CHUNK * COUNT, id='endless event'
    ),
)


@pytest.fixture(autouse=True)
def _ended_if_it_hangs() -> abc.Iterator[None]:
    """Raise an error in a test whose event loop does not run any more."""

    def fail(_number: int, _frame: object) -> None:
        pytest.fail('the event loop was held')

    before = signal.signal(signal.SIGALRM, fail)
    signal.alarm(HANG_LIMIT_S)
    yield
    signal.alarm(0)
    signal.signal(signal.SIGALRM, before)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _check_served(running: fleet_bench.FleetBench) -> None:
    """Check that the entry answers others in time, for as long as 10 calls."""
    for number in range(10):
        async with curio.timeout_after(ANSWER_LIMIT_S):
            answer = await running.call('/look/', f'b{number}')
        assert answer.status == 200
        await curio.sleep(0.02)


# An entry that had sent a request to such an endpoint answered nobody any more,
# and did not end at SIGTERM (review/2).
@pytest.mark.parametrize(('first', 'block'), FLOODS)
@pytest.mark.parametrize(
    ('path', 'service'), [('/book/', 'flooded'), ('/draft/', 'engine')]
)
def test_an_endpoint_that_sends_without_end_delays_nobody_else(
    bench: fleet_bench.FleetBench,
    first: bytes,
    block: bytes,
    path: str,
    service: str,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.configure(
            2,
            Routes=[
                fleet_bench.route('draft', 'streaming', 'engine'),
                fleet_bench.route('book', 'non_idempotent', 'flooded'),
                fleet_bench.route('look', 'idempotent', 'plain'),
            ],
        )
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        await running.add_endpoint('i-2', 'plain')
        with flooding.server(first, block) as address:
            running.register('i-1', service, address)
            known = running.entry.endpoints.endpoints
            await running.wait_until(lambda: 'i-1' in known)
            flooded = await curio.spawn(_call, running, path)
            await _check_served(running)
            async with curio.timeout_after(CALL_LIMIT_S):
                status = await flooded.join()
        assert status in {502, 504, None}
        candidate = running.entry.candidates['i-1']
        assert candidate.health.failures

    bench.run(body)


async def _call(running: fleet_bench.FleetBench, path: str) -> int | None:
    """Return the status of an answer; None if it breaks off."""
    try:
        return (await running.call(path)).status
    except http_client.HttpError:
        return None


REQUEST = (
    b'POST /%s/ HTTP/1.1\r\nhost: yards.example\r\n'
    b'x-camphorstair-attempt-id: c1\r\n%s\r\n\r\n'
)


@pytest.mark.parametrize(
    ('first', 'block'),
    [
        pytest.param(
            REQUEST % (b'look', b'transfer-encoding: chunked'),
            CHUNK * COUNT,
            id='chunks of one byte',
        ),
        pytest.param(
            b'',
            REQUEST % (b'absent', b'content-length: 0') * 100,
            id='pipelined requests',
        ),
        pytest.param(b'', b'no HTTP at all ' * COUNT, id='no HTTP'),
    ],
)
def test_a_caller_that_sends_without_end_delays_nobody_else(
    bench: fleet_bench.FleetBench, first: bytes, block: bytes
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-2', 'plain')
        host, port = settings.split_address(running.told.callers_address)
        with flooding.client(host, port, first, block):
            await _check_served(running)

    bench.run(body)


def test_datagrams_without_end_delay_nobody_else(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-2', 'plain')
        told = running.told
        with flooding.datagrams(told.address, told.internal_port, b'odd'):
            await _check_served(running)

    bench.run(body)


# Agents read their engine's report by the same functions.
@pytest.mark.parametrize(('first', 'block'), FLOODS)
def test_an_engine_that_sends_without_end_does_not_hold_its_agent(
    first: bytes, block: bytes
) -> None:
    async def body(address: str) -> None:
        began_s = time.monotonic()
        with pytest.raises(http_client.HttpError):
            await engine_calls.EngineCalls(address).call(
                engines.report_request()
            )
        assert time.monotonic() - began_s < ANSWER_LIMIT_S

    with flooding.server(first, block) as address:
        curio.run(body, address)


@pytest.mark.parametrize(('first', 'block'), FLOODS)
def test_a_store_that_sends_without_end_does_not_hold_its_client(
    first: bytes, block: bytes
) -> None:
    async def body(address: str) -> None:
        async with curio.timeout_after(store.CALL_LIMIT_S + ANSWER_LIMIT_S):
            with pytest.raises(store_errors.StoreError):
                await store.StoreClient(address).scan('servers/')

    with flooding.server(first, block) as address:
        curio.run(body, address)


def test_a_link_that_brings_messages_without_end_does_not_hold_its_reader() -> (
    None
):
    block = links.encode(messages.ResponseChunk('r', 1, 1, 1, b'x')) * COUNT

    async def read(link: links.Link) -> None:
        while True:
            await link.receive()

    async def body(address: str) -> None:
        host, port = settings.split_address(address)
        link = await links.connect(host, port, None, 1)
        await link.sock.sendall(b'x')
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(0.2, read, link)
        await link.close()

    with flooding.server(b'', block) as address:
        curio.run(body, address)


def test_a_task_that_counts_events_leaves_turns_to_others() -> None:
    turns: list[int] = []

    async def count() -> None:
        while True:
            await fairness.count_event()

    async def take_turns() -> None:
        while True:
            turns.append(1)
            await curio.sleep(0)

    async def body() -> None:
        other = await curio.spawn(take_turns)
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(0.05, count)
        await other.cancel()

    curio.run(body)
    assert len(turns) > 2


def _feeding_s(size_bytes: int) -> float:
    splitter = event_stream.EventSplitter()
    began_s = time.process_time()
    for _ in range(size_bytes // 64):
        splitter.feed(b'x' * 64)
    return time.process_time() - began_s


def test_the_time_to_split_an_event_grows_with_its_size_only() -> None:
    short_s = min(_feeding_s(2**17) for _ in range(3))
    assert min(_feeding_s(2**20) for _ in range(3)) < short_s * 16


@pytest.mark.parametrize('size', [1, 2, 3, 7, 1000])
@pytest.mark.parametrize('end', [b'\n\n', b'\r\n\r\n'])
def test_events_that_come_in_parts_are_split_at_their_ends(
    size: int, end: bytes
) -> None:
    stream = b''.join(
        b'id: %d\ndata: y%s' % (number, end) for number in range(1, 9)
    )
    splitter = event_stream.EventSplitter()
    parts = [stream[at : at + size] for at in range(0, len(stream), size)]
    events = [splitter.feed(part) for part in parts]
    assert b''.join(events) == stream
    assert not splitter.pending
    assert all(taken.endswith(end) for taken in events if taken)
