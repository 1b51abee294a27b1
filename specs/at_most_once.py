"""Specification: a request with an idempotency key runs at most once.

One slot of keys, one key and two agents. The request reaches any agent at any
time and any number of times, so messages are late, lost and doubled, and the
caller repeats through other entries. Agents lose their memory, are paused
(they take no step while time goes on), hand the slot over or are replaced
without notice; answers of the platform are lost after the write or before it.
Time is counted in leases; see ``camphorstair_core.ownership``.
"""

import enum
from collections import abc

import attrs
import minicheck

AGENTS = (0, 1)
NOBODY = -1
LAST_GENERATION = 3


class Mutant(enum.StrEnum):
    """Ways to break the protocol; the checker must find each."""

    none = 'none'
    no_epoch_check = 'no_epoch_check'
    no_lease_check = 'no_lease_check'
    no_wait = 'no_wait'
    no_memory_handed_over = 'no_memory_handed_over'
    serves_after_release = 'serves_after_release'


@attrs.define(frozen=True, cache_hash=True)
class Slot:
    """The slot in the platform.

    :ivar alive: Whether the owner still has the epoch it claimed with.
    :ivar before: Whether the key was made before the keys were all known.
    """

    owner: int = NOBODY
    generation: int = 0
    alive: bool = False
    complete: bool = True
    before: bool = False
    waits: bool = False
    seen: bool = False


@attrs.define(frozen=True, cache_hash=True)
class Agent:
    """One agent.

    :ivar generation: The generation of the slot that it serves; 0 for none.
    :ivar knows: Whether its memory, or one handed over, has the key.
    :ivar lease: Leases until its last read is too old.
    :ivar wait: Leases until it may serve.
    """

    generation: int = 0
    complete: bool = True
    before: bool = False
    knows: bool = False
    lease: int = 0
    wait: int = 0
    released: int = 0


@attrs.define(frozen=True, cache_hash=True)
class World:
    """All of the state."""

    made: bool = False
    slot: Slot = attrs.field(factory=Slot)
    agents: tuple[Agent, Agent] = attrs.field(
        factory=lambda: (Agent(), Agent()),
    )
    runs: int = 0

    def with_agent(self, number: int, agent: Agent) -> 'World':
        """Return the state with another state of one agent."""
        changed = list(self.agents)
        changed[number] = agent
        return attrs.evolve(self, agents=(changed[0], changed[1]))


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the specification.

    :param mutant: What is left out of the protocol.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        steps = [
            ('make', attrs.evolve(world, made=True)),
            ('time', _pass_time(world)),
        ]
        for number in AGENTS:
            steps.append((f'crash {number}', _crash(world, number)))
            if world.made:
                served = _request(world, number, mutant)
                steps.append((f'request {number}', served))
            steps.extend(_synchronise(world, number, mutant))
        return [(name, (after,)) for name, after in steps if after != world]

    return minicheck.Protocol(
        name='at_most_once',
        candidate=False,
        fields=('world',),
        initial=(World(),),
        transitions=transitions,
        invariants={
            'at_most_once': lambda state: state['world'].runs <= 1,
        },
    )


def _pass_time(world: World) -> World:
    for number in AGENTS:
        agent = world.agents[number]
        before = agent.before
        if agent.wait:
            before = world.made
        passed = attrs.evolve(
            agent,
            lease=max(0, agent.lease - 1),
            wait=max(0, agent.wait - 1),
            before=before,
        )
        world = world.with_agent(number, passed)
    return world


def _crash(world: World, number: int) -> World:
    slot = world.slot
    if slot.owner == number:
        slot = attrs.evolve(slot, alive=False)
    return attrs.evolve(world.with_agent(number, Agent()), slot=slot)


def _request(world: World, number: int, mutant: Mutant) -> World:
    agent = world.agents[number]
    in_lease = agent.lease > 0 or mutant is Mutant.no_lease_check
    kept = agent.generation > agent.released
    if mutant is Mutant.serves_after_release:
        kept = agent.generation > 0
    if agent.knows or agent.wait or not (in_lease and kept):
        return world
    first = agent.complete or not agent.before
    if not (first or mutant is Mutant.no_epoch_check):
        return world
    ran = world.with_agent(number, attrs.evolve(agent, knows=True))
    return attrs.evolve(ran, runs=world.runs + 1)


def _synchronise(
    world: World,
    number: int,
    mutant: Mutant,
) -> abc.Iterator[tuple[str, World]]:
    """Read the slot and write it, with every outcome of the write."""
    world = _observe(world, number)
    for preferred in (True, False):
        for other_listed in (True, False):
            planned = _plan(world, number, preferred, other_listed, mutant)
            name = f'{number} preferred={preferred} listed={other_listed}'
            if planned.slot.generation <= LAST_GENERATION:
                yield f'write {name}', _observe(planned, number)
                yield f'answer lost {name}', planned
            unwritten = attrs.evolve(planned, slot=world.slot)
            yield f'write lost {name}', unwritten


def _observe(world: World, number: int) -> World:
    slot = world.slot
    agent = attrs.evolve(world.agents[number], lease=1)
    if slot.owner != number or not slot.alive:
        agent = attrs.evolve(agent, generation=0)
    elif slot.generation != agent.generation:
        unset = slot.waits or not slot.before
        agent = attrs.evolve(
            agent,
            generation=slot.generation,
            complete=slot.complete,
            before=world.made if unset else slot.before,
            wait=int(slot.waits),
        )
    return world.with_agent(number, agent)


def _plan(
    world: World,
    number: int,
    preferred: bool,
    other_listed: bool,
    mutant: Mutant,
) -> World:
    slot = world.slot
    if slot.owner == number and slot.alive:
        return _keep(world, number, preferred, mutant)
    if slot.owner == number:
        world = attrs.evolve(world, slot=_claim(slot, number, forgotten=True))
        return world if preferred else _release(world, number, mutant)
    if not preferred:
        return world
    if slot.owner == NOBODY:
        agent = world.agents[number]
        agent = attrs.evolve(agent, knows=agent.knows or slot.seen)
        claimed = _claim(slot, number, forgotten=False)
        return attrs.evolve(world.with_agent(number, agent), slot=claimed)
    if other_listed:
        return world
    claimed = _claim(slot, number, forgotten=True)
    waits = mutant is not Mutant.no_wait
    return attrs.evolve(world, slot=attrs.evolve(claimed, waits=waits))


def _keep(
    world: World,
    number: int,
    preferred: bool,
    mutant: Mutant,
) -> World:
    agent = world.agents[number]
    if preferred and agent.generation > agent.released:
        return world
    slot = attrs.evolve(
        world.slot,
        complete=agent.complete,
        before=agent.before,
        waits=agent.wait > 0,
    )
    return _release(attrs.evolve(world, slot=slot), number, mutant)


def _release(world: World, number: int, mutant: Mutant) -> World:
    agent = world.agents[number]
    seen = agent.knows and mutant is not Mutant.no_memory_handed_over
    slot = attrs.evolve(world.slot, owner=NOBODY, alive=False, seen=seen)
    released = attrs.evolve(agent, released=world.slot.generation)
    return attrs.evolve(world.with_agent(number, released), slot=slot)


def _claim(slot: Slot, number: int, *, forgotten: bool) -> Slot:
    claimed = attrs.evolve(
        slot,
        owner=number,
        generation=slot.generation + 1,
        alive=True,
        seen=False,
    )
    if forgotten:
        return attrs.evolve(claimed, complete=False, before=False)
    return claimed
