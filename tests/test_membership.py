"""Heartbeats, and what members report about each other."""

import collections

import pytest

from camphorstair_core import membership, membership_messages


@pytest.mark.parametrize('size', [2, 3, 9, 100, 370])
def test_every_entry_has_same_number_of_watchers(size: int) -> None:
    names = [f'entry-{number}' for number in range(size)]
    watcher_counts: collections.Counter[str] = collections.Counter()
    for name in names:
        watched = membership.watched(names, name)
        assert name not in watched
        watcher_counts.update(watched)
    assert set(watcher_counts.values()) == {min(3, size - 1)}


def test_a_silent_process_is_down_until_it_is_heard() -> None:
    members = membership.Members()
    membership.expect(members, ['a'], 0)
    assert membership.mark_missing(members, ['a'], 4) == []
    assert membership.mark_missing(members, ['a'], 5) == ['a']
    assert membership.mark_missing(members, ['a'], 6) == []
    assert members.down('a', 20)
    membership.record_heartbeat(members, membership_messages.Heartbeat('a'), 20)
    assert not members.down('a', 20)


def test_down_mark_expires_without_renewal() -> None:
    members = membership.Members()
    down_report = membership_messages.DownMember('a', 3_600_000)
    membership.record_heartbeat(
        members, membership_messages.Heartbeat('b', down=[down_report]), 0
    )
    assert members.down('a', membership.DOWN_S - 0.01)
    assert not members.down('a', membership.DOWN_S)


def test_own_heartbeat_overrides_down_report_of_peer() -> None:
    members = membership.Members()
    membership.record_heartbeat(members, membership_messages.Heartbeat('a'), 0)
    down_report = membership_messages.DownMember('a', 9000)
    membership.record_heartbeat(
        members, membership_messages.Heartbeat('b', down=[down_report]), 1
    )
    assert not members.down('a', 1)


def test_a_restarted_process_is_no_longer_leaving() -> None:
    members = membership.Members()
    membership.record_leaving(
        members, membership_messages.Leaving('a', 60_000), 0
    )
    membership.record_heartbeat(
        members, membership_messages.Heartbeat('a', leaving=True), 1
    )
    assert members.leaving('a', 1)
    membership.record_heartbeat(members, membership_messages.Heartbeat('a'), 2)
    assert not members.leaving('a', 2)


def test_expired_membership_rows_are_removed() -> None:
    members = membership.Members()
    membership.record_leaving(
        members, membership_messages.Leaving('gone', 5000), 0
    )
    membership.remove_expired(members, set(), 4)
    assert 'gone' in members.rows
    membership.remove_expired(members, set(), 5)
    assert not members.rows
