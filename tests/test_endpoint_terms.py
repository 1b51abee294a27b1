"""Tests of the terms that endpoints state in their answers."""

import pytest
from hypothesis import settings, stateful, strategies

from camphorstair_core.fleet import endpoint_terms, request_limits

SHARING = request_limits.Sharing(1, 0)
# What endpoints state, and time that passes between answers.
HOLDS_S = (None, 0, 5, 50, 1e6)
STEPS_S = (1, 10, 700)
LEAVING = (False, False, False, False, True)


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


class StatedTerms(stateful.RuleBasedStateMachine):
    """The terms of two starts of an endpoint against all that was stated.

    Answers come late, twice and in any order, and those of the first start
    also after those of the second.
    """

    def __init__(self) -> None:
        """Start with an endpoint that has stated nothing."""
        super().__init__()
        self.now_s: float = 1
        self.terms = [endpoint_terms.Terms(), endpoint_terms.Terms()]
        self.left = [False, False]
        self.resume_s: list[float] = [0, 0]
        self.limits: list[float | None] = [None, None]

    @stateful.rule(step_s=strategies.sampled_from(STEPS_S))
    def wait(self, step_s: float) -> None:
        """Let time pass."""
        self.now_s += step_s

    @stateful.rule(
        start=strategies.integers(0, 1),
        leaving=strategies.sampled_from(LEAVING),
        retry_after_s=strategies.sampled_from(HOLDS_S),
        limit_per_s=strategies.none() | strategies.floats(0.1, 50),
        times=strategies.integers(1, 2),
        unreadable=strategies.booleans(),
    )
    def state(
        self,
        *,
        start: int,
        leaving: bool,
        retry_after_s: float | None,
        limit_per_s: float | None,
        times: int,
        unreadable: bool,
    ) -> None:
        """An answer of one start comes, once or twice."""
        statement = endpoint_terms.Statement(
            limit_per_s,
            leaving,
            retry_after_s,
            ('server-limit',) if unreadable else (),
        )
        for _ in range(times):
            endpoint_terms.record(
                self.terms[start], statement, SHARING, self.now_s
            )
        self.left[start] = self.left[start] or leaving
        if retry_after_s is not None:
            hold_s = min(retry_after_s, endpoint_terms.MAX_HOLD_S)
            self.resume_s[start] = max(
                self.resume_s[start], self.now_s + hold_s
            )
        if not unreadable:
            self.limits[start] = limit_per_s

    @stateful.invariant()
    def nothing_is_sent_against_the_terms(self) -> None:
        """Each start is used just when what it has stated allows it."""
        for start, terms in enumerate(self.terms):
            held = self.left[start] or self.now_s < self.resume_s[start]
            if held:
                assert not endpoint_terms.may_send(terms, self.now_s)
            elif self.limits[start] is None:
                assert endpoint_terms.may_send(terms, self.now_s)
            assert terms.limit.per_s == self.limits[start]


StatedTermsTest = StatedTerms.TestCase
StatedTermsTest.settings = settings(
    max_examples=200, stateful_step_count=20, deadline=None
)
