"""Which endpoints an entry ejects by what their answers show."""

import curio
import fleet_bench
import pytest

from camphorstair_platform_standins import scripted

Script = scripted.Script
CALLS = 8


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _call_together(running: fleet_bench.FleetBench) -> list[int]:
    """Send requests at the same time; return the statuses."""
    tasks = [
        await curio.spawn(running.call, '/look/', f'a{number}')
        for number in range(CALLS)
    ]
    return [(await task.join()).status for task in tasks]


def _ejected(running: fleet_bench.FleetBench) -> set[str]:
    return {
        name
        for name, one in running.entry.candidates.items()
        if one.health.ejected_deadline_s
    }


async def _limit(running: fleet_bench.FleetBench, limit_ms: int) -> None:
    route = fleet_bench.route('look', 'idempotent', 'plain', TimeoutMs=limit_ms)
    running.configure(2, Routes=[route])
    await running.until(lambda: running.entry.configuration.version == 2)


def test_an_endpoint_that_hangs_is_ejected(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _limit(running, 1300)
        await running.add_runner('i-1', 'plain', Script(delay_s=9))
        await running.add_runner('i-2', 'plain', Script(delay_s=0.1))
        statuses = await _call_together(running)
        assert set(statuses) == {200, 504}
        assert _ejected(running) == {'i-1'}

    bench.run(body)


def test_a_service_whose_endpoints_all_wait_keeps_them(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _limit(running, 1300)
        await running.add_runner('i-1', 'plain', Script(delay_s=9))
        await running.add_runner('i-2', 'plain', Script(delay_s=9))
        assert set(await _call_together(running)) == {504}
        assert not _ejected(running)

    bench.run(body)


def test_an_endpoint_that_was_ejected_comes_back_with_one_request(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        runner = await running.add_runner('i-1', 'plain', Script(delay_s=0.2))
        await running.call('/look/')
        health = running.entry.candidates['i-1'].health
        health.ejections = 1
        callers = [
            await curio.spawn(running.call, '/look/', f'b{number}')
            for number in range(2)
        ]
        await running.until(lambda: len(runner.arrivals) > 1)
        queue = running.entry.queue('plain')
        assert len(queue.waiters) == 1
        statuses = [(await one.join()).status for one in callers]
        assert statuses == [200, 200]
        assert not health.ejections

    bench.run(body)


def test_an_endpoint_that_stops_at_the_deadline_is_not_ejected(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_runner('i-1', 'plain', Script(status=504))
        await running.add_runner('i-2', 'plain', Script())
        await _call_together(running)
        assert not _ejected(running)

    bench.run(body)
