"""Tests of an expert map change with late, lost and duplicated orders."""

import attrs
import rank_readers
import rank_world
from hypothesis import settings, stateful
from hypothesis import strategies as st

from camphorstair_core.experts import group_orders

SIZE = rank_readers.SIZE
ROUNDS = 40
MARGINS = (1, 2, 3, 5, group_orders.CAUTIOUS_STEP_MARGIN)
Order = group_orders.Order
OrderKind = group_orders.OrderKind


class GroupMachine(stateful.RuleBasedStateMachine):
    """Replace planners while orders are lost, delayed and duplicated."""

    def __init__(self) -> None:
        """Start with one planner and one rescuer."""
        super().__init__()
        ranks = [rank_world.Rank() for _ in range(SIZE)]
        self.world = rank_world.World(ranks)
        self.version = group_orders.version_number(1, 1, 1)
        self.planners = [
            rank_readers.Planner(self.version),
            rank_readers.Planner(None),
        ]

    @stateful.rule(
        which=st.integers(0, 1),
        fate=st.integers(0, 3),
        margin=st.sampled_from(MARGINS),
    )
    def look(self, which: int, fate: int, margin: int) -> None:
        """Let a planner read a report; carry out, delay, repeat or lose orders.

        :param fate: 0 carries orders out, 1 delays them, 2 does both, 3 loses
            them.
        :param margin: How many steps ahead a hold is ordered.
        """
        planner = self.planners[which]
        for order in planner.look(self.world, margin):
            if order.kind is OrderKind.hold and fate in {1, 3}:
                planner.unanswered_step = order.step
            if fate != 3:
                self.world.delayed_orders.append(order)
            if fate in {0, 2}:
                self.world.carry_out(order)
            if fate == 0:
                self.world.delayed_orders.pop()

    @stateful.rule(place=st.integers(0, 5))
    def late_order(self, place: int) -> None:
        """Carry out one of the delayed orders."""
        if self.world.delayed_orders:
            index = place % len(self.world.delayed_orders)
            self.world.carry_out(self.world.delayed_orders.pop(index))

    @stateful.rule(number=st.integers(0, SIZE - 1))
    def copy_ends(self, number: int) -> None:
        """Complete a rank's copy."""
        self.world.copy_ends(number)

    @stateful.rule()
    def begin_pass(self) -> None:
        """Begin a pass."""
        self.world.begin_pass()

    @stateful.rule(working=st.booleans())
    def set_work(self, working: bool) -> None:
        """Set whether the group has work."""
        self.world.working = working

    @stateful.rule()
    def next_planner(self) -> None:
        """Replace the planner by one with a newer lease and higher versions."""
        self.version += group_orders.VERSIONS_PER_LEASE
        self.planners[0] = rank_readers.Planner(self.version)

    @stateful.invariant()
    def one_map(self) -> None:
        """Check that no pass began while ranks used different maps."""
        assert not self.world.mixed_maps


GroupMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60
)
TestGroupMachine = GroupMachine.TestCase


def _run_planner(
    world: rank_world.World, planner: rank_readers.Planner
) -> None:
    """Run a planner without faults for a fixed number of rounds and passes."""
    for _ in range(ROUNDS * SIZE):
        for order in planner.look(world):
            world.carry_out(order)
        for number in range(SIZE):
            world.copy_ends(number)
        if not planner.round_reports:
            world.begin_pass()


def test_new_map_is_activated_without_pausing_group() -> None:
    world = rank_world.World([rank_world.Rank() for _ in range(SIZE)])
    _run_planner(world, rank_readers.Planner(10_001))
    assert {rank.version for rank in world.ranks} == {10_001}
    assert not world.mixed_maps
    assert world.step >= ROUNDS - group_orders.STEP_MARGIN


def test_successor_planner_completes_interrupted_switch() -> None:
    world = rank_world.World([rank_world.Rank() for _ in range(SIZE)])
    planner = rank_readers.Planner(10_001)
    while not any(rank.armed[0] for rank in world.ranks):
        for order in planner.look(world)[:1]:
            world.carry_out(order)
        for number in range(SIZE):
            world.copy_ends(number)
    _run_planner(world, rank_readers.Planner(None))
    assert {rank.version for rank in world.ranks} == {10_001}
    assert not world.mixed_maps


def test_a_hold_without_a_prepared_map_is_released_after_two_rounds() -> None:
    world = rank_world.World([rank_world.Rank() for _ in range(SIZE)])
    world.carry_out(Order(1, OrderKind.hold, step=3))
    reports = world.reports()
    holds = group_orders.holds(reports)
    assert not group_orders.orders_while_held(reports, SIZE, frozenset())
    orders = group_orders.orders_while_held(reports, SIZE, holds)
    assert orders == [Order(1, OrderKind.go, step=3)]


def test_a_hold_is_released_while_ranks_have_prepared_different_maps() -> None:
    ranks = [rank_world.Rank(prepared=version) for version in (0, 5, 5)]
    world = rank_world.World(ranks)
    world.carry_out(Order(1, OrderKind.hold, step=3))
    reports = world.reports()
    holds = group_orders.holds(reports)
    orders = group_orders.orders_while_held(reports, SIZE, holds)
    assert orders == [Order(1, OrderKind.go, step=3)]


def test_no_orders_while_a_rank_report_is_missing() -> None:
    world = rank_world.World([rank_world.Rank() for _ in range(SIZE)])
    reports = world.reports()
    reports.pop(2)
    assert not group_orders.orders_before_hold(reports, SIZE, 5, 1)


def test_no_orders_while_rank_epochs_differ() -> None:
    world = rank_world.World([rank_world.Rank() for _ in range(SIZE)])
    reports = world.reports()
    reports[2] = attrs.evolve(reports[2], epoch=2)
    assert not group_orders.orders_before_hold(reports, SIZE, 5, 1)


def test_a_cautious_planner_holds_further_ahead() -> None:
    ranks = [rank_world.Rank(prepared=5) for _ in range(SIZE)]
    reports = rank_world.World(ranks, step=10).reports()
    margin = group_orders.CAUTIOUS_STEP_MARGIN
    orders = group_orders.orders_before_hold(reports, SIZE, 5, 1, margin)
    assert orders == [Order(1, OrderKind.hold, step=10 + margin)]


def _armed(world: rank_world.World, version: int, *steps: int) -> None:
    """Let ranks that have prepared a version be armed for steps; 0 is none."""
    for rank, step in zip(world.ranks, steps, strict=True):
        rank.armed = (version, step) if step else (0, 0)


# A late order to hold let all ranks be armed anew for an earlier step; one late
# order to arm for the step before then left its rank on the old map (review/1).
def test_a_late_hold_does_not_arm_ranks_for_another_step() -> None:
    ranks = [rank_world.Rank(prepared=5) for _ in range(SIZE)]
    world = rank_world.World(ranks, step=10)
    _armed(world, 5, 13, 13, 13)
    world.carry_out(Order(1, OrderKind.hold, step=11))
    orders = group_orders.orders_while_held(world.reports(), SIZE, frozenset())
    assert orders == [Order(1, OrderKind.go, step=11)]
    for order in orders:
        world.carry_out(order)
    world.carry_out(Order(2, OrderKind.arm, 5, 13))
    while world.step < 13:
        world.begin_pass()
    assert {rank.version for rank in world.ranks} == {5}
    assert not world.mixed_maps


def test_ranks_are_armed_for_the_held_step_that_some_are_armed_for() -> None:
    ranks = [rank_world.Rank(prepared=5) for _ in range(SIZE)]
    world = rank_world.World(ranks, step=10)
    _armed(world, 5, 13, 0, 0)
    world.carry_out(Order(2, OrderKind.hold, step=13))
    world.carry_out(Order(1, OrderKind.hold, step=11))
    orders = group_orders.orders_while_held(world.reports(), SIZE, frozenset())
    assert orders == [Order(rank, OrderKind.arm, 5, 13) for rank in (1, 2)]


def test_an_unanswered_hold_is_repeated_for_the_same_step() -> None:
    ranks = [rank_world.Rank(prepared=5) for _ in range(SIZE)]
    for step, held_step in ((10, 12), (11, 12), (12, 20)):
        reports = rank_world.World(ranks, step=step).reports()
        orders = group_orders.orders_before_hold(
            reports, SIZE, 5, 1, 8, unanswered_step=12
        )
        assert orders == [Order(1, OrderKind.hold, step=held_step)]
