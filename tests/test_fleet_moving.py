"""Tests of streams and new requests when a rank becomes slow."""

import curio
import fleet_bench
import pytest
import rank_streams

from camphorstair_platform_standins import scripted
from camphorstair_runtime import http_messages

Script = scripted.Script
SLOW = Script(events=8, gap_s=0.6)
EVENTS = tuple(b'id: %d' % number for number in range(1, 9))


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def _event_ids(answer: http_messages.Response) -> tuple[bytes, ...]:
    lines = answer.body.split(b'\n')
    return tuple(line for line in lines if line.startswith(b'id'))


def _failure_count(running: fleet_bench.FleetBench, name: str) -> int:
    health = running.entry.candidates[name].health
    return health.failures


@pytest.mark.parametrize(
    ('script', 'until_slow_s', 'last_event'),
    [(Script(events=8, delay_s=9), 0, ''), (SLOW, 0.8, '2')],
)
def test_stream_moves_to_other_rank_when_its_rank_is_slow(
    bench: fleet_bench.FleetBench,
    script: scripted.Script,
    until_slow_s: float,
    last_event: str,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        slow = await rank_streams.add(running, 'i-1', 0, script)
        caller = await curio.spawn(running.call, '/draft/')
        await running.wait_until(lambda: slow.arrivals)
        await curio.sleep(until_slow_s)
        fast = await rank_streams.add(running, 'i-2', 1, Script(events=8))
        rank_streams.report_pace(running, 'i-1', 12)
        answer = await caller.join()
        assert _event_ids(answer) == EVENTS
        assert fast.arrivals[0].header('last-event-id') == last_event
        assert (slow.left, _failure_count(running, 'i-1')) == (1, 0)

    bench.run(body)


@pytest.mark.parametrize('pace', [1.2, 2.0])
def test_a_stream_stays_while_its_pauses_are_short(
    bench: fleet_bench.FleetBench,
    pace: float,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        script = Script(events=8, gap_s=0.05)
        rank = await rank_streams.add(running, 'i-1', 0, script)
        caller = await curio.spawn(running.call, '/draft/')
        await running.wait_until(lambda: rank.arrivals)
        await rank_streams.add(running, 'i-2', 1, Script(events=8))
        rank_streams.report_pace(running, 'i-1', pace)
        assert _event_ids(await caller.join()) == EVENTS
        assert not rank.left

    bench.run(body)


def test_a_slow_rank_gets_no_requests(bench: fleet_bench.FleetBench) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        slow = await rank_streams.add(running, 'i-1', 0, Script(events=8))
        fast = await rank_streams.add(running, 'i-2', 1, Script(events=8))
        await running.call('/draft/')
        await running.call('/draft/')
        rank_streams.report_pace(running, 'i-1', 1.6)
        before = len(slow.arrivals)
        for number in range(4):
            await running.call('/draft/', f'b{number}')
        assert len(slow.arrivals) == before
        assert len(fast.arrivals) >= 4

    bench.run(body)


def test_long_running_stream_resumes_after_break(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        broken = Script(events=8, gap_s=0.6, drop_after_events=4)
        endpoint = await running.add_endpoint('i-1', 'engine', broken)
        caller = await curio.spawn(running.call, '/draft/')
        await running.wait_until(lambda: endpoint.arrivals)
        await running.add_endpoint('i-2', 'engine', Script(events=8))
        assert _event_ids(await caller.join()) == EVENTS

    bench.run(body)
