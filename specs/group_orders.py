"""Specification: no step of a rank group begins with two expert maps.

A planner and a rescuer read the reports of the ranks one by one and issue the
orders returned by ``camphorstair_core.experts.group_orders``. An issued order
is pending: it may be executed at any time, once, repeatedly or never. The next
step may begin at any time unless a rank holds it.
"""

import enum

import attrs
import minicheck

from camphorstair_core.experts import group_orders

RANKS = 2
# The last step and the number of pending orders bound the state space.
LAST_STEP = 4
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
class Rank:
    """One rank, as the platform documents its behaviour.

    :ivar version: Version of the map in use.
    :ivar prepared: Version of the prepared map; 0 for none.
    :ivar highest_prepared: Highest version that the rank has prepared so far.
    :ivar armed: Version that the rank will switch to and the step at which it
        will; zeros for none.
    :ivar held: Step that must not begin until the rank releases it, or None.
    """

    version: int = 0
    prepared: int = 0
    highest_prepared: int = 0
    armed: tuple[int, int] = (0, 0)
    held: int | None = None


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


@attrs.define(frozen=True, cache_hash=True)
class World:
    """State of the whole system.

    :ivar ranks: The ranks of the group.
    :ivar readers: The planner and the rescuer.
    :ivar step: Number of the last step that began.
    :ivar pending: Pending orders, which may still be executed.
    :ivar mixed: Whether a step began with two maps.
    """

    ranks: tuple[Rank, ...]
    readers: tuple[Reader, ...]
    step: int = 0
    pending: frozenset[group_orders.Order] = frozenset()
    mixed: bool = False


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the model of a group, its planner and its rescuer.

    :param mutant: The fault to build in.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        if world.mixed:
            return []
        after = [('pass', _begin_step(world))]
        for number, _reader in enumerate(world.readers):
            after.append(('read', _read_next_rank(world, number, mutant)))
        for order in world.pending:
            executed = _execute(world, order)
            after.append(('executed, still pending', executed))
            remaining = world.pending - {order}
            after.append(
                (
                    'executed for the last time',
                    attrs.evolve(executed, pending=remaining),
                )
            )
        return [
            (name, (successor,))
            for name, successor in after
            if successor != world
        ]

    ranks = tuple(Rank() for _ in range(RANKS))
    readers = (Reader(is_planner=True), Reader(is_planner=False))
    return minicheck.Protocol(
        name='group_orders',
        candidate=False,
        fields=('world',),
        initial=(World(ranks, readers),),
        transitions=transitions,
        invariants={'one map': lambda state: not state['world'].mixed},
    )


def _read_next_rank(world: World, number: int, mutant: Mutant) -> World:
    """Return the state after a reader reads the next rank.

    After the last rank of a round, the reader issues its orders. The state is
    unchanged if too many orders would be pending.
    """
    reader = world.readers[number]
    reports = (*reader.read, _report(world, len(reader.read)))
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


def _report(world: World, number: int) -> group_orders.RankReport:
    rank = world.ranks[number]
    return group_orders.RankReport(
        1, world.step, rank.version, rank.prepared, *rank.armed, rank.held
    )


def _begin_step(world: World) -> World:
    """Begin the next step unless a rank holds it."""
    next_step = world.step + 1
    is_held = any(rank.held == next_step for rank in world.ranks)
    if is_held or next_step > LAST_STEP:
        return world
    ranks = tuple(_switch_if_armed(rank, next_step) for rank in world.ranks)
    versions = {rank.version for rank in ranks}
    return attrs.evolve(
        world, ranks=ranks, step=next_step, mixed=len(versions) > 1
    )


def _switch_if_armed(rank: Rank, step: int) -> Rank:
    """Switch a rank to its armed version if it is armed for this step."""
    if rank.armed[1] != step:
        return rank
    return attrs.evolve(rank, version=rank.armed[0], prepared=0, armed=(0, 0))


def _execute(world: World, order: group_orders.Order) -> World:
    ranks = list(world.ranks)
    ranks[order.rank] = _execute_at_rank(
        world.ranks[order.rank], order, world.step
    )
    return attrs.evolve(world, ranks=tuple(ranks))


def _execute_at_rank(rank: Rank, order: group_orders.Order, step: int) -> Rank:
    """Return a rank after it received an order.

    The rank refuses an order that doesn't apply to its state.

    :param rank: The rank before.
    :param order: The order.
    :param step: Number of the last step that began.
    """
    version = order.version
    is_future_step = order.step > step
    if order.kind is _KIND.prepare and version > rank.highest_prepared:
        return attrs.evolve(rank, prepared=version, highest_prepared=version)
    if order.kind is _KIND.hold and is_future_step and rank.held is None:
        return attrs.evolve(rank, held=order.step)
    if order.kind is _KIND.arm and is_future_step and version == rank.prepared:
        return attrs.evolve(rank, armed=(version, order.step))
    if order.kind is _KIND.go and rank.held == order.step:
        return attrs.evolve(rank, held=None)
    return rank
