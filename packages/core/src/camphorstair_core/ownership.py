"""Assigns the slots of a service's idempotency keys to agents.

The digest of a key determines its slot, one of ``keys.SLOTS``.

The slot map of a service is stored in the platform and changed only by
compare-and-swap. An agent serves a slot while the map names it as the owner
with its current epoch, and while its last read of the map is younger than the
lease. A new owner waits until the lease of the previous one has expired, so
two agents never serve the same slot at the same time.
"""

from collections import abc

import attrs

from camphorstair_core import keys

LEASE_S = 600.0
HANDED_OVER_LIMIT = 16384


@attrs.define(frozen=True)
class Slot:
    """One slot of the map.

    :ivar owner: Name of the owner's VM; empty if the slot is free.
    :ivar address: Address of the owner.
    :ivar epoch: Identifier of the owner's process, which changes with each
        start; empty if no agent has served the slot yet.
    :ivar generation: Incremented with each new owner or epoch.
    :ivar ready_s: Time since which the owner knows all keys of the slot, in
        seconds since the Unix epoch; 0 if not set yet.
    :ivar complete: Whether the owner also knows all keys before ``ready_s``.
    :ivar waits: Whether the owner must wait until the lease of a previous
        owner has expired.
    :ivar seen: Digests of the keys known when the slot was released, for the
        next owner.
    """

    owner: str
    address: str = ''
    epoch: str = ''
    generation: int = 0
    ready_s: float = 0
    complete: bool = True
    waits: bool = False
    seen: list[str] = attrs.field(factory=list)


@attrs.define(frozen=True)
class SlotMap:
    """All slots of a service.

    :ivar slots: The slots, in the order of their numbers.
    """

    slots: list[Slot]


@attrs.define(frozen=True)
class ClockReading:
    """The current time on the system clock and on the monotonic clock.

    :ivar epoch_s: Seconds since the Unix epoch; this clock may be adjusted.
    :ivar monotonic_s: Seconds on the monotonic clock.
    """

    epoch_s: float
    monotonic_s: float


@attrs.define
class Claims:
    """An agent's view of the slot map and of its own slots.

    :ivar service: The service that the agent serves.
    :ivar name: Name of the agent's VM.
    :ivar address: Address of the agent.
    :ivar epoch: Identifier of the agent's process.
    :ivar slots: The agent's slots by number, as of the last read of the map.
    :ivar owners: The owner of every slot, as of the last read of the map.
    :ivar released: Generation, by slot number, up to which the agent has
        released a slot.
    :ivar handed_over: Keys from previous owners, with the end of their
        lifetime in seconds since the Unix epoch.
    :ivar wait_deadlines_s: By slot number, the time from which the agent may
        serve a slot; monotonic clock.
    :ivar lease_deadline_s: When the lease expires that the last read of the
        map renewed; monotonic clock.
    """

    service: str
    name: str
    address: str
    epoch: str
    slots: dict[int, Slot] = attrs.field(factory=dict)
    owners: list[str] = attrs.field(factory=list)
    released: dict[int, int] = attrs.field(factory=dict)
    handed_over: dict[str, float] = attrs.field(factory=dict)
    wait_deadlines_s: dict[int, float] = attrs.field(factory=dict)
    lease_deadline_s: float = 0


@attrs.define(frozen=True)
class Members:
    """The endpoints of a service as known to one agent.

    :ivar listed: Names of all endpoints in the VM list.
    :ivar available: Names of those that accept new requests.
    """

    listed: frozenset[str]
    available: list[str]


KeysOfSlot = abc.Callable[[int], list[str]]


def servable_slot(claims: Claims, slot: int, now: ClockReading) -> Slot | None:
    """Return a slot if the agent may serve it now, otherwise None.

    :param claims: The agent's slots.
    :param slot: Number of the slot.
    :param now: The current time.
    """
    own_slot = claims.slots.get(slot)
    if own_slot is None or now.monotonic_s >= claims.lease_deadline_s:
        return None
    if own_slot.generation <= claims.released.get(slot, 0):
        return None
    waited = now.monotonic_s >= claims.wait_deadlines_s.get(slot, 0)
    return own_slot if waited else None


def owner_of(claims: Claims, slot: int) -> str:
    """Return the owner of a slot as of the last read of the map.

    :param claims: The agent's slots.
    :param slot: Number of the slot.
    :returns: Name of the owner's VM; empty if the slot is free or the map has
        not been read yet.
    """
    return claims.owners[slot] if claims.owners else ''


def awaits_owner(claims: Claims, slot: int) -> bool:
    """Return whether a slot is waiting for a new owner.

    The slot is free, or it belongs to an earlier process of this agent.
    """
    owner = owner_of(claims, slot)
    if owner == claims.name:
        return slot not in claims.slots
    return not owner


def apply_map(
    claims: Claims,
    slot_map: SlotMap,
    call_start_s: float,
    now: ClockReading,
) -> None:
    """Update the agent's slots from a map that was just read or written.

    Renews the lease, counted from the start of the call to the platform.

    :param claims: The agent's slots, which are updated.
    :param slot_map: The map.
    :param call_start_s: When the call to the platform started; monotonic clock.
    :param now: When the response arrived.
    """
    own_process = (claims.name, claims.epoch)
    claims.owners = [slot.owner for slot in slot_map.slots]
    before = claims.slots
    claims.slots = {}
    for number, slot in enumerate(slot_map.slots):
        if (slot.owner, slot.epoch) == own_process:
            own_slot = before.get(number)
            if own_slot is None or own_slot.generation != slot.generation:
                own_slot = _start_serving(claims, number, slot, now)
            claims.slots[number] = own_slot
    claims.lease_deadline_s = call_start_s + LEASE_S


def _start_serving(
    claims: Claims, number: int, slot: Slot, now: ClockReading
) -> Slot:
    """Return a new slot with its ready time and set its waiting time.

    Both are counted from the response of the platform.
    """
    wait_s = LEASE_S if slot.waits else 0
    claims.wait_deadlines_s[number] = now.monotonic_s + wait_s
    if slot.complete:
        return slot
    if slot.waits or not slot.ready_s:
        return attrs.evolve(slot, ready_s=now.epoch_s + wait_s)
    return slot


def first_map(service: str, members: Members) -> SlotMap:
    """Return the initial map of a service that has none yet."""
    return SlotMap(
        [
            Slot(keys.preferred_owner(service, number, members.available))
            for number in range(keys.SLOTS)
        ],
    )


def plan(
    claims: Claims,
    slot_map: SlotMap,
    members: Members,
    now: ClockReading,
    keys_of_slot: KeysOfSlot,
) -> SlotMap:
    """Return a new map in which the agent acquires and releases slots.

    From this call on, the agent no longer serves the slots to be released, and
    it knows the keys recorded with the slots to be acquired. Both hold whether
    or not the new map can be written.

    :param claims: The agent's slots, which are updated.
    :param slot_map: The map as it was read.
    :param members: The endpoints of the service.
    :param now: The current time.
    :param keys_of_slot: Returns the keys of a slot that the agent knows.
    """
    planned = []
    for number, slot in enumerate(slot_map.slots):
        preferred = keys.preferred_owner(
            claims.service,
            number,
            members.available,
        )
        changed = slot
        if slot.owner == claims.name and slot.epoch:
            changed = _keep_or_release(claims, number, slot, preferred, now)
        elif preferred == claims.name:
            changed = _acquire(claims, slot, members, now)
        if not changed.owner and slot.owner:
            claims.released[number] = slot.generation
            changed = _release_with_keys(changed, keys_of_slot(number), now)
        planned.append(changed)
    return SlotMap(planned)


def _keep_or_release(
    claims: Claims,
    number: int,
    slot: Slot,
    preferred: str,
    now: ClockReading,
) -> Slot:
    """Return the next state of a slot whose owner has the agent's name.

    The slot may belong to an earlier process of the agent.
    """
    if slot.epoch != claims.epoch:
        current = _acquire_without_keys(claims, slot)
        if preferred == claims.name:
            return current
        return attrs.evolve(current, owner='', address='')
    released = slot.generation <= claims.released.get(number, 0)
    if preferred == claims.name and not released:
        return slot
    own_slot = claims.slots.get(number, slot)
    waits = now.monotonic_s < claims.wait_deadlines_s.get(number, 0)
    return attrs.evolve(own_slot, owner='', address='', waits=waits)


def _acquire(
    claims: Claims,
    slot: Slot,
    members: Members,
    now: ClockReading,
) -> Slot:
    """Return the next state of a slot that the agent should own.

    A slot of an agent that is still in the VM list is left unchanged.
    """
    if not slot.epoch:
        return _owned(claims, slot)
    if not slot.owner:
        lifetime_s = keys.LIFETIME_S + 2 * keys.CLOCK_SKEW_S
        deadline_s = now.epoch_s + lifetime_s
        claims.handed_over.update(dict.fromkeys(slot.seen, deadline_s))
        return _owned(claims, slot)
    if slot.owner in members.listed:
        return slot
    return _acquire_without_keys(claims, slot)


def _owned(claims: Claims, slot: Slot) -> Slot:
    return attrs.evolve(
        slot,
        owner=claims.name,
        address=claims.address,
        epoch=claims.epoch,
        generation=slot.generation + 1,
        seen=[],
    )


def _acquire_without_keys(claims: Claims, slot: Slot) -> Slot:
    """Acquire a slot whose keys were lost with the memory of its owner.

    If the owner had the address of this agent, this process has replaced it.
    An owner elsewhere may only be paused, and may serve until its lease
    expires, so the slot has to wait.
    """
    replaced = (slot.owner, slot.address) == (claims.name, claims.address)
    owned = _owned(claims, slot)
    waits = slot.waits or not replaced
    return attrs.evolve(owned, ready_s=0, complete=False, waits=waits)


def _release_with_keys(slot: Slot, seen: list[str], now: ClockReading) -> Slot:
    """Return a released slot with its keys.

    If the keys are more than the slot's share of ``HANDED_OVER_LIMIT``, all of
    them are left out, and the slot is marked as incomplete.
    """
    if len(seen) * keys.SLOTS <= HANDED_OVER_LIMIT:
        return attrs.evolve(slot, seen=seen)
    ready_s = max(slot.ready_s, now.epoch_s)
    return attrs.evolve(slot, seen=[], complete=False, ready_s=ready_s)


def owns_preferred_slots(
    claims: Claims, slot_map: SlotMap, members: Members
) -> bool:
    """Return whether this agent owns all slots that it should own."""
    owners = [slot.owner for slot in slot_map.slots]
    return all(
        owner == claims.name
        for number, owner in enumerate(owners)
        if keys.preferred_owner(claims.service, number, members.available)
        == claims.name
    )
