"""Tests of an entry that starts after the store came back from a copy.

It has not seen what the copy lacks, so it asks the entries that have.
"""

import curio
import fleet_bench
import pytest

from camphorstair.fleet import serving
from camphorstair_core.fleet import store_copy
from camphorstair_fleet import unsettled_keys
from camphorstair_platform_standins import documents, stores
from camphorstair_runtime import clocks
from camphorstair_standins import loopback

SERVED = 200
UNAUTHORIZED = 401
UNAVAILABLE = 503
PEER_KEY = 'camphorstair/members/front-1'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _status(
    running: fleet_bench.FleetBench, entry: serving.Process
) -> int:
    return (await running.call('/look/', entry=entry)).status


def _version(entry: serving.Process) -> int:
    """Return the version of the configuration that an entry has in force."""
    configuration = entry.entry.configuration
    return configuration.version if configuration else 0


async def _start_after(
    running: fleet_bench.FleetBench, earlier: stores.StoreContent
) -> serving.Process:
    """Let the store come back from a copy and start another entry."""
    running.store.come_back(earlier)
    return await running.add_entry('front-2')


# review/10: a revoked key ran at an entry that started as the store came back.
def test_a_withdrawn_key_is_refused_by_an_entry_that_starts(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        await running.wait_until(lambda: PEER_KEY in running.store.rows)
        earlier = running.store.copy_content()
        others = [documents.organisation('other', 'k2')]
        running.configure(2, Tenants=others)
        await running.wait_until(lambda: _version(running.process) == 2)
        started = await _start_after(running, earlier)
        assert _version(started) == 2
        assert await _status(running, started) == UNAUTHORIZED
        assert not endpoint.arrivals
        running.configure(3)
        await running.wait_until(lambda: _version(started) == 3)
        assert await _status(running, started) == SERVED

    bench.run(body)


def test_an_endpoint_that_has_left_is_not_used_by_an_entry_that_starts(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        left = await running.add_endpoint('i-1', 'plain')
        known = running.entry.endpoints.endpoints
        address = known['i-1'].registration.address
        await running.wait_until(lambda: PEER_KEY in running.store.rows)
        earlier = running.store.copy_content()
        running.store.remove(documents.registration_key('i-1'))
        await running.wait_until(lambda: 'i-1' not in known)
        started = await _start_after(running, earlier)
        assert await _status(running, started) == UNAVAILABLE
        assert not left.arrivals
        running.register('i-1', 'plain', address, Sequence=9)
        known = started.entry.endpoints.endpoints
        await running.wait_until(lambda: 'i-1' in known)
        assert await _status(running, started) == SERVED

    bench.run(body)


def test_a_data_centre_that_is_out_gets_nothing_from_an_entry_that_starts(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        await running.wait_until(lambda: PEER_KEY in running.store.rows)
        earlier = running.store.copy_content()
        running.store.put('op/evacuate/levis-nord', b'{}')
        await running.wait_until(lambda: running.entry.endpoints.out)
        started = await _start_after(running, earlier)
        assert await _status(running, started) == UNAVAILABLE
        assert not endpoint.arrivals
        # The operator does not write it again, so it is over.
        await running.wait_until(lambda: not started.entry.endpoints.out)

    bench.run(body)


def test_an_endpoint_that_the_copy_lacks_is_used_by_an_entry_that_starts(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.wait_until(lambda: PEER_KEY in running.store.rows)
        earlier = running.store.copy_content()
        await running.add_endpoint('i-1', 'plain')
        started = await _start_after(running, earlier)
        assert await _status(running, started) == SERVED
        known = started.entry.endpoints.endpoints
        await running.wait_until(lambda: 'i-1' not in known)

    bench.run(body)


# An entry must start though no other one replies.
def test_silent_entries_delay_a_start_for_a_bounded_time(
    bench: fleet_bench.FleetBench,
) -> None:
    async def hang(_sock: curio.io.Socket, _address: object) -> None:
        await curio.sleep(10)

    async def body(running: fleet_bench.FleetBench) -> None:
        silent = loopback.free_address()
        await running.listen_raw(silent, hang)
        asked_s = clocks.monotonic_s()
        peers = [silent, loopback.free_address()]
        assert not await unsettled_keys.ask(1, peers)
        limit_s = unsettled_keys.ASK_LIMIT_S + 0.3
        assert clocks.monotonic_s() - asked_s < limit_s
        assert not await unsettled_keys.ask(1, [])

    bench.run(body)


def test_a_key_that_was_written_since_is_not_put_back() -> None:
    known = store_copy.StoreCopy(lambda _before, _after: True)
    rows = (store_copy.Item('a', b'new', 9), store_copy.Item('b', b'old', 2))
    store_copy.take(known, store_copy.Update(2, 9, rows, whole=True), 0)
    keys = (
        store_copy.UnsettledKey(store_copy.Item('a', b'seen', 8), 1),
        store_copy.UnsettledKey(store_copy.Item('b', b'seen', 8), 2),
        store_copy.UnsettledKey(store_copy.Item('c', b'seen', 8), 0),
    )
    taken = store_copy.take_over(known, keys, 0)
    assert [row.key for row in taken] == ['b', 'c']
    assert not store_copy.due(known, store_copy.RETURN_LIMIT_S - 0.1)
    assert [row.key for row in store_copy.due(known, 9)] == ['b', 'c']
