"""Which peers an entry asks, and how many calls reach the platform."""

import collections
import random

from camphorstair_core import call_pace, vm_lists, vms, watcher_selection
from camphorstair_runtime import list_following, watching

DATA_CENTRES = 8
ENTRIES = 370
TICK_S = 0.1
OUTAGE_S = 120


def _entries(count: int) -> list[vms.Vm]:
    """Return live entries, spread evenly over the data centres."""
    return [
        vms.Vm(
            f'e{number}',
            vms.VmRole.entry,
            vms.VmState.live,
            'r',
            f'dc{number % DATA_CENTRES}',
            f'10.0.0.1:{number}',
        )
        for number in range(count)
    ]


def _location(vm: vms.Vm) -> watcher_selection.ProcessLocation:
    return watcher_selection.ProcessLocation(vm.name, vm.data_centre)


def test_two_entries_per_data_centre_are_watchers() -> None:
    listed = _entries(ENTRIES)
    watchers = [
        vm
        for vm in listed
        if watcher_selection.is_watcher(listed, _location(vm))
    ]
    counts = collections.Counter(vm.data_centre for vm in watchers)
    assert set(counts.values()) == {watcher_selection.WATCHERS}
    assert len(counts) == DATA_CENTRES


def test_unavailable_watcher_is_excluded_immediately() -> None:
    listed = _entries(40)
    generator = random.Random(1)
    own_location = _location(listed[0])
    sources = watcher_selection.SourceAvailability()
    for watcher in vms.watchers(
        listed, own_location.data_centre, watcher_selection.WATCHERS
    ):
        watcher_selection.exclude(sources, watcher.name, 0)
    chosen = watcher_selection.candidates(
        listed, own_location, sources, 1, generator
    )
    assert len(chosen) == watcher_selection.CANDIDATES
    assert not {vm.name for vm in chosen} & set(sources.excluded_until_s)
    watcher_selection.exclude(sources, 'e1', watcher_selection.EXCLUSION_S + 1)
    assert set(sources.excluded_until_s) == {'e1'}


def test_a_data_centre_that_is_cut_off_learns_from_the_others() -> None:
    """A revision reaches all entries of a cut-off data centre in four rounds.

    Entries also ask random entries of other data centres.
    """
    listed = _entries(ENTRIES)
    generator = random.Random(2)
    updated = {vm.name for vm in listed if vm.data_centre != 'dc0'}
    sources = watcher_selection.SourceAvailability()
    for _ in range(4):
        before = set(updated)
        for vm in listed:
            chosen = watcher_selection.candidates(
                listed, _location(vm), sources, 0, generator
            )
            if chosen[0].name in before:
                updated.add(vm.name)
    assert len(updated) == ENTRIES


def _count_calls_after_restart(outage_end_s: float) -> collections.Counter[int]:
    """Restart all entries at once and return the calls per second.

    :param outage_end_s: Time until which the calls to the platform fail.
    :returns: Number of calls by second after the restart.
    """
    listed = _entries(ENTRIES)
    generator = random.Random(3)
    paces = [
        call_pace.CallPace()
        for vm in listed
        if watcher_selection.is_watcher(listed, _location(vm))
    ]
    calls: collections.Counter[int] = collections.Counter()
    for tick in range(round((OUTAGE_S + 10) / TICK_S)):
        now_s = tick * TICK_S
        for pace in paces:
            if not call_pace.try_acquire(pace, now_s):
                continue
            calls[int(now_s)] += 1
            if now_s < outage_end_s:
                call_pace.record_failure(pace, now_s, generator)
            else:
                call_pace.record_success(pace)
                pace.retry_s = now_s + watching.GUARD_INTERVAL_S
    return calls


def test_a_restart_of_all_entries_does_not_stampede() -> None:
    watchers = DATA_CENTRES * watcher_selection.WATCHERS
    calls = _count_calls_after_restart(OUTAGE_S)
    late_counts = [calls[second] for second in range(30, OUTAGE_S)]
    assert max(calls.values()) <= watchers * 4
    assert max(late_counts) < watchers
    # All watchers call again within the longest backoff after the outage, and
    # not all of them in the same second.
    back = [calls[second] for second in range(OUTAGE_S, OUTAGE_S + 6)]
    assert sum(back) >= watchers
    assert max(back) <= 2 * watchers


def test_call_pace_limits_rate_of_successful_calls() -> None:
    pace = call_pace.CallPace()
    permitted = sum(
        call_pace.try_acquire(pace, tick / 100) for tick in range(1000)
    )
    assert permitted <= call_pace.BURST_CALLS + 10 * call_pace.RATE_PER_S


def test_read_interval_grows_with_list_length() -> None:
    shortest, longest = map(list_following.read_interval_s, (15, 970))
    assert shortest == list_following.MIN_INTERVAL_S
    assert longest == list_following.MAX_INTERVAL_S


def test_list_changes_lead_to_the_same_list() -> None:
    generator = random.Random(4)
    source, follower = vm_lists.ListHolder(), vm_lists.ListHolder()
    for _ in range(200):
        listed = generator.sample(_entries(30), generator.randint(1, 30))
        vm_lists.replace(source, listed)
        if generator.randrange(10) < 7:
            list_changes = vm_lists.changes_from(source, follower.digest)
            if list_changes is None:
                vm_lists.replace(follower, source.listed())
            elif list_changes:
                assert vm_lists.advance(follower, list_changes)
            assert follower.rows == source.rows


def test_list_changes_on_wrong_base_are_rejected() -> None:
    source, follower = vm_lists.ListHolder(), vm_lists.ListHolder()
    vm_lists.replace(source, _entries(3))
    vm_lists.replace(source, _entries(4))
    vm_lists.replace(follower, _entries(9)[5:])
    assert not vm_lists.advance(follower, list(source.recent))
    assert set(follower.rows) == {'e5', 'e6', 'e7', 'e8'}
