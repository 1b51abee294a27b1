"""Tests of an entry's decisions.

Among them are limits, the order of its queue, and how old its copy of the
store's content may be.
"""

import random
import typing

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core import caller_limits
from camphorstair_core.fleet import (
    catalogue,
    content_age,
    ejection,
    membership,
    placement,
    roster,
    stream_progress,
    waiting,
    windows,
)

ENTRIES = 6


def _registration(
    name: str, **changed_fields: typing.Any
) -> roster.Registration:
    """Return a ready endpoint's registration with some fields replaced."""
    usual = roster.Registration(
        endpoint=name,
        service='engine',
        address=f'10.0.0.1:{len(name)}',
        data_centre='levis-nord',
        state=roster.EndpointState.ready,
        slots=4,
        cold_s=0,
        born_ms=1,
        membership=None,
    )
    return attrs.evolve(usual, **changed_fields)


def _waiter(
    organisation: str, priority: int, arrived_s: float
) -> waiting.Waiter:
    return waiting.Waiter(
        organisation, priority, arrived_s, arrived_s + 0.2, arrived_s + 1.6
    )


@given(st.lists(st.integers(0, ENTRIES - 1), max_size=400))
def test_retries_of_all_entries_stay_within_budget(
    senders: list[int],
) -> None:
    budgets = [
        windows.RetryBudget(
            0.2, 88, windows.SlidingWindow(10), windows.SlidingWindow(10)
        )
        for _ in range(ENTRIES)
    ]
    entries = windows.EntryCount(ENTRIES, 99).bound()
    taken = sum(budgets[sender].take(entries, 1) for sender in senders)
    assert taken <= 88


def test_retry_budget_is_restored_after_window_expires() -> None:
    budget = windows.RetryBudget(
        0, 8, windows.SlidingWindow(10), windows.SlidingWindow(10)
    )
    taken = [budget.take(1, 1) for _ in range(9)]
    assert taken[0]
    assert not budget.take(1, 10.9)
    assert budget.take(1, 11.1)


def test_sum_of_cold_limit_shares_is_within_total() -> None:
    count = windows.EntryCount()
    count.note(ENTRIES, 0)
    share = windows.cold_limit(38, 1.5, 5, count.bound(), None)
    assert 0 < share * (ENTRIES + windows.UNSEEN_ENTRIES) <= 38 * 1.5 + 5


def test_removed_entry_is_counted_until_member_lifetime_ends() -> None:
    count = windows.EntryCount()
    count.note(ENTRIES, 0)
    count.note(2, windows.MEMBERS_LIFE_S / 2)
    assert count.largest == ENTRIES
    count.note(2, windows.MEMBERS_LIFE_S + 1)
    assert count.largest == 2


def test_request_that_can_meet_target_precedes_late_one() -> None:
    late = _waiter('a', 1, 0)
    fresh = _waiter('b', 1, 0.5)
    queue = waiting.Queue([late, fresh])
    assert waiting.sorted_waiters(queue, 0.6) == [fresh, late]


def test_the_organisation_with_less_in_progress_goes_first() -> None:
    queue = waiting.Queue([_waiter('large', 1, 0), _waiter('small', 1, 0.1)])
    queue.in_progress['large'] = 5
    assert waiting.sorted_waiters(queue, 0.1)[0].organisation == 'small'


def test_low_priority_request_is_not_starved() -> None:
    low = waiting.Waiter('a', 2, 0, 99, 99)
    queue = waiting.Queue([low])
    for number in range(4):
        queue.waiters.append(waiting.Waiter('b', 1, number, 99, 99))
    assert waiting.sorted_waiters(queue, 3.5)[0].arrived_s < 1
    queue.waiters = [low, waiting.Waiter('b', 1, 3, 99, 99)]
    assert waiting.sorted_waiters(queue, 3.5)[0] is low


def test_queued_request_is_dropped_when_too_late_to_complete() -> None:
    queue = waiting.Queue([_waiter('a', 1, 0)])
    assert not waiting.given_up(queue, 1.5)
    assert waiting.given_up(queue, 1.6)
    assert not queue.waiters


def test_key_age_counts_from_sending_of_confirmed_call() -> None:
    data_age = content_age.ContentAge()
    assert not content_age.keys_current(data_age, 0, 4.5)
    content_age.record_confirmation(data_age, sent_s=1, now_s=3)
    assert content_age.keys_current(data_age, 5.4, 4.5)
    assert not content_age.keys_current(data_age, 5.5, 4.5)


def test_outage_start_and_end_are_each_reported_once() -> None:
    data_age = content_age.ContentAge()
    assert content_age.record_failure(data_age, 1)
    assert not content_age.record_failure(data_age, 2)
    assert content_age.record_confirmation(data_age, 3, 4)
    assert (data_age.outage_start_s, data_age.unanswered_s) == (None, 2)
    assert not content_age.record_confirmation(data_age, 5, 6)


@pytest.mark.parametrize(
    'changes',
    [
        {'state': roster.EndpointState.draining},
        {'data_centre': 'charny'},
        {'service': 'plain'},
    ],
)
def test_draining_evacuated_or_other_service_is_unusable(
    changes: dict[str, object],
) -> None:
    endpoint_roster = roster.Roster(out={'charny'})
    roster.register(endpoint_roster, _registration('i-1', **changes), 0)
    assert not roster.usable(endpoint_roster, 'engine')


def test_endpoint_lapsed_in_outage_can_return_within_grace_time() -> None:
    endpoint_roster = roster.Roster()
    roster.register(endpoint_roster, _registration('i-1'), 0)
    roster.unregister(endpoint_roster, 'i-1', absent_deadline_s=2.5)
    assert roster.usable(endpoint_roster, 'engine')
    assert not roster.expire(endpoint_roster, 2.4)
    roster.register(endpoint_roster, _registration('i-1'), 2.4)
    assert not roster.expire(endpoint_roster, 9)
    roster.unregister(endpoint_roster, 'i-1', absent_deadline_s=None)
    assert not roster.usable(endpoint_roster, 'engine')


def test_restarted_endpoint_replaces_its_roster_entry() -> None:
    endpoint_roster = roster.Roster()
    first = roster.register(endpoint_roster, _registration('i-1'), 0)
    assert roster.register(endpoint_roster, _registration('i-1'), 1) is first
    restarted = roster.register(
        endpoint_roster, _registration('i-1', born_ms=2), 2
    )
    assert restarted is not first


def _candidate(name: str, **changed_fields: typing.Any) -> placement.Candidate:
    """Return an endpoint without load or failures."""
    endpoint = roster.Endpoint(_registration(name, **changed_fields))
    return placement.Candidate(endpoint, placement.Load(), ejection.Health())


def test_the_endpoint_with_the_least_work_is_chosen() -> None:
    busy, idle = _candidate('i-1'), _candidate('i-2')
    placement.record_report(busy.load, running=3, waiting=1, now_s=1)
    chosen = placement.choose([busy, idle], 'levis-nord', 1.1, random.Random(1))
    assert chosen is idle


@pytest.mark.parametrize(('pace', 'slow_is_chosen'), [(1.2, True), (5, False)])
def test_an_idle_slow_endpoint_is_chosen_only_if_it_is_sooner(
    pace: float,
    *,
    slow_is_chosen: bool,
) -> None:
    slow, busy = _candidate('i-1'), _candidate('i-2')
    slow.load.pace = pace
    placement.record_report(busy.load, running=2, waiting=0, now_s=1)
    chosen = placement.choose([slow, busy], 'levis-nord', 1.1, random.Random(1))
    assert (chosen is slow) is slow_is_chosen


@pytest.mark.parametrize(('slow', 'left_out'), [(1, 1), (2, 2), (3, 0), (4, 0)])
def test_slow_ranks_are_left_out_unless_most_are_slow(
    slow: int,
    left_out: int,
) -> None:
    candidates = [
        _candidate(
            f'i-{rank}',
            membership=roster.GroupMembership('g', 1, rank, 4, is_open=True),
        )
        for rank in range(4)
    ]
    for rank, candidate in enumerate(candidates):
        placement.record_report(candidate.load, running=1, waiting=0, now_s=1)
        candidate.load.pace = 3 if rank < slow else 1
    slow_ranks = placement.slow_ranks(candidates, placement.SLOW_FACTOR, 1.1)
    assert len(slow_ranks) == left_out
    assert not placement.slow_ranks(candidates, placement.SLOW_FACTOR, 9)


def test_requests_sent_since_report_add_to_estimated_work() -> None:
    load = placement.Load(running=2)
    placement.record_report(load, running=5, waiting=0, now_s=1)
    load.running = 4
    assert placement.estimated_work(load, 1.2) == 7
    assert placement.estimated_work(load, 9) == 4


def test_at_most_half_of_endpoints_are_ejected() -> None:
    healths = [ejection.Health() for _ in range(4)]
    for health in healths:
        for _ in range(ejection.FAILURES_TO_EJECT):
            ejection.record_failure(health, healths, 1)
    assert sum(ejection.is_ejected(health, 1.1) for health in healths) == 2
    assert not any(ejection.is_ejected(health, 99) for health in healths)


@pytest.mark.parametrize(
    ('answered_began_s', 'now_s', 'hangs'),
    [(5.1, 6.5, True), (5.1, 5.9, False), (4.9, 6.5, False)],
)
def test_endpoint_hangs_only_if_peer_answers_later_request(
    answered_began_s: float,
    now_s: float,
    hangs: bool,
) -> None:
    healths = [ejection.Health() for _ in range(2)]
    ejection.record_success(healths[0], answered_began_s)
    assert ejection.hangs(healths, 5, now_s) is hangs


def test_directory_lists_near_members_first_and_drops_leavers() -> None:
    members = membership.Members()
    far = membership.Member('far', 'charny', '2:1', '2:2')
    near = membership.Member('near', 'levis-nord', '1:1', '1:2')
    membership.join(members, far)
    membership.join(members, near)
    assert _listed_addresses(members) == ['1:1', '2:1']
    membership.leave(members, 'near', None)
    membership.leave(members, 'far', absent_deadline_s=3)
    assert _listed_addresses(members) == ['2:1']
    membership.expire(members, 3)
    assert not _listed_addresses(members)


def _listed_addresses(members: membership.Members) -> list[str]:
    return membership.addresses(list(members.present.values()), 'levis-nord')


@given(st.integers(0, 9), st.integers(1, 9))
def test_a_resumed_stream_has_every_event_once(have: int, more: int) -> None:
    events = [
        b'id: %d\ndata: x\n\n' % number for number in range(1, have + more + 1)
    ]
    stream = stream_progress.StreamProgress('')
    first = stream.take(b''.join(events[:have]), resumed=False)
    resumed_part = stream.take(
        b''.join(events[max(0, have - 2) :]), resumed=True
    )
    assert first + resumed_part == b''.join(events)
    assert stream.last_event == str(have + more)


def test_the_longest_prefix_decides() -> None:
    def route(name: str, prefix: str) -> catalogue.Route:
        return catalogue.Route(
            name,
            'h',
            prefix,
            catalogue.RequestKind.idempotent,
            2,
            0.4,
            0,
            1,
            (),
            1,
            public=True,
            resumable=False,
        )

    routes = catalogue.group_by_host([route('a', '/x/'), route('b', '/x/y/')])
    route_catalogue = catalogue.Catalogue(
        1, routes, {}, None, caller_limits.CallerLimits()
    )
    matched = route_catalogue.find_route('H:80', '/x/y/z')
    assert matched and matched.name == 'b'
    assert route_catalogue.find_route('h', '/x') is None
    assert route_catalogue.find_route('other', '/x/') is None
