"""Tests of how an entry applies changes in the store and its failures."""

import fleet_bench
import pytest

from camphorstair_platform import store, store_errors


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def test_removed_key_is_rejected_after_update(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        assert (await running.call('/look/')).status == 200
        running.configure(2, Tenants=[])
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        assert (await running.call('/look/')).status == 401

    bench.run(body)


def test_an_older_configuration_is_never_taken_over(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.configure(7)
        await running.wait_until(
            lambda: running.entry.configuration.version == 7
        )
        running.configure(6)
        running.store.put('servers/later', b'{}')
        await running.call('/absent/')
        running.store.faults.history_lost = True
        await running.wait_until(lambda: 'range' in running.store.calls[3:])
        running.store.faults.history_lost = False
        assert running.entry.configuration.version == 7

    bench.run(body)


def test_invalid_store_values_are_ignored(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        running.store.put('op/config', b'{"Version": 9, "Routes": 3}')
        running.store.put('servers/i-2', b'\xff\x00')
        running.store.put('servers/i-3', b'{"State": "dancing"}')
        running.register('i-4', 'plain', '127.0.0.1:1')
        listed_endpoints = running.entry.endpoints.endpoints
        await running.wait_until(lambda: 'i-4' in listed_endpoints)
        assert running.entry.configuration.version == 1
        assert set(listed_endpoints) == {'i-1', 'i-4'}

    bench.run(body)


def test_draining_endpoint_gets_no_requests(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        listed_endpoints = running.entry.endpoints.endpoints
        address = listed_endpoints['i-1'].registration.address
        running.register('i-1', 'plain', address, State='draining')
        await running.wait_until(
            lambda: (
                listed_endpoints['i-1'].registration.state.value == 'draining'
            ),
        )
        assert (await running.call('/look/')).status == 503
        assert not endpoint.arrivals

    bench.run(body)


def test_evacuated_data_centre_gets_no_requests(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        running.store.put('op/evacuate/levis-nord', b'{}')
        await running.wait_until(lambda: running.entry.endpoints.out)
        assert (await running.call('/look/')).status == 503
        running.store.remove('op/evacuate/levis-nord')
        await running.wait_until(lambda: not running.entry.endpoints.out)
        assert (await running.call('/look/')).status == 200

    bench.run(body)


def test_keys_are_refused_once_the_configuration_is_too_old(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        running.store.faults.refuses = True
        await running.wait_until(
            lambda: running.entry.freshness.outage_start_s is not None
        )
        assert (await running.call('/look/')).status == 200
        running.entry.freshness.confirmed_s -= 5
        answer = await running.call('/look/')
        assert answer.status == 503
        assert b'confirmed' in answer.body
        running.store.faults.refuses = False
        await running.wait_until(
            lambda: running.entry.freshness.outage_start_s is None
        )
        assert (await running.call('/look/')).status == 200

    bench.run(body)


def test_lost_store_reply_raises_possibly_applied_error(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        client = store.StoreClient(running.told.store.address)
        running.store.faults.loses_answers = True
        with pytest.raises(store_errors.StoreError) as raised:
            await client.grant(2)
        assert raised.value.possibly_applied
        running.store.faults.loses_answers = False
        assert await client.grant(2)
        await client.close()

    bench.run(body)
