"""Tests of endpoints that say in their answers that they leave."""

import fleet_bench
import pytest

from camphorstair_platform_standins import documents, exchange_headers, scripted
from camphorstair_runtime import clocks, http_messages

Script = scripted.Script
LEAVING = Script(says=(exchange_headers.LEAVING,))
CALLS = 12
FINAL_ANSWER_LIMIT_S = 0.5


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _call_often(running: fleet_bench.FleetBench, name: str) -> set[int]:
    """Send requests one after the other and return their statuses."""
    answers = [
        await running.call('/look/', f'{name}{number}')
        for number in range(CALLS)
    ]
    return {answer.status for answer in answers}


async def _hear_that_it_leaves(running: fleet_bench.FleetBench) -> None:
    """Call until the endpoint i-1 has said that it leaves."""
    for number in range(CALLS):
        if len(running.scripted_endpoints['i-1'].arrivals) == 1:
            return
        await running.call('/look/', f'first{number}')


def test_an_endpoint_that_says_it_leaves_gets_no_more_requests(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        # Later answers don't say so any more, as those made before.
        leaving = await running.add_endpoint('i-1', 'plain', LEAVING, Script())
        await running.add_endpoint('i-2', 'plain')
        await _hear_that_it_leaves(running)
        assert await _call_often(running, 'later') == {200}
        assert len(leaving.arrivals) == 1

    bench.run(body)


def test_the_last_endpoint_that_leaves_is_told_to_callers_at_once(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        leaving = await running.add_endpoint('i-1', 'plain', LEAVING)
        assert (await running.call('/look/', 'a1')).status == 200
        asked_s = clocks.monotonic_s()
        answer = await running.call('/look/', 'a2')
        assert answer.status == 503
        assert clocks.monotonic_s() - asked_s < FINAL_ANSWER_LIMIT_S
        retry_after = http_messages.header(answer.headers, 'retry-after')
        assert float(retry_after) >= 2
        assert len(leaving.arrivals) == 1

    bench.run(body)


def test_a_registration_that_comes_back_does_not_undo_leaving(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        leaving = await running.add_endpoint('i-1', 'plain', LEAVING, Script())
        await running.call('/look/', 'a1')
        known = running.entry.endpoints.endpoints
        address = known['i-1'].registration.address
        running.store.remove(documents.registration_key('i-1'))
        await running.wait_until(lambda: 'i-1' not in known)
        running.register('i-1', 'plain', address)
        await running.wait_until(lambda: 'i-1' in known)
        assert await _call_often(running, 'later') == {503}
        assert len(leaving.arrivals) == 1

    bench.run(body)


@pytest.mark.parametrize('name', ['i-1', 'i-9'])
def test_the_next_start_of_an_endpoint_that_left_is_used(
    bench: fleet_bench.FleetBench, name: str
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        leaving = await running.add_endpoint('i-1', 'plain', LEAVING, Script())
        known = running.entry.endpoints.endpoints
        address = known['i-1'].registration.address
        running.register('i-1', 'plain', address, born=1)
        await running.wait_until(lambda: known['i-1'].registration.born_ms)
        await running.call('/look/', 'a1')
        running.store.remove(documents.registration_key('i-1'))
        await running.wait_until(lambda: 'i-1' not in known)
        leaving.name = name
        running.register(name, 'plain', address, born=2)
        await running.wait_until(lambda: name in known)
        assert await _call_often(running, 'later') == {200}

    bench.run(body)
