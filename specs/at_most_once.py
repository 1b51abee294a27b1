"""Specification: a request with an idempotency key runs at most once.

A slot is a part of the idempotency keys that one agent at a time serves. The
model has one slot, one key and two agents. The request may reach any agent at
any time and any number of times. This covers messages that are delayed, lost
or duplicated, and callers that retry through other entries.

Agents may crash and lose their memory, pause (time passes while they do
nothing), hand the slot over, or be replaced without notice. The platform's
answer to a write may be lost, whether or not the write was done. The unit of
time is the duration of a lease; see ``camphorstair_core.ownership``.
"""

import enum
from collections import abc

import attrs
import minicheck

AGENTS = (0, 1)
NO_OWNER = -1
# Writes beyond this generation are left out, to bound the state space.
LAST_GENERATION = 3


class Mutant(enum.StrEnum):
    """Faults in the protocol; the checker must find a violation for each.

    :ivar none: No fault.
    :ivar no_epoch_check: Agents run a request although they don't know all
        earlier keys, so that it may have run before.
    :ivar no_lease_check: Agents serve the slot after their lease has
        expired.
    :ivar no_wait: An agent that replaces an unlisted owner doesn't wait
        until the lease of that owner has expired.
    :ivar no_memory_handed_over: The slot is released without the key.
    :ivar serves_after_release: Agents serve the slot after they released
        it.
    """

    none = 'none'
    no_epoch_check = 'no_epoch_check'
    no_lease_check = 'no_lease_check'
    no_wait = 'no_wait'
    no_memory_handed_over = 'no_memory_handed_over'
    serves_after_release = 'serves_after_release'


@attrs.define(frozen=True, cache_hash=True)
class Slot:
    """The slot as stored in the platform.

    :ivar owner: Number of the owning agent, or -1 if the slot is free.
    :ivar generation: Raised by each claim.
    :ivar epoch_current: Whether the owner still has the epoch under which it
        claimed the slot, that is, has not restarted since.
    :ivar complete: Whether the owner knows all keys of the slot, including
        those created before it became ready.
    :ivar before: Whether the key was created before the time from which all
        keys of the slot are known.
    :ivar waits: Whether the owner must wait until the lease of the previous
        owner has expired.
    :ivar seen: Whether the slot was released together with the key.
    """

    owner: int = NO_OWNER
    generation: int = 0
    epoch_current: bool = False
    complete: bool = True
    before: bool = False
    waits: bool = False
    seen: bool = False


@attrs.define(frozen=True, cache_hash=True)
class Agent:
    """State of one agent.

    :ivar generation: Generation of the slot that the agent owns; 0 for none.
    :ivar complete: As in :class:`Slot`, at the agent's last read.
    :ivar before: As in :class:`Slot`; for an agent that has to wait, all keys
        are known from the end of the wait.
    :ivar has_key: Whether the agent has the key, from a request that it ran or
        from the previous owner.
    :ivar lease: Time until the agent's last read of the slot is too old.
    :ivar wait_left: Time until the agent may serve the slot.
    :ivar released_generation: Generation of the slot that the agent
        released last.
    """

    generation: int = 0
    complete: bool = True
    before: bool = False
    has_key: bool = False
    lease: int = 0
    wait_left: int = 0
    released_generation: int = 0


@attrs.define(frozen=True, cache_hash=True)
class World:
    """State of the whole system.

    :ivar key_created: Whether the caller has created the key.
    :ivar slot: The slot as stored in the platform.
    :ivar agents: The agents, in the order of their numbers.
    :ivar runs: How often the request ran.
    """

    key_created: bool = False
    slot: Slot = attrs.field(factory=Slot)
    agents: tuple[Agent, Agent] = attrs.field(
        factory=lambda: (Agent(), Agent()),
    )
    runs: int = 0

    def with_agent(self, number: int, agent: Agent) -> 'World':
        """Return the state after the state of one agent was replaced."""
        changed = list(self.agents)
        changed[number] = agent
        return attrs.evolve(self, agents=(changed[0], changed[1]))


Step = tuple[str, tuple[World]]


def build(mutant: Mutant = Mutant.none) -> minicheck.Protocol:
    """Return the model of the protocol.

    :param mutant: The fault to build in.
    """

    def transitions(state: tuple[World]) -> list[Step]:
        world = state[0]
        steps = [
            ('make', attrs.evolve(world, key_created=True)),
            ('time', _advance_time(world)),
        ]
        for number in AGENTS:
            steps.append((f'crash {number}', _crash(world, number)))
            if world.key_created:
                handled = _deliver_request(world, number, mutant)
                steps.append((f'request {number}', handled))
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


def _advance_time(world: World) -> World:
    """Advance the time by the duration of one lease."""
    for number in AGENTS:
        agent = world.agents[number]
        before = agent.before
        if agent.wait_left:
            before = world.key_created
        advanced = attrs.evolve(
            agent,
            lease=max(0, agent.lease - 1),
            wait_left=max(0, agent.wait_left - 1),
            before=before,
        )
        world = world.with_agent(number, advanced)
    return world


def _crash(world: World, number: int) -> World:
    """Restart an agent, which loses its memory and gets a new epoch."""
    slot = world.slot
    if slot.owner == number:
        slot = attrs.evolve(slot, epoch_current=False)
    return attrs.evolve(world.with_agent(number, Agent()), slot=slot)


def _deliver_request(world: World, number: int, mutant: Mutant) -> World:
    """Deliver the request to an agent, which runs it if that is allowed.

    The agent runs the request only while it holds the slot, and only if the
    key is certainly new.
    """
    agent = world.agents[number]
    in_lease = agent.lease > 0 or mutant is Mutant.no_lease_check
    is_owner = agent.generation > agent.released_generation
    if mutant is Mutant.serves_after_release:
        is_owner = agent.generation > 0
    if agent.has_key or agent.wait_left or not (in_lease and is_owner):
        return world
    first = agent.complete or not agent.before
    if not (first or mutant is Mutant.no_epoch_check):
        return world
    ran = world.with_agent(number, attrs.evolve(agent, has_key=True))
    return attrs.evolve(ran, runs=world.runs + 1)


def _synchronise(
    world: World,
    number: int,
    mutant: Mutant,
) -> abc.Iterator[tuple[str, World]]:
    """Yield the states after an agent reads the slot and then writes it.

    There is one state for each plan and each outcome of the write.
    """
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
    """Update an agent with the slot as stored, which renews its lease."""
    slot = world.slot
    agent = attrs.evolve(world.agents[number], lease=1)
    if slot.owner != number or not slot.epoch_current:
        agent = attrs.evolve(agent, generation=0)
    elif slot.generation != agent.generation:
        ready_time_unset = slot.waits or not slot.before
        agent = attrs.evolve(
            agent,
            generation=slot.generation,
            complete=slot.complete,
            before=world.key_created if ready_time_unset else slot.before,
            wait_left=int(slot.waits),
        )
    return world.with_agent(number, agent)


def _plan(
    world: World,
    number: int,
    preferred: bool,
    other_listed: bool,
    mutant: Mutant,
) -> World:
    """Return the state with the slot as an agent is going to write it.

    :param world: The state after the agent read the slot.
    :param number: Number of the agent.
    :param preferred: Whether the agent is the preferred owner.
    :param other_listed: Whether the other agent is in the VM list.
    :param mutant: The fault to build in.
    """
    slot = world.slot
    if slot.owner == number and slot.epoch_current:
        return _plan_owned_slot(world, number, preferred, mutant)
    if slot.owner == number:
        world = attrs.evolve(world, slot=_claim(slot, number, keys_lost=True))
        return world if preferred else _release(world, number, mutant)
    if not preferred:
        return world
    if slot.owner == NO_OWNER:
        agent = world.agents[number]
        agent = attrs.evolve(agent, has_key=agent.has_key or slot.seen)
        claimed = _claim(slot, number, keys_lost=False)
        return attrs.evolve(world.with_agent(number, agent), slot=claimed)
    if other_listed:
        return world
    claimed = _claim(slot, number, keys_lost=True)
    waits = mutant is not Mutant.no_wait
    return attrs.evolve(world, slot=attrs.evolve(claimed, waits=waits))


def _plan_owned_slot(
    world: World,
    number: int,
    preferred: bool,
    mutant: Mutant,
) -> World:
    """Retain an owned slot, or release it for the preferred owner to claim."""
    agent = world.agents[number]
    if preferred and agent.generation > agent.released_generation:
        return world
    slot = attrs.evolve(
        world.slot,
        complete=agent.complete,
        before=agent.before,
        waits=agent.wait_left > 0,
    )
    return _release(attrs.evolve(world, slot=slot), number, mutant)


def _release(world: World, number: int, mutant: Mutant) -> World:
    """Release the slot and hand over the key, if the agent has it."""
    agent = world.agents[number]
    seen = agent.has_key and mutant is not Mutant.no_memory_handed_over
    slot = attrs.evolve(
        world.slot, owner=NO_OWNER, epoch_current=False, seen=seen
    )
    agent = attrs.evolve(agent, released_generation=world.slot.generation)
    return attrs.evolve(world.with_agent(number, agent), slot=slot)


def _claim(slot: Slot, number: int, *, keys_lost: bool) -> Slot:
    """Return the slot after an agent has claimed it.

    :param slot: The slot as stored.
    :param number: Number of the agent.
    :param keys_lost: Whether the keys of the previous owner are lost.
    """
    claimed = attrs.evolve(
        slot,
        owner=number,
        generation=slot.generation + 1,
        epoch_current=True,
        seen=False,
    )
    if keys_lost:
        return attrs.evolve(claimed, complete=False, before=False)
    return claimed
