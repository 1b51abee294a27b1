"""Tests of the recognition of refused requests that come again."""

import random

from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core.fleet import returns, start_estimates


def _refused(until_s: float = 12) -> returns.Returns:
    """Return the refusal of a request that arrived at 9, made at 10."""
    known = returns.Returns()
    returns.note_refused(known, 'a', 9, until_s, 10)
    return known


def test_return_in_time_keeps_first_arrival_once() -> None:
    """Guards against a refusal that costs a position, or gives two."""
    known = _refused()
    assert returns.arrival(known, 'a', 12) == returns.Arrival(9, early=False)
    assert returns.arrival(known, 'a', 12) == returns.Arrival(12, early=False)


def test_early_return_stays_early_until_the_named_time() -> None:
    """Guards against callers who get ahead by not waiting."""
    known = _refused()
    for now_s in (10.5, 11):
        found = returns.arrival(known, 'a', now_s)
        assert found == returns.Arrival(now_s, early=True)
    assert returns.arrival(known, 'a', 12) == returns.Arrival(11, early=False)


def test_rounding_of_the_named_time_is_tolerated() -> None:
    """Guards against callers taken for early by a few milliseconds."""
    assert not returns.arrival(_refused(), 'a', 11.995).early
    assert returns.arrival(_refused(), 'a', 11.985).early


def test_new_refusal_of_early_return_names_a_new_time() -> None:
    """Guards against an early return that shortens the next wait."""
    known = _refused()
    found = returns.arrival(known, 'a', 11)
    returns.note_refused(known, 'a', found.first_arrived_s, 14, 11)
    assert returns.arrival(known, 'a', 13).early
    assert not returns.arrival(known, 'a', 14).early


def test_copies_refused_at_once_are_not_early_at_either_time() -> None:
    """Guards against a copy that waits as told and is taken for early."""
    known = _refused()
    for arrived_s in (9.5, 8.5):
        returns.note_refused(known, 'a', arrived_s, 13, 10)
    assert returns.arrival(known, 'a', 12) == returns.Arrival(9.5, early=False)


def test_requests_without_refusal_or_identity_are_new() -> None:
    """Guards against requests that share a position by having no identity."""
    known = _refused()
    returns.note_refused(known, '', 1, 12, 10)
    for identity in ('', 'b'):
        found = returns.arrival(known, identity, 11)
        assert found == returns.Arrival(11, early=False)


def test_refusals_are_forgotten_in_time() -> None:
    """Guards against a late request that counts from long ago."""
    late_s = 10 + returns.MAX_DELAY_S + returns.RETENTION_S
    for until_s in (12, float('inf')):
        known = _refused(until_s)
        found = returns.arrival(known, 'a', late_s)
        assert found == returns.Arrival(late_s, early=False)
        assert not known.refusals


def test_newest_two_thousand_refusals_are_remembered() -> None:
    """Guards against unbounded state when many requests are refused."""
    known = returns.Returns()
    for number in range(2500):
        returns.note_refused(known, f'{number}', 1, 3, 2)
    assert len(known.refusals) == 2000
    assert returns.arrival(known, '499', 3).first_arrived_s == 3
    assert returns.arrival(known, '500', 3).first_arrived_s == 1


def test_callers_that_return_as_told_keep_the_order_of_their_arrival() -> None:
    """Guards against the spread of their times mixing up the callers."""
    known = returns.Returns()
    throughput = start_estimates.Throughput()
    generator = random.Random(1)
    told_s = {
        number: 10
        + start_estimates.retry_after_s(throughput, 100, 10, generator)
        for number in range(400)
    }
    for refused, until_s in told_s.items():
        returns.note_refused(known, f'{refused}', refused / 100, until_s, 10)
    for returned in sorted(told_s, key=told_s.__getitem__):
        found = returns.arrival(known, f'{returned}', told_s[returned])
        assert found == returns.Arrival(returned / 100, early=False)


@given(st.lists(st.tuples(st.sampled_from('abc'), st.floats(0, 3))))
def test_who_waits_as_told_is_never_early(
    steps: list[tuple[str, float]],
) -> None:
    """Guards against any history in which waiting as told is punished."""
    known = returns.Returns()
    told_s: dict[str, float] = {}
    now_s: float = 0
    for identity, step_s in steps:
        now_s += step_s
        found = returns.arrival(known, identity, now_s)
        waited = now_s >= told_s.get(identity, 0)
        assert found.first_arrived_s <= now_s
        assert not (found.early and waited)
        told_s[identity] = now_s + 1
        returns.note_refused(
            known, identity, found.first_arrived_s, now_s + 1, now_s
        )
