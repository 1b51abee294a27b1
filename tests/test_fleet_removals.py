"""Tests of keys that are removed around an outage of the store.

A key that a live owner could not renew during an outage comes back, so what it
stands for stays in use for a while. Any other removal is final at once.
"""

import curio
import fleet_bench
import pytest

from camphorstair.fleet import joining
from camphorstair_core.fleet import content_age
from camphorstair_platform_standins import documents, stores
from camphorstair_runtime import clocks

MEMBER = 'front-9'
# Shorter than any outage in which a registration can lapse, longer than one in
# which a lease of an entry can.
SHORT_OUTAGE_S = 1.2
LONG_OUTAGE_S = 3.0
# Time for the entry to notice what was written while the store answers.
NOTICE_S = 0.4
# Live owners have written their keys again this long after an outage.
OWNERS_S = 1.8
# A process counts as informed this long after the store can be reached again.
CONTACT_S = 3.0


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def _age(running: fleet_bench.FleetBench) -> content_age.ContentAge:
    return running.entry.freshness


async def _have_outage(
    running: fleet_bench.FleetBench, outage_s: float
) -> None:
    """Let the store turn the entry's calls away, and wait for its return."""
    await _begin_outage(running)
    await curio.sleep(outage_s)
    running.store.faults.refuses = False
    await running.wait_until(lambda: _age(running).outage_start_s is None)


async def _begin_outage(running: fleet_bench.FleetBench) -> None:
    running.store.faults.refuses = True
    # Ends the watch that is waiting.
    running.store.put('camphorstair/other', b'{}')
    await running.wait_until(lambda: _age(running).outage_start_s is not None)


def _remove(running: fleet_bench.FleetBench) -> float:
    """Remove the endpoint's registration; return when."""
    running.store.remove(documents.registration_key('i-1'))
    return clocks.monotonic_s()


async def _add_member(running: fleet_bench.FleetBench) -> None:
    """Write the key of another entry and wait until the entry knows it."""
    rows = running.store.rows
    name = running.entry.settings.name
    own = f'camphorstair/members/{name}'
    await running.wait_until(lambda: own in rows)
    content = rows[own].content.replace(name.encode(), MEMBER.encode())
    running.store.put(f'camphorstair/members/{MEMBER}', content)
    members = running.entry.members.present
    await running.wait_until(lambda: MEMBER in members)


# review/8: for 2.5 s after a cut of the entry, each removal counted as that of a
# lapsed key, so that endpoints that had left got requests beyond their drain.
def test_a_removal_that_is_told_after_an_outage_is_final(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        left = await running.add_endpoint('i-1', 'plain')
        await _add_member(running)
        members = running.entry.members.present
        await _have_outage(running, LONG_OUTAGE_S)
        _remove(running)
        running.store.remove(f'camphorstair/members/{MEMBER}')
        await curio.sleep(NOTICE_S)
        assert 'i-1' not in running.entry.endpoints.endpoints
        assert MEMBER not in members
        assert (await running.call('/look/')).status == 503
        assert not left.arrivals

    bench.run(body)


# A call that failed, as a channel that is reset or a watch that is cut, counted
# as an outage in which keys can lapse.
@pytest.mark.parametrize('outage_s', [0, SHORT_OUTAGE_S])
def test_no_registration_lapses_in_a_short_outage(
    bench: fleet_bench.FleetBench, outage_s: float
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        await _begin_outage(running)
        _remove(running)
        await curio.sleep(outage_s)
        running.store.faults.refuses = False
        await curio.sleep(NOTICE_S)
        assert 'i-1' not in running.entry.endpoints.endpoints

    bench.run(body)


@pytest.mark.parametrize(
    ('outage_s', 'kept'), [(0, False), (SHORT_OUTAGE_S, True)]
)
def test_the_key_of_an_entry_lapses_in_an_outage_of_its_time_to_live_only(
    bench: fleet_bench.FleetBench, outage_s: float, kept: bool
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _add_member(running)
        members = running.entry.members.present
        await _begin_outage(running)
        running.store.remove(f'camphorstair/members/{MEMBER}')
        await curio.sleep(outage_s)
        running.store.faults.refuses = False
        await running.wait_until(lambda: _age(running).outage_start_s is None)
        assert (MEMBER in members) == kept
        await running.wait_until(lambda: MEMBER not in members)

    bench.run(body)
    assert joining.LAPSE_S < SHORT_OUTAGE_S


def test_a_registration_that_lapsed_in_an_outage_may_come_back(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        known = running.entry.endpoints.endpoints
        address = known['i-1'].registration.address
        await _begin_outage(running)
        await curio.sleep(LONG_OUTAGE_S)
        _remove(running)
        running.store.faults.refuses = False
        await running.wait_until(lambda: known['i-1'].absent_deadline_s)
        assert (await running.call('/look/')).status == 200
        await curio.sleep(1.5)
        running.register('i-1', 'plain', address)
        await running.wait_until(lambda: not known['i-1'].absent_deadline_s)
        await curio.sleep(content_age.ABSENCE_LIMIT_S)
        assert (await running.call('/look/')).status == 200

    bench.run(body)


# The time for which an absent endpoint stays in use began as the entry noticed
# the store's return, up to a second late, and so ended after the entry's
# knowledge had to be current again.
def test_a_lapsed_registration_is_forgotten_in_time_after_a_cut(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        running.store.faults.silent = True
        await running.wait_until(lambda: _age(running).outage_start_s)
        await curio.sleep(LONG_OUTAGE_S)
        _remove(running)
        healed_s = await _heal_just_after_a_call(running)
        known = running.entry.endpoints.endpoints
        await running.wait_until(lambda: known['i-1'].absent_deadline_s)
        await running.wait_until(lambda: 'i-1' not in known)
        gone_s = clocks.monotonic_s() - healed_s
        assert OWNERS_S < gone_s < CONTACT_S

    bench.run(body)


async def _heal_just_after_a_call(running: fleet_bench.FleetBench) -> float:
    """End the store's silence as late as the entry can notice it; return when.

    The call that has just come is not answered any more.
    """
    store = running.store
    before = _watch_calls(store)
    await running.wait_until(lambda: _watch_calls(store) > before)
    store.faults.silent = False
    return clocks.monotonic_s()


def _watch_calls(store: stores.PlatformStore) -> int:
    return store.calls.count('watch')


@pytest.mark.parametrize(
    ('start_s', 'unanswered_s', 'now_s', 'deadline_s'),
    [
        (None, 8, 9, None),
        (7, 9, 9.3, None),
        (5, 9, 9.3, 9 + content_age.ABSENCE_LIMIT_S),
        (0, 2, 9, None),
    ],
    ids=['answers', 'short', 'long', 'woken'],
)
def test_until_when_a_removed_key_may_be_written_again(
    start_s: float | None,
    unanswered_s: float,
    now_s: float,
    deadline_s: float | None,
) -> None:
    age = content_age.ContentAge(
        outage_start_s=start_s, unanswered_s=unanswered_s
    )
    lapse_s = 2.4
    found_s = content_age.absence_deadline_s(age, now_s, lapse_s)
    assert found_s == deadline_s
