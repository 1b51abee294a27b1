"""Tests of what an entry remembers of endpoints that have left."""

import curio
import fleet_bench
import pytest

from camphorstair.fleet import absences
from camphorstair_platform_standins import documents, exchange_headers, scripted

LEAVING = scripted.Script(says=(exchange_headers.LEAVING,))
LATER_S = absences.MEMORY_S + absences.CHECK_INTERVAL_S
FORGET_LIMIT_S = 2.0
NAME = 'i-1'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _remove(running: fleet_bench.FleetBench, name: str) -> None:
    """Remove a registration and wait until the entry knows."""
    running.store.remove(documents.registration_key(name))
    while name in running.entry.endpoints.endpoints:
        await curio.sleep(0.02)


def test_an_endpoint_that_has_left_is_forgotten_after_some_time(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(NAME, 'plain', LEAVING)
        await running.call('/look/')
        await _remove(running, NAME)
        absent = absences.Absences(running.entry)
        assert not absent.expire(0)
        assert not absent.expire(absences.MEMORY_S - 1)
        candidates = running.entry.candidates
        assert candidates[NAME].terms.leaving
        assert absent.expire(LATER_S) == [NAME]
        assert not candidates

    bench.run(body)


def test_an_endpoint_that_is_back_or_has_requests_is_not_forgotten(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(NAME, 'plain')
        await running.call('/look/')
        absent = absences.Absences(running.entry)
        assert not absent.expire(0)
        assert not absent.expire(LATER_S)
        await _remove(running, NAME)
        candidates = running.entry.candidates
        candidates[NAME].load.running = 1
        assert not absent.expire(2 * LATER_S)
        assert not absent.expire(3 * LATER_S)
        assert NAME in candidates

    bench.run(body)


def test_a_running_entry_forgets_endpoints_that_have_left(
    bench: fleet_bench.FleetBench, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(absences, 'MEMORY_S', 0.1)
    monkeypatch.setattr(absences, 'CHECK_INTERVAL_S', 0)

    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(NAME, 'plain')
        await running.call('/look/')
        await _remove(running, NAME)
        async with curio.timeout_after(FORGET_LIMIT_S):
            while running.entry.candidates:
                await curio.sleep(0.02)

    bench.run(body)
