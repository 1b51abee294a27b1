"""Tests of which endpoints an entry ejects for their responses."""

import curio
import fleet_bench
import pytest

from camphorstair_platform_standins import scripted

Script = scripted.Script
CALLS = 8


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _call_concurrently(running: fleet_bench.FleetBench) -> list[int]:
    """Send ``CALLS`` requests at once and return their statuses."""
    tasks = [
        await curio.spawn(running.call, '/look/', f'a{number}')
        for number in range(CALLS)
    ]
    return [(await task.join()).status for task in tasks]


def _ejected_names(running: fleet_bench.FleetBench) -> set[str]:
    return {
        name
        for name, candidate in running.entry.candidates.items()
        if candidate.health.ejected_deadline_s
    }


async def _set_timeout(
    running: fleet_bench.FleetBench, timeout_ms: int
) -> None:
    route = fleet_bench.route(
        'look', 'idempotent', 'plain', TimeoutMs=timeout_ms
    )
    running.configure(2, Routes=[route])
    await running.wait_until(lambda: running.entry.configuration.version == 2)


def test_an_endpoint_that_hangs_is_ejected(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _set_timeout(running, 1300)
        await running.add_endpoint('i-1', 'plain', Script(delay_s=9))
        await running.add_endpoint('i-2', 'plain', Script(delay_s=0.1))
        statuses = await _call_concurrently(running)
        assert set(statuses) == {200, 504}
        assert _ejected_names(running) == {'i-1'}

    bench.run(body)


def test_no_ejection_when_all_endpoints_time_out(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _set_timeout(running, 1300)
        await running.add_endpoint('i-1', 'plain', Script(delay_s=9))
        await running.add_endpoint('i-2', 'plain', Script(delay_s=9))
        assert set(await _call_concurrently(running)) == {504}
        assert not _ejected_names(running)

    bench.run(body)


def test_ejected_endpoint_is_probed_with_one_request(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint(
            'i-1', 'plain', Script(), Script(delay_s=1), Script()
        )
        await running.call('/look/')
        health = running.entry.candidates['i-1'].health
        health.ejections = 1
        callers = [
            await curio.spawn(running.call, '/look/', f'b{number}')
            for number in range(2)
        ]
        received = running.entry.budget('plain').requests
        await running.wait_until(lambda: len(received.times_s) == 3)
        await running.wait_until(lambda: len(endpoint.arrivals) == 2)
        queue = running.entry.queue('plain')
        assert len(queue.waiters) == 1
        statuses = [(await task.join()).status for task in callers]
        assert statuses == [200, 200]
        assert not health.ejections

    bench.run(body)


def test_an_endpoint_that_stops_at_the_deadline_is_not_ejected(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain', Script(status=504))
        await running.add_endpoint('i-2', 'plain', Script())
        await _call_concurrently(running)
        assert not _ejected_names(running)

    bench.run(body)
