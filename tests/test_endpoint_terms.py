"""Tests of the terms that endpoints state in their answers."""

import pytest

from camphorstair_core.fleet import endpoint_terms, request_limits

SHARING = request_limits.Sharing(1, 0)


def _told(
    *statements: endpoint_terms.Statement, now_s: float = 0
) -> endpoint_terms.Terms:
    """Return the terms of an endpoint that has stated something."""
    terms = endpoint_terms.Terms()
    for statement in statements:
        endpoint_terms.record(terms, statement, SHARING, now_s)
    return terms


def test_the_turn_of_a_queued_request_is_foreseen() -> None:
    statement = endpoint_terms.Statement(limit_per_s=2)
    step_s = request_limits.interval_s(2, SHARING)
    limited = [(_told(statement), SHARING) for _ in range(2)]
    turns_s = [
        endpoint_terms.start_s(limited, queued, 0) for queued in range(4)
    ]
    assert turns_s == pytest.approx([step_s, step_s, 2 * step_s, 2 * step_s])
    free = (endpoint_terms.Terms(), SHARING)
    assert endpoint_terms.start_s([*limited, free], 100, 7) == 7


def test_the_first_endpoint_that_resumes_takes_all_that_wait() -> None:
    held = [
        (_told(endpoint_terms.Statement(retry_after_s=hold_s)), SHARING)
        for hold_s in (9, 4)
    ]
    assert endpoint_terms.start_s(held, 50, 1) == 4
    assert endpoint_terms.start_s(held, 50, 5) == 5


def test_a_shorter_time_does_not_end_a_longer_one() -> None:
    terms = _told(
        endpoint_terms.Statement(retry_after_s=9),
        endpoint_terms.Statement(retry_after_s=1),
        endpoint_terms.Statement(),
    )
    assert not endpoint_terms.may_send(terms, 8.9)
    assert endpoint_terms.may_send(terms, 9)


def test_a_time_is_bounded() -> None:
    terms = _told(endpoint_terms.Statement(retry_after_s=1e12))
    assert endpoint_terms.may_send(terms, endpoint_terms.MAX_HOLD_S)


def test_an_unreadable_statement_changes_only_what_can_be_read() -> None:
    terms = _told(endpoint_terms.Statement(limit_per_s=5))
    unreadable = endpoint_terms.Statement(
        leaving=True, unreadable=('server-limit',)
    )
    assert endpoint_terms.record(terms, unreadable, SHARING, 0)
    assert terms.leaving
    assert terms.limit.per_s == 5


def test_only_news_counts_as_a_change() -> None:
    statement = endpoint_terms.Statement(3, leaving=True, retry_after_s=5)
    terms = endpoint_terms.Terms()
    assert endpoint_terms.record(terms, statement, SHARING, 0)
    assert not endpoint_terms.record(terms, statement, SHARING, 1)
