"""Tests of which entries serve callers and which endpoints each one uses."""

import collections

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core.fleet import membership, roster, subsetting, windows
from measures import fleet_overload

DATA_CENTRES = ('charny', 'levis-nord', 'levis-sud', 'pintendre', 'quai')
COLD_PER_S = 15
COLD_TOTAL = 1.5 * COLD_PER_S + 5


def _members(count: int) -> list[membership.Member]:
    return [
        membership.Member(
            f'front-{number}',
            DATA_CENTRES[number % len(DATA_CENTRES)],
            f'10.0.0.{number}:1',
            f'10.0.0.{number}:2',
        )
        for number in range(count)
    ]


def _names(count: int) -> list[str]:
    return [member.name for member in _members(count)]


def _engines(count: int, slots: int) -> list[roster.Registration]:
    return [
        attrs.evolve(fleet_overload.registration(number), slots=slots)
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ('entries', 'slot_count', 'serving'),
    [(6, 90, 6), (15, 90, 15), (99, 606, 20), (370, 3600, 115)],
)
def test_directory_names_entries_by_slots_not_by_vms(
    entries: int, slot_count: int, serving: int
) -> None:
    named = subsetting.serving_entries(_members(entries), slot_count)
    assert len(named) == serving
    per_data_centre = collections.Counter(
        member.data_centre for member in named
    )
    assert max(per_data_centre.values()) - min(per_data_centre.values()) <= 1


def test_a_lost_data_centre_leaves_the_other_entries_serving() -> None:
    members = _members(99)
    before = subsetting.serving_entries(members, 606)
    left = [
        member for member in members if member.data_centre != DATA_CENTRES[0]
    ]
    after = subsetting.serving_entries(left, 606)
    kept = [
        member for member in before if member.data_centre != DATA_CENTRES[0]
    ]
    assert set(kept) <= set(after)


def test_an_endpoint_selects_few_entries_at_any_size() -> None:
    for entries in (20, 60, 120):
        selected = subsetting.selected_entries('i-1', _names(entries), 600)
        assert len(selected) == subsetting.ENTRIES_PER_ENDPOINT


def test_all_entries_use_the_few_endpoints_of_a_small_service() -> None:
    names = _names(20)
    assert set(subsetting.selected_entries('i-1', names, 5)) == set(names)


def test_every_slot_is_owned_and_no_entry_owns_far_more_than_its_part() -> None:
    names = _names(20)
    by_entry = {
        name: subsetting.shares(name, names, _engines(192, 3)) for name in names
    }
    owned = [
        sum(share.own_slots for share in shares.values())
        for shares in by_entry.values()
    ]
    assert sum(owned) == 192 * 3
    assert max(owned) <= 2 * 192 * 3 / len(names)
    assert min(owned) >= 192 * 3 / len(names) / 2


def test_one_entry_that_leaves_moves_only_its_own_part() -> None:
    names = _names(20)
    moved = 0
    for number in range(192):
        before = subsetting.selected_entries(f'i-{number}', names, 192)
        after = subsetting.selected_entries(f'i-{number}', names[1:], 192)
        moved += len(set(after) - set(before))
        assert set(before) - set(after) <= {names[0]}
    assert moved <= 2 * 192 * subsetting.ENTRIES_PER_ENDPOINT / len(names)


def test_an_entry_that_stands_by_may_use_any_endpoint() -> None:
    shares = subsetting.shares('front-99', _names(20), _engines(192, 3))
    assert len(shares) == 192
    assert all(share.own_slots == 3 for share in shares.values())


@given(st.lists(st.integers(1, 137), min_size=1, max_size=3))
def test_cold_shares_stay_within_the_limit_for_outdated_members(
    view_sizes: list[int],
) -> None:
    """Each view is a disjoint set of entries that know only each other."""
    entries = max(view_sizes) + 27
    shares = [
        windows.cold_limit(COLD_PER_S, 1.5, 5, entries, place)
        for view_size in view_sizes
        for place in range(view_size)
    ]
    assert sum(shares) <= COLD_TOTAL


def test_a_cold_endpoint_is_used_by_a_hundred_entries_too() -> None:
    shares = [
        windows.cold_limit(COLD_PER_S, 1.5, 5, 102, place)
        for place in range(99)
    ]
    assert 0 < sum(shares) <= COLD_TOTAL


def test_entries_follow_one_reader_per_data_centre_if_time_allows() -> None:
    members = _members(99)
    for data_centre in DATA_CENTRES:
        readers = subsetting.readers(members, data_centre, 4)
        assert [reader.data_centre for reader in readers] == [data_centre]
        assert not subsetting.readers(members, data_centre, 2)
