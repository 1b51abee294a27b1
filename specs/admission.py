"""Specification: an endpoint never has more requests than it bears.

An engine bears little while it is cold, and turns cold without warning: it
restarts, which breaks its connections, or its cache empties, which shows in a
slow first part of an answer that was sent after it. The agent counts what it
sent; it restarts as well, and then its connections close.
"""

import enum

import attrs
import minicheck

COLD_LIMIT = 1
FULL_LIMIT = 3
WARM_ANSWERS = 2


class Mutant(enum.StrEnum):
    """Ways to break the admission; the checker must find each."""

    none = 'none'
    starts_warm = 'starts_warm'
    ignores_broken = 'ignores_broken'
    ignores_idle = 'ignores_idle'
    counts_old_answers = 'counts_old_answers'


@attrs.define(frozen=True, cache_hash=True)
class World:
    """All of the state.

    :ivar warm: Whether the engine bears the full limit.
    :ivar answered: Whole answers of the engine since it became cold.
    :ivar current: Requests in flight of the agent's generation.
    :ivar older: Requests in flight of generations before.
    :ivar limit: The agent's limit.
    :ivar watched: Whether a connection is open that a restart would close.
    :ivar seen: Whole answers of this generation.
    :ivar over: Whether a request came when the engine bore no more.
    """

    warm: bool = False
    answered: int = 0
    current: int = 0
    older: int = 0
    limit: int = COLD_LIMIT
    watched: bool = False
    seen: int = 0
    over: bool = False


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the specification.

    :param mutant: What is left out of the admission.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        unwatched = attrs.evolve(world, watched=False)
        steps = [
            ('send', _send(world)),
            ('engine restarts', _restart_engine(world, mutant)),
            ('agent restarts', _restart_agent(world, mutant)),
            ('drop to cold', _become_cold(world)),
            ('watch opened', attrs.evolve(world, watched=True)),
            ('watch closed', _rest(unwatched, mutant)),
        ]
        if world.current:
            steps.append(('answer', _answer(world, mutant)))
            ended = attrs.evolve(world, current=world.current - 1)
            steps.append(('given up', _rest(ended, mutant)))
        if world.older:
            ended = attrs.evolve(world, older=world.older - 1)
            steps.append(('old answer', _answer_old(ended, mutant)))
        return [(name, (after,)) for name, after in steps if after != world]

    start = _restart_agent(World(), mutant)
    return minicheck.Protocol(
        name='admission',
        candidate=False,
        fields=('world',),
        initial=(start,),
        transitions=transitions,
        invariants={'bearable': lambda state: not state['world'].over},
    )


def _send(world: World) -> World:
    in_flight = world.current + world.older
    if in_flight >= world.limit:
        return world
    bearable = FULL_LIMIT if world.warm else COLD_LIMIT
    over = in_flight + 1 > bearable
    return attrs.evolve(world, current=world.current + 1, over=over)


def _answer(world: World, mutant: Mutant) -> World:
    """Answer a request whole; the engine warms up and the limit rises."""
    seen = min(world.seen + 1, WARM_ANSWERS)
    limit = FULL_LIMIT if seen == WARM_ANSWERS else world.limit
    answered = attrs.evolve(
        _warm_up(world),
        current=world.current - 1,
        seen=seen,
        limit=limit,
    )
    return _rest(answered, mutant)


def _answer_old(world: World, mutant: Mutant) -> World:
    """End a request of an earlier generation, which shows nothing."""
    if mutant is Mutant.counts_old_answers:
        seen = min(world.seen + 1, WARM_ANSWERS)
        limit = FULL_LIMIT if seen == WARM_ANSWERS else world.limit
        world = attrs.evolve(world, seen=seen, limit=limit)
    return _rest(world, mutant)


def _warm_up(world: World) -> World:
    answered = min(world.answered + 1, WARM_ANSWERS)
    return attrs.evolve(world, answered=answered, warm=answered == WARM_ANSWERS)


def _rest(world: World, mutant: Mutant) -> World:
    """Drop to cold when no connection would tell of a restart."""
    connected = world.watched or world.current + world.older
    if connected or mutant is Mutant.ignores_idle:
        return world
    return _become_cold(world)


def _become_cold(world: World) -> World:
    return attrs.evolve(
        world,
        current=0,
        older=world.current + world.older,
        limit=COLD_LIMIT,
        seen=0,
    )


def _restart_engine(world: World, mutant: Mutant) -> World:
    """Restart the engine; each broken connection tells the agent.

    An agent without a connection learns nothing.
    """
    cold = attrs.evolve(world, warm=False, answered=0)
    connected = world.watched or world.current + world.older
    if connected and mutant is not Mutant.ignores_broken:
        cold = _become_cold(cold)
    return attrs.evolve(cold, current=0, older=0, watched=False)


def _restart_agent(world: World, mutant: Mutant) -> World:
    limit = FULL_LIMIT if mutant is Mutant.starts_warm else COLD_LIMIT
    return attrs.evolve(
        world,
        current=0,
        older=0,
        limit=limit,
        watched=False,
        seen=0,
    )
