"""Specification: no map version is used twice, though the store loses changes.

Planners take a lease in the store one after another. The store may come back
from a copy of itself: leases granted since are gone, and revisions are given out
again. A planner that has seen the new era must not act on a lease of the old
one.
"""

import enum

import attrs
import minicheck

from camphorstair_core.experts import group_orders

PLANNERS = 2
# The last era and revision bound the state space.
LAST_ERA = 3
LAST_REVISION = 3


class Mutant(enum.StrEnum):
    """Faults in the protocol; the checker must find a violation for each.

    :ivar none: No fault.
    :ivar reuses_number: Version numbers leave the era out.
    :ivar trusts_lease: A lease of an earlier era still counts as held.
    """

    none = 'none'
    reuses_number = 'reuses_number'
    trusts_lease = 'trusts_lease'


@attrs.define(frozen=True, cache_hash=True)
class Store:
    """The content of the store that matters for leases.

    :ivar era: Number of its returns from a copy, plus one.
    :ivar revision: Revision of the last change.
    :ivar holder: The planner that holds the lease; None if it is free.
    """

    era: int = 1
    revision: int = 0
    holder: int | None = None


@attrs.define(frozen=True, cache_hash=True)
class Planner:
    """What one planner knows.

    :ivar seen_era: The latest era that the store has shown it.
    :ivar lease_era: Era of its lease; 0 if it has none.
    :ivar version: Number of the map that it plans under its lease.
    """

    seen_era: int = 1
    lease_era: int = 0
    version: int = 0


@attrs.define(frozen=True, cache_hash=True)
class World:
    """State of the whole system.

    :ivar store: The store.
    :ivar copy: The copy from which the store may come back.
    :ivar planners: The planners.
    :ivar used: The version numbers planned so far.
    :ivar reused: Whether a version number was used for a second map.
    :ivar outdated: Whether a planner acted on a lease of an earlier era than
        the one it had seen.
    """

    store: Store
    copy: Store
    planners: tuple[Planner, ...]
    used: frozenset[int] = frozenset()
    reused: bool = False
    outdated: bool = False


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the model of a store and its planners.

    :param mutant: The fault to build in.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        after = [
            ('copied', attrs.evolve(world, copy=world.store)),
            ('returned', _come_back(world)),
            ('expired', _expire(world)),
        ]
        for number in range(PLANNERS):
            after.append(('acquired', _acquire(world, number, mutant)))
            after.append(('seen', _see_era(world, number)))
            after.append(('acted', _act(world, number, mutant)))
        return [
            (name, (successor,))
            for name, successor in after
            if successor != world
        ]

    planners = tuple(Planner() for _ in range(PLANNERS))
    return minicheck.Protocol(
        name='planner_leases',
        candidate=False,
        fields=('world',),
        initial=(World(Store(), Store(), planners),),
        transitions=transitions,
        invariants={
            'versions differ': lambda state: not state['world'].reused,
            'no outdated lease': lambda state: not state['world'].outdated,
        },
    )


def _come_back(world: World) -> World:
    """Replace the store by its copy; a new era begins."""
    if world.store.era == LAST_ERA:
        return world
    store = attrs.evolve(world.copy, era=world.store.era + 1)
    return attrs.evolve(world, store=store)


def _expire(world: World) -> World:
    """End the lease; its holder does not notice."""
    return attrs.evolve(world, store=attrs.evolve(world.store, holder=None))


def _acquire(world: World, number: int, mutant: Mutant) -> World:
    """Let a planner take the lease if it is free, and plan a map."""
    store = world.store
    if store.holder is not None or store.revision == LAST_REVISION:
        return world
    revision = store.revision + 1
    era = 0 if mutant is Mutant.reuses_number else store.era
    version = group_orders.version_number(era, revision, 1)
    return attrs.evolve(
        world,
        store=attrs.evolve(store, revision=revision, holder=number),
        planners=_with_planner(
            world, number, Planner(store.era, store.era, version)
        ),
        used=world.used | {version},
        reused=world.reused or version in world.used,
    )


def _see_era(world: World, number: int) -> World:
    """Let a planner see the era in an answer of the store."""
    planner = attrs.evolve(world.planners[number], seen_era=world.store.era)
    return attrs.evolve(world, planners=_with_planner(world, number, planner))


def _act(world: World, number: int, mutant: Mutant) -> World:
    """Let a planner send an order if it counts its lease as held."""
    planner = world.planners[number]
    current = planner.lease_era == planner.seen_era
    held = planner.lease_era and (current or mutant is Mutant.trusts_lease)
    if not held or current:
        return world
    return attrs.evolve(world, outdated=True)


def _with_planner(
    world: World, number: int, planner: Planner
) -> tuple[Planner, ...]:
    planners = list(world.planners)
    planners[number] = planner
    return tuple(planners)
