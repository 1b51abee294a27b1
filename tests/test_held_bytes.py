"""Tests of the accounts of bytes held for slow peers."""

import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from camphorstair_core.fleet import held_bytes

READ_BYTES = 64
BOUND_BYTES = 500


class HeldBytesMachine(stateful.RuleBasedStateMachine):
    """Answers hold, release and end in any order.

    Guards against a total that drifts from the accounts, exceeds its bound or
    keeps the bytes of freed accounts.
    """

    def __init__(self) -> None:
        """Start without answers."""
        super().__init__()
        self.totals = held_bytes.Totals(BOUND_BYTES)
        self.accounts: list[held_bytes.Account] = []
        self.peak_bytes = 0

    @stateful.rule(priority=st.integers(0, 3), repeatable=st.booleans())
    def open(self, priority: int, repeatable: bool) -> None:
        self.accounts.append(held_bytes.Account(priority, repeatable))

    @stateful.precondition(lambda machine: machine.accounts)
    @stateful.rule(choice=st.data(), size=st.integers(0, READ_BYTES))
    def hold(self, choice: st.DataObject, size: int) -> None:
        account = choice.draw(st.sampled_from(self.accounts))
        held_bytes.hold(self.totals, account, size)
        self.peak_bytes = max(self.peak_bytes, self.totals.total_bytes)
        while self.totals.total_bytes > BOUND_BYTES:
            ended = held_bytes.end_one(self.totals)
            assert ended is not None
            assert not ended.held_bytes
            assert ended.repeatable or not any(
                other.repeatable for other in self.totals.accounts
            )

    @stateful.precondition(lambda machine: machine.accounts)
    @stateful.rule(choice=st.data(), size=st.integers(0, 2 * READ_BYTES))
    def release(self, choice: st.DataObject, size: int) -> None:
        account = choice.draw(st.sampled_from(self.accounts))
        held_bytes.release(self.totals, account, size)

    @stateful.precondition(lambda machine: machine.accounts)
    @stateful.rule(choice=st.data())
    def free(self, choice: st.DataObject) -> None:
        account = choice.draw(st.sampled_from(self.accounts))
        held_bytes.free(self.totals, account)
        self.accounts.remove(account)

    @stateful.invariant()
    def total_is_bounded_sum(self) -> None:
        held = {account for account in self.accounts if account.held_bytes}
        assert set(self.totals.accounts) == held
        assert self.totals.total_bytes == sum(
            account.held_bytes for account in held
        )
        assert self.totals.total_bytes <= BOUND_BYTES
        assert self.peak_bytes <= BOUND_BYTES + READ_BYTES

    def teardown(self) -> None:
        """Free all accounts; nothing may be left."""
        for account in self.accounts:
            held_bytes.free(self.totals, account)
        assert not self.totals.total_bytes


TestHeldBytes = HeldBytesMachine.TestCase


@pytest.mark.parametrize(
    ('answers', 'ended'),
    [
        ([(2, True, 9), (2, True, 10), (0, True, 11)], 1),
        ([(0, True, 9), (1, True, 1)], 1),
        ([(2, False, 99), (0, True, 1)], 1),
        ([(1, False, 9), (2, False, 1)], 1),
    ],
)
def test_the_answer_that_costs_callers_least_is_ended(
    answers: list[tuple[int, bool, int]], ended: int
) -> None:
    """Guards against ending an urgent or unrepeatable answer needlessly."""
    totals = held_bytes.Totals(0)
    accounts = []
    for priority, repeatable, size in answers:
        account = held_bytes.Account(priority, repeatable)
        held_bytes.hold(totals, account, size)
        accounts.append(account)
    assert held_bytes.end_one(totals) is accounts[ended]


def test_bounds() -> None:
    """Guards against a bound other than 256 KB and an eighth of the VM."""
    account = held_bytes.Account(0, repeatable=True, held_bytes=256 * 1024 - 1)
    assert held_bytes.has_room(account)
    account.held_bytes += 1
    assert not held_bytes.has_room(account)
    assert held_bytes.total_bound_bytes(80) == 10 * 1024 * 1024
