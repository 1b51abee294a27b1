"""Specification: no step of a rank group begins with two expert maps.

A planner and a rescuer read the reports of the ranks one by one and issue the
orders returned by ``camphorstair_core.experts.group_orders``. A group is held
at one step only; ``group_holds`` has holds at several.
"""

import enum

import attrs
import minicheck

from camphorstair_core.experts import group_orders
from specs import rank_group

RANKS = rank_group.RANKS
# The number of pending orders bounds the state space.
STEP_MARGIN = 1
MAX_PENDING = 3
TARGET_VERSION = 1

_KIND = group_orders.OrderKind


class Mutant(enum.StrEnum):
    """Faults in the orders; the checker must find a violation for each.

    :ivar none: No fault.
    :ivar no_hold: A rank is armed at once instead of holding the step.
    :ivar releases_in_one_round: A hold is released after it was seen in one
        round instead of two.
    :ivar releases_while_arming: Holds are released while ranks are still
        being armed.
    """

    none = 'none'
    no_hold = 'no_hold'
    releases_in_one_round = 'releases_in_one_round'
    releases_while_arming = 'releases_while_arming'


@attrs.define(frozen=True, cache_hash=True)
class Reader:
    """A process that reads the reports of the ranks and issues orders.

    :ivar is_planner: Whether it is the planner, which introduces a new map; the
        rescuer only completes or releases the holds of others.
    :ivar read: Reports read so far in the current round.
    :ivar held: Holds reported in the previous round.
    """

    is_planner: bool
    read: tuple[group_orders.RankReport, ...] = ()
    held: group_orders.Holds = frozenset()


@attrs.define(frozen=True, cache_hash=True, kw_only=True)
class World(rank_group.Group):
    """State of the whole system.

    :ivar readers: The planner and the rescuer.
    """

    readers: tuple[Reader, ...]


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the model of a group, its planner and its rescuer.

    :param mutant: The fault to build in.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        if world.mixed:
            return []
        after = rank_group.moves(world)
        for number, _reader in enumerate(world.readers):
            after.append(('read', _read_next_rank(world, number, mutant)))
        return [
            (name, (successor,))
            for name, successor in after
            if successor != world
        ]

    ranks = tuple(rank_group.Rank() for _ in range(RANKS))
    readers = (Reader(is_planner=True), Reader(is_planner=False))
    return minicheck.Protocol(
        name='group_orders',
        candidate=False,
        fields=('world',),
        initial=(World(ranks=ranks, readers=readers),),
        transitions=transitions,
        invariants={'one map': lambda state: not state['world'].mixed},
    )


def _read_next_rank(world: World, number: int, mutant: Mutant) -> World:
    """Return the state after a reader reads the next rank.

    After the last rank of a round, the reader issues its orders. The state is
    unchanged if too many orders would be pending.
    """
    reader = world.readers[number]
    reports = (*reader.read, rank_group.report(world, len(reader.read)))
    if len(reports) < RANKS:
        return _with_reader(world, number, attrs.evolve(reader, read=reports))
    by_rank = dict(enumerate(reports))
    orders = _decide_orders(by_rank, reader, mutant)
    pending = world.pending | set(orders)
    if len(pending) > MAX_PENDING:
        return world
    next_round = Reader(reader.is_planner, (), group_orders.holds(by_rank))
    return attrs.evolve(
        _with_reader(world, number, next_round), pending=pending
    )


def _decide_orders(
    reports: group_orders.Reports,
    reader: Reader,
    mutant: Mutant,
) -> list[group_orders.Order]:
    """Return the orders that a reader issues at the end of a round."""
    holds = group_orders.holds(reports)
    if holds:
        before = reader.held
        if mutant is Mutant.releases_in_one_round:
            before = holds
        orders = group_orders.orders_while_held(reports, RANKS, before)
        if mutant is Mutant.releases_while_arming:
            return orders + _release_orders(holds)
        return orders
    if not reader.is_planner:
        return []
    orders = group_orders.orders_before_hold(
        reports, RANKS, TARGET_VERSION, 1, STEP_MARGIN
    )
    if mutant is Mutant.no_hold:
        return [_arm_without_hold(order) for order in orders]
    return orders


def _release_orders(holds: group_orders.Holds) -> list[group_orders.Order]:
    """Return the orders that release all of the holds."""
    return [
        group_orders.Order(rank, _KIND.go, step=step) for rank, step in holds
    ]


def _arm_without_hold(order: group_orders.Order) -> group_orders.Order:
    """Return an order to arm for the same step in place of one to hold."""
    if order.kind is not _KIND.hold:
        return order
    return attrs.evolve(order, kind=_KIND.arm, version=TARGET_VERSION)


def _with_reader(world: World, number: int, reader: Reader) -> World:
    readers = list(world.readers)
    readers[number] = reader
    return attrs.evolve(world, readers=tuple(readers))
