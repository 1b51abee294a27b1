"""Specification: no pass of a rank group begins on two expert maps.

A planner and a rescuer read the ranks one by one and give the orders that the
product's own functions name. Orders fly: they are carried out at any time,
once, twice or never. Passes begin at any time unless the group is held.
"""

import enum

import attrs
import minicheck

from camphorstair_core.experts import group_orders

RANKS = 2
LAST_STEP = 4
MARGIN = 1
MOST_FLYING = 3
WANTED = 1

_KIND = group_orders.OrderKind


class Mutant(enum.StrEnum):
    """Ways to break the orders; the checker must find each."""

    none = 'none'
    no_hold = 'no_hold'
    releases_in_one_round = 'releases_in_one_round'
    releases_while_arming = 'releases_while_arming'


@attrs.define(frozen=True, cache_hash=True)
class Rank:
    """One rank, as the platform's pages describe it."""

    version: int = 0
    prepared: int = 0
    highest: int = 0
    armed: tuple[int, int] = (0, 0)
    held: int | None = None


@attrs.define(frozen=True, cache_hash=True)
class Reader:
    """A process that reads the ranks and gives orders.

    :ivar plans: Whether it wants a new map; else it only rescues.
    :ivar read: Reports of the round in progress.
    :ivar held: Holds that the last round saw.
    """

    plans: bool
    read: tuple[group_orders.RankReport, ...] = ()
    held: group_orders.Holds = frozenset()


@attrs.define(frozen=True, cache_hash=True)
class World:
    """All of the state.

    :ivar step: The last pass that began.
    :ivar flying: Orders that may still be carried out.
    :ivar mixed: Whether a pass began on two maps.
    """

    ranks: tuple[Rank, ...]
    readers: tuple[Reader, ...]
    step: int = 0
    flying: frozenset[group_orders.Order] = frozenset()
    mixed: bool = False


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the specification.

    :param mutant: What is left out of the rules for orders.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        if world.mixed:
            return []
        after = [('pass', _begin_pass(world))]
        for number, _reader in enumerate(world.readers):
            after.append(('read', _read(world, number, mutant)))
        for order in world.flying:
            landed = _carry_out(world, order)
            after.append(('late copy', landed))
            rest = world.flying - {order}
            after.append(('carried out', attrs.evolve(landed, flying=rest)))
        return [(name, (one,)) for name, one in after if one != world]

    ranks = tuple(Rank() for _ in range(RANKS))
    readers = (Reader(plans=True), Reader(plans=False))
    return minicheck.Protocol(
        name='group_orders',
        candidate=False,
        fields=('world',),
        initial=(World(ranks, readers),),
        transitions=transitions,
        invariants={'one map': lambda state: not state['world'].mixed},
    )


def _read(world: World, number: int, mutant: Mutant) -> World:
    """Let a reader read one more rank; the last one of a round decides."""
    reader = world.readers[number]
    reports = (*reader.read, _report(world, len(reader.read)))
    if len(reports) < RANKS:
        return _with_reader(world, number, attrs.evolve(reader, read=reports))
    known = dict(enumerate(reports))
    orders = _orders(known, reader, mutant)
    flying = world.flying | set(orders)
    if len(flying) > MOST_FLYING:
        return world
    rested = Reader(reader.plans, (), group_orders.holds(known))
    return attrs.evolve(_with_reader(world, number, rested), flying=flying)


def _orders(
    reports: group_orders.Reports,
    reader: Reader,
    mutant: Mutant,
) -> list[group_orders.Order]:
    held = group_orders.holds(reports)
    if held:
        before = reader.held
        if mutant is Mutant.releases_in_one_round:
            before = held
        found = group_orders.orders_while_held(reports, RANKS, before)
        if mutant is Mutant.releases_while_arming:
            return found + _release(held)
        return found
    if not reader.plans:
        return []
    found = group_orders.orders_before_hold(reports, RANKS, WANTED, 1, MARGIN)
    if mutant is Mutant.no_hold:
        return [_arm_at_once(one) for one in found]
    return found


def _release(held: group_orders.Holds) -> list[group_orders.Order]:
    return [
        group_orders.Order(rank, _KIND.go, step=step) for rank, step in held
    ]


def _arm_at_once(order: group_orders.Order) -> group_orders.Order:
    if order.kind is not _KIND.hold:
        return order
    return attrs.evolve(order, kind=_KIND.arm, version=WANTED)


def _with_reader(world: World, number: int, reader: Reader) -> World:
    readers = list(world.readers)
    readers[number] = reader
    return attrs.evolve(world, readers=tuple(readers))


def _report(world: World, number: int) -> group_orders.RankReport:
    rank = world.ranks[number]
    return group_orders.RankReport(
        1, world.step, rank.version, rank.prepared, *rank.armed, rank.held
    )


def _begin_pass(world: World) -> World:
    following = world.step + 1
    held = any(one.held == following for one in world.ranks)
    if held or following > LAST_STEP:
        return world
    ranks = tuple(_switch(one, following) for one in world.ranks)
    versions = {one.version for one in ranks}
    return attrs.evolve(
        world, ranks=ranks, step=following, mixed=len(versions) > 1
    )


def _switch(rank: Rank, step: int) -> Rank:
    if rank.armed[1] != step:
        return rank
    return attrs.evolve(rank, version=rank.armed[0], prepared=0, armed=(0, 0))


def _carry_out(world: World, order: group_orders.Order) -> World:
    ranks = list(world.ranks)
    ranks[order.rank] = _obey(world.ranks[order.rank], order, world.step)
    return attrs.evolve(world, ranks=tuple(ranks))


def _obey(rank: Rank, order: group_orders.Order, step: int) -> Rank:
    """Return a rank after an order, which it refuses if it does not fit."""
    version = order.version
    ahead = order.step > step
    if order.kind is _KIND.prepare and version > rank.highest:
        return attrs.evolve(rank, prepared=version, highest=version)
    if order.kind is _KIND.hold and ahead and rank.held is None:
        return attrs.evolve(rank, held=order.step)
    if order.kind is _KIND.arm and ahead and version == rank.prepared:
        return attrs.evolve(rank, armed=(version, order.step))
    if order.kind is _KIND.go and rank.held == order.step:
        return attrs.evolve(rank, held=None)
    return rank
