"""Specification of admission: an endpoint is never sent too many requests.

The capacity of an engine is small while the engine is cold. An engine becomes
cold without warning. It may restart, which breaks its connections. Or its
cache may be emptied, which the agent detects by the slow first part of an
answer to a request sent afterwards. The agent counts the requests it has in
flight. When the agent itself restarts, its connections close.
"""

import enum

import attrs
import minicheck

COLD_LIMIT = 1
FULL_LIMIT = 3
WARM_ANSWERS = 2


class Mutant(enum.StrEnum):
    """Faults in the admission; the checker must find a violation for each.

    :ivar none: No fault.
    :ivar starts_warm: The agent starts with the full limit.
    :ivar ignores_broken: The agent keeps its limit when connections break.
    :ivar ignores_idle: The agent keeps its limit without an open
        connection.
    :ivar counts_old_answers: Answers to requests of earlier generations
        raise the limit.
    """

    none = 'none'
    starts_warm = 'starts_warm'
    ignores_broken = 'ignores_broken'
    ignores_idle = 'ignores_idle'
    counts_old_answers = 'counts_old_answers'


@attrs.define(frozen=True, cache_hash=True)
class World:
    """State of one engine and its agent.

    The agent starts a new generation whenever it resets its limit to
    ``COLD_LIMIT``.

    :ivar warm: Whether the engine can serve ``FULL_LIMIT`` requests.
    :ivar answers_since_cold: Complete answers sent by the engine since it
        became cold, counted up to ``WARM_ANSWERS``.
    :ivar current: Requests in flight that were sent in this generation.
    :ivar older: Requests in flight that were sent in earlier generations.
    :ivar limit: Maximum number of requests that the agent has in flight.
    :ivar watch_open: Whether the agent has an open connection, besides those of
        requests, that a restart of the engine closes.
    :ivar seen: Complete answers received in this generation, counted up to
        ``WARM_ANSWERS``.
    :ivar exceeded: Whether a request was sent that exceeded the engine's
        capacity.
    """

    warm: bool = False
    answers_since_cold: int = 0
    current: int = 0
    older: int = 0
    limit: int = COLD_LIMIT
    watch_open: bool = False
    seen: int = 0
    exceeded: bool = False


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the model of the admission.

    :param mutant: The fault to build in.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        without_watch = attrs.evolve(world, watch_open=False)
        steps = [
            ('send', _send(world)),
            ('engine restarts', _restart_engine(world, mutant)),
            ('agent restarts', _restart_agent(world, mutant)),
            ('limit reset', _reset_limit(world)),
            ('watch opened', attrs.evolve(world, watch_open=True)),
            ('watch closed', _reset_if_unconnected(without_watch, mutant)),
        ]
        if world.current:
            steps.append(('answer', _complete_request(world, mutant)))
            ended = attrs.evolve(world, current=world.current - 1)
            steps.append(
                ('request abandoned', _reset_if_unconnected(ended, mutant))
            )
        if world.older:
            ended = attrs.evolve(world, older=world.older - 1)
            steps.append(('old answer', _end_older_request(ended, mutant)))
        return [(name, (after,)) for name, after in steps if after != world]

    start = _restart_agent(World(), mutant)
    return minicheck.Protocol(
        name='admission',
        candidate=False,
        fields=('world',),
        initial=(start,),
        transitions=transitions,
        invariants={'bearable': lambda state: not state['world'].exceeded},
    )


def _send(world: World) -> World:
    """Send a request unless the agent's limit is reached."""
    in_flight = world.current + world.older
    if in_flight >= world.limit:
        return world
    capacity = FULL_LIMIT if world.warm else COLD_LIMIT
    exceeded = in_flight + 1 > capacity
    return attrs.evolve(world, current=world.current + 1, exceeded=exceeded)


def _complete_request(world: World, mutant: Mutant) -> World:
    """Complete a request, which may warm the engine and raise the limit."""
    seen = min(world.seen + 1, WARM_ANSWERS)
    limit = FULL_LIMIT if seen == WARM_ANSWERS else world.limit
    completed = attrs.evolve(
        _count_engine_answer(world),
        current=world.current - 1,
        seen=seen,
        limit=limit,
    )
    return _reset_if_unconnected(completed, mutant)


def _end_older_request(world: World, mutant: Mutant) -> World:
    """End a request of an earlier generation.

    Its answer doesn't show that the engine is warm now, so only the mutant
    ``counts_old_answers`` counts it.
    """
    if mutant is Mutant.counts_old_answers:
        seen = min(world.seen + 1, WARM_ANSWERS)
        limit = FULL_LIMIT if seen == WARM_ANSWERS else world.limit
        world = attrs.evolve(world, seen=seen, limit=limit)
    return _reset_if_unconnected(world, mutant)


def _count_engine_answer(world: World) -> World:
    """Count an answer of the engine, which is warm after enough of them."""
    count = min(world.answers_since_cold + 1, WARM_ANSWERS)
    return attrs.evolve(
        world, answers_since_cold=count, warm=count == WARM_ANSWERS
    )


def _reset_if_unconnected(world: World, mutant: Mutant) -> World:
    """Reset the limit if the agent has no open connection to the engine.

    Without one, the agent would not detect a restart of the engine.
    """
    connected = world.watch_open or world.current + world.older
    if connected or mutant is Mutant.ignores_idle:
        return world
    return _reset_limit(world)


def _reset_limit(world: World) -> World:
    """Start a new generation of the agent with the limit of a cold engine."""
    return attrs.evolve(
        world,
        current=0,
        older=world.current + world.older,
        limit=COLD_LIMIT,
        seen=0,
    )


def _restart_engine(world: World, mutant: Mutant) -> World:
    """Restart the engine, which breaks all connections to it.

    The agent resets its limit if it had a connection; otherwise it doesn't
    detect the restart.
    """
    cold = attrs.evolve(world, warm=False, answers_since_cold=0)
    connected = world.watch_open or world.current + world.older
    if connected and mutant is not Mutant.ignores_broken:
        cold = _reset_limit(cold)
    return attrs.evolve(cold, current=0, older=0, watch_open=False)


def _restart_agent(world: World, mutant: Mutant) -> World:
    """Restart the agent, which closes all its connections to the engine."""
    limit = FULL_LIMIT if mutant is Mutant.starts_warm else COLD_LIMIT
    return attrs.evolve(
        world,
        current=0,
        older=0,
        limit=limit,
        watch_open=False,
        seen=0,
    )
