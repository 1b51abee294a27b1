"""Tests of an entry that starts after the store came back from a copy.

It has not seen what the copy lacks, so it asks the entries that have.
"""

import contextlib

import attrs
import curio
import fleet_bench
import msgspec
import pytest

from camphorstair.fleet import serving
from camphorstair_core.fleet import membership, store_copy
from camphorstair_fleet import (
    keys,
    sources,
)
from camphorstair_platform import store_errors
from camphorstair_platform_standins import documents, stores
from camphorstair_runtime import (
    http_client,
)

SERVED = 200
UNAUTHORIZED = 401
UNAVAILABLE = 503
PEER_KEY = 'camphorstair/members/front-1'
REVOKE_S = documents.REVOKE_S


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


# An entry that had started after an endpoint had left used it again once the
# store came back from a copy that still named it.
def test_an_endpoint_that_left_before_the_start_is_not_used_after_a_return(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        left = await running.add_endpoint('i-1', 'plain')
        before = running.entry.endpoints.endpoints
        address = before['i-1'].registration.address
        earlier = running.store.copy_content()
        running.store.remove(documents.registration_key('i-1'))
        started = await running.add_entry('front-2')
        known = started.entry.endpoints.endpoints
        assert 'i-1' not in known
        running.store.come_back(earlier)
        mirror = started.follower.mirror
        await running.wait_until(lambda: mirror.known.rows_era == 2)
        assert await _status(running, started) == UNAVAILABLE
        assert not left.arrivals
        running.register('i-1', 'plain', address, Sequence=9)
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


# review/12: an entry that found none to ask, or waited for a reply, ran requests
# with a revoked key, or sent them to an endpoint that had left.
@pytest.mark.parametrize('names_silent_entry', [False, True])
@pytest.mark.parametrize('left', ['key', 'endpoint'])
def test_an_entry_that_starts_does_not_act_before_it_knows(
    bench: fleet_bench.FleetBench, left: str, *, names_silent_entry: bool
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        known = running.entry.endpoints.endpoints
        await running.wait_until(lambda: PEER_KEY in running.store.rows)
        earlier = running.store.copy_content()
        # The leases of the copy have ended, and with them its members.
        earlier.rows.pop(PEER_KEY)
        if names_silent_entry:
            _name_member(earlier, 'front-0', await running.silent_address())
        if left == 'key':
            others = [documents.organisation('other', 'k2')]
            running.configure(2, Tenants=others)
            await running.wait_until(lambda: _version(running.process) == 2)
        else:
            running.store.remove(documents.registration_key('i-1'))
            await running.wait_until(lambda: 'i-1' not in known)
        running.store.come_back(earlier)
        started = await running.start_entry('front-2')
        statuses = await _statuses_until_ready(running, started)
        assert statuses <= {UNAVAILABLE, 0}
        expected = UNAUTHORIZED if left == 'key' else UNAVAILABLE
        assert await _status(running, started) == expected
        assert not endpoint.arrivals

    bench.run(body)


# An entry that had not reached the store as a key was withdrawn took the copy
# for current as the store came back.
@pytest.mark.parametrize('cut_s', [0.5, REVOKE_S])
def test_an_entry_that_missed_a_withdrawal_learns_it_after_a_return(
    bench: fleet_bench.FleetBench, cut_s: float
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        missing = await running.add_entry('front-2')
        rows = running.store.rows
        await running.wait_until(lambda: keys.member('front-2') in rows)
        earlier = running.store.copy_content()
        mirror = missing.follower.mirror
        choose_source = mirror.choose_source
        mirror.choose_source = lambda _failed: _unreachable
        # A watch that waits already may still tell of the change.
        await running.wait_until(lambda: mirror.failed)
        others = [documents.organisation('other', 'k2')]
        running.configure(2, Tenants=others)
        await running.wait_until(lambda: _version(running.process) == 2)
        await curio.sleep(cut_s)
        running.store.come_back(earlier)
        mirror.choose_source = choose_source
        await running.wait_until(lambda: mirror.known.rows_era == 2)
        if cut_s == REVOKE_S:
            statuses = await _statuses_until_ready(running, missing)
            assert statuses <= {UNAVAILABLE, 0}
        await running.wait_until(lambda: _version(missing) == 2)
        assert await _status(running, missing) == UNAUTHORIZED
        assert not endpoint.arrivals

    bench.run(body)


async def _unreachable(_position: sources.Position) -> sources.Fetched:
    """Fail as a source that can't be reached."""
    raise store_errors.StoreError(
        'cut off', possibly_applied=False, answered=False
    )


def _name_member(content: stores.StoreContent, name: str, address: str) -> None:
    """Add a member to a copy of the store."""
    member = membership.Member(name, 'levis-nord', address, address)
    row = content.rows[documents.CONFIGURATION_KEY]
    content.rows[keys.member(name)] = attrs.evolve(
        row, content=msgspec.json.encode(member)
    )


async def _statuses_until_ready(
    running: fleet_bench.FleetBench, entry: serving.Process
) -> set[int]:
    """Return the statuses of an entry that starts; 0 if it is not reached."""
    statuses = set()
    while not entry.entry.ready():
        status = 0
        with contextlib.suppress(http_client.HttpError):
            status = await _status(running, entry)
        if not entry.entry.ready():
            statuses.add(status)
        await curio.sleep(0.01)
    return statuses


def test_a_key_that_was_written_since_is_not_put_back() -> None:
    known = store_copy.StoreCopy(lambda _before, _after: True)
    rows = (store_copy.Item('a', b'new', 9), store_copy.Item('b', b'old', 2))
    store_copy.take(known, store_copy.Update(2, 9, rows, whole=True), 0)
    unsettled = (
        store_copy.UnsettledKey(store_copy.Item('a', b'seen', 8), 1),
        store_copy.UnsettledKey(store_copy.Item('b', b'seen', 8), 2),
        store_copy.UnsettledKey(store_copy.Item('c', b'seen', 8), 0),
    )
    taken = store_copy.take_over(known, unsettled, 0)
    assert [row.key for row in taken] == ['b', 'c']
    assert not store_copy.due(known, store_copy.RETURN_LIMIT_S - 0.1)
    assert [row.key for row in store_copy.due(known, 9)] == ['b', 'c']
