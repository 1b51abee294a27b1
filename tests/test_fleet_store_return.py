"""Tests of an entry when the store comes back from an older copy of itself."""

import curio
import fleet_bench
import pytest

from camphorstair_core.experts import group_orders
from camphorstair_core.fleet import store_copy
from camphorstair_fleet import leasing
from camphorstair_platform import store, store_errors

PLANNER_KEY = 'camphorstair/planners/g'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _wait_era(running: fleet_bench.FleetBench) -> None:
    """Wait until the entry has read all keys of the store's era."""
    known = running.process.follower.mirror.known
    await running.wait_until(lambda: known.rows_era == running.store.era)


def test_a_withdrawn_key_stays_withdrawn(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        earlier = running.store.copy_content()
        running.configure(2, Tenants=[])
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        running.store.come_back(earlier)
        await _wait_era(running)
        assert (await running.call('/look/')).status == 401
        assert running.entry.configuration.version == 2

    bench.run(body)


def test_an_endpoint_that_has_left_is_not_used_again(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        left = await running.add_endpoint('i-1', 'plain')
        earlier = running.store.copy_content()
        running.store.remove('servers/i-1')
        known = running.entry.endpoints.endpoints
        await running.wait_until(lambda: 'i-1' not in known)
        running.store.come_back(earlier)
        await _wait_era(running)
        assert (await running.call('/look/')).status == 503
        assert not left.arrivals

    bench.run(body)


def test_an_endpoint_that_was_draining_gets_no_requests(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        leaving = await running.add_endpoint('i-1', 'plain')
        known = running.entry.endpoints.endpoints['i-1']
        address = known.registration.address
        earlier = running.store.copy_content()
        running.register('i-1', 'plain', address, State='draining')
        await running.wait_until(
            lambda: known.registration.state.value == 'draining'
        )
        running.store.come_back(earlier)
        await _wait_era(running)
        assert (await running.call('/look/')).status == 503
        running.register('i-1', 'plain', address, Sequence=9)
        await running.wait_until(
            lambda: known.registration.state.value == 'ready'
        )
        assert (await running.call('/look/')).status == 200
        assert len(leaving.arrivals) == 1

    bench.run(body)


def test_a_data_centre_stays_out_until_its_key_is_written_again(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        earlier = running.store.copy_content()
        running.store.put('op/evacuate/levis-nord', b'{}')
        await running.wait_until(lambda: running.entry.endpoints.out)
        running.store.come_back(earlier)
        await _wait_era(running)
        assert (await running.call('/look/')).status == 503
        running.store.put('op/evacuate/levis-nord', b'{}')
        await curio.sleep(store_copy.RETURN_LIMIT_S + 0.5)
        assert (await running.call('/look/')).status == 503
        assert not endpoint.arrivals

    bench.run(body)


def test_an_endpoint_that_the_copy_lacks_is_used_until_it_registers_again(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        earlier = running.store.copy_content()
        await running.add_endpoint('i-1', 'plain')
        known = running.entry.endpoints.endpoints
        running.store.come_back(earlier)
        await _wait_era(running)
        assert (await running.call('/look/')).status == 200
        await running.wait_until(lambda: 'i-1' not in known)

    bench.run(body)


def test_an_entry_registers_again_at_once(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        key = 'camphorstair/members/front-1'
        await running.wait_until(lambda: key in running.store.rows)
        earlier = running.store.copy_content()
        earlier.rows.pop(key)
        running.store.come_back(earlier)
        assert key not in running.store.rows
        joining = running.process.joining
        await running.wait_until(lambda: joining.era == running.store.era)
        assert key in running.store.rows

    bench.run(body)


def test_a_lease_of_an_earlier_era_is_not_held_though_its_number_exists(
    bench: fleet_bench.FleetBench,
) -> None:
    """The later planner's maps have other version numbers."""

    async def body(running: fleet_bench.FleetBench) -> None:
        clients = [
            store.StoreClient(running.told.store.address) for _ in range(2)
        ]
        planners = [
            leasing.Leadership(client, PLANNER_KEY, holder, 60)
            for client, holder in zip(clients, (b'vm-1', b'vm-2'), strict=True)
        ]
        earlier = running.store.copy_content()
        assert await planners[0].acquire()
        running.store.come_back(earlier)
        assert await planners[1].acquire()
        assert not await planners[0].renew()
        assert [planner.held() for planner in planners] == [False, True]
        versions = {
            group_orders.version_number(planner.era, planner.revision, 1)
            for planner in planners
        }
        assert len(versions) == 2

    bench.run(body)


def test_a_late_answer_of_an_earlier_era_is_an_error(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        client = store.StoreClient(running.told.store.address)
        running.store.era = 4
        await client.scan('op/')
        running.store.era = 3
        with pytest.raises(store_errors.StoreError):
            await client.scan('op/')
        assert client.era == 4

    bench.run(body)
