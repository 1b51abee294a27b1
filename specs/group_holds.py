"""Specification: late orders for two held steps do not mix two expert maps.

All ranks have prepared the new map. The planner holds the group one step ahead
or two, as its margin changes, and takes each order to hold for unanswered, so
that it may be executed late. A rescuer completes or releases what it finds.
"""

import enum
import itertools

import attrs
import minicheck

from camphorstair_core.experts import group_orders
from specs import rank_group

MARGINS = (1, 2)
MAX_PENDING = 3
TARGET_VERSION = 1
HOLD_RANK = 1

_KIND = group_orders.OrderKind


class Mutant(enum.StrEnum):
    """Faults in the orders; the checker must find a violation for each.

    :ivar none: No fault.
    :ivar arms_anew: An order to hold is given for another step while an earlier
        one may still be executed, and all ranks are armed for the lowest held
        step, also those that are armed for another one.
    """

    none = 'none'
    arms_anew = 'arms_anew'


@attrs.define(frozen=True, cache_hash=True)
class Reader:
    """A process that reads the reports of the ranks and issues orders.

    :ivar is_planner: Whether it is the planner, which orders the holds.
    :ivar read: Reports read so far in the current round.
    :ivar held: Holds reported in the previous round.
    :ivar unanswered_step: Step of its last order to hold, until that begins.
    """

    is_planner: bool
    read: tuple[group_orders.RankReport, ...] = ()
    held: group_orders.Holds = frozenset()
    unanswered_step: int = 0


@attrs.define(frozen=True, cache_hash=True, kw_only=True)
class World(rank_group.Group):
    """State of the whole system.

    :ivar readers: The planner and the rescuer.
    """

    readers: tuple[Reader, ...]


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the model of a prepared group, its planner and its rescuer.

    :param mutant: The fault to build in.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        if world.mixed:
            return []
        reads = itertools.chain.from_iterable(
            _read_next_rank(world, number, mutant)
            for number in range(len(world.readers))
        )
        after = rank_group.moves(world)
        after.extend(('read', successor) for successor in reads)
        return [
            (name, (_without_past_orders(successor),))
            for name, successor in after
            if successor != world
        ]

    prepared = rank_group.Rank(
        prepared=TARGET_VERSION, highest_prepared=TARGET_VERSION
    )
    initial = World(
        ranks=(prepared,) * rank_group.RANKS,
        readers=(Reader(is_planner=True), Reader(is_planner=False)),
    )
    return minicheck.Protocol(
        name='group_holds',
        candidate=False,
        fields=('world',),
        initial=(initial,),
        transitions=transitions,
        invariants={'one map': lambda state: not state['world'].mixed},
    )


def _without_past_orders(world: World) -> World:
    """Forget orders that every rank refuses, as their step has begun."""
    pending = frozenset(
        order
        for order in world.pending
        if order.step > world.step or order.kind is _KIND.go
    )
    return attrs.evolve(world, pending=pending)


def _read_next_rank(world: World, number: int, mutant: Mutant) -> list[World]:
    """Return the states after a reader reads the next rank.

    After the last rank of a round, the reader issues its orders; there is a
    state for each margin. There is none if too many orders would be pending.
    """
    reader = world.readers[number]
    reports = (*reader.read, rank_group.report(world, len(reader.read)))
    if len(reports) < rank_group.RANKS:
        reading = attrs.evolve(reader, read=reports)
        return [_with_reader(world, number, reading)]
    by_rank = dict(enumerate(reports))
    successors = []
    for margin in MARGINS:
        orders = _decide_orders(by_rank, reader, margin, mutant)
        pending = world.pending | set(orders)
        if len(pending) <= MAX_PENDING:
            after = _with_reader(
                world, number, _next_round(reader, by_rank, orders)
            )
            successors.append(attrs.evolve(after, pending=pending))
    return successors


def _next_round(
    reader: Reader,
    reports: group_orders.Reports,
    orders: list[group_orders.Order],
) -> Reader:
    """Return a reader that begins its next round."""
    unanswered_step = reader.unanswered_step
    if orders and orders[0].kind is _KIND.hold:
        unanswered_step = orders[0].step
    if unanswered_step <= reports[0].step:
        unanswered_step = 0
    return attrs.evolve(
        reader,
        read=(),
        held=group_orders.holds(reports),
        unanswered_step=unanswered_step,
    )


def _decide_orders(
    reports: group_orders.Reports,
    reader: Reader,
    margin: int,
    mutant: Mutant,
) -> list[group_orders.Order]:
    """Return the orders that a reader issues at the end of a round."""
    arms_anew = mutant is Mutant.arms_anew
    if group_orders.holds(reports):
        orders = group_orders.orders_while_held(
            reports, rank_group.RANKS, reader.held
        )
        return _arm_anew(reports) or orders if arms_anew else orders
    if not reader.is_planner:
        return []
    return group_orders.orders_before_hold(
        reports,
        rank_group.RANKS,
        TARGET_VERSION,
        HOLD_RANK,
        margin,
        0 if arms_anew else reader.unanswered_step,
    )


def _arm_anew(reports: group_orders.Reports) -> list[group_orders.Order]:
    """Return orders to arm the ranks for the lowest held step, if due."""
    step = min(held for _rank, held in group_orders.holds(reports))
    armed = (TARGET_VERSION, step)
    if any(report.prepared != TARGET_VERSION for report in reports.values()):
        return []
    return [
        group_orders.Order(rank, _KIND.arm, TARGET_VERSION, step)
        for rank, report in sorted(reports.items())
        if (report.armed_version, report.armed_step) != armed
    ]


def _with_reader(world: World, number: int, reader: Reader) -> World:
    readers = list(world.readers)
    readers[number] = reader
    return attrs.evolve(world, readers=tuple(readers))
