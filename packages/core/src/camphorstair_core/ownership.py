"""Which agent owns which slot of a service's idempotency keys.

The slot map of a service lies in the platform and changes by compare-and-swap
alone. An agent serves a slot while the map names it with the epoch of its
start, and while its last read of the map is younger than the lease. So a new
owner that waits out the lease never serves beside the old one.
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
    :ivar epoch: Identifier of the owner's start; empty if none served yet.
    :ivar generation: Rises with each new owner or epoch.
    :ivar ready_s: From when on all keys are known; seconds since the epoch.
    :ivar complete: Whether the owner knows the keys before that as well.
    :ivar waits: Whether the owner must wait out the lease of an earlier one.
    :ivar seen: Digests of the keys that a free slot was given up with.
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
    """All slots of a service."""

    slots: list[Slot]


@attrs.define(frozen=True)
class Moment:
    """A time on two clocks.

    :ivar epoch_s: Seconds since the epoch, which may be set.
    :ivar monotonic_s: Seconds of a clock that never goes back.
    """

    epoch_s: float
    monotonic_s: float


@attrs.define
class Claims:
    """What one agent knows of its slots.

    :ivar service: The service behind the agent.
    :ivar name: Name of its VM.
    :ivar address: Its address.
    :ivar epoch: Identifier of its start.
    :ivar slots: The slots that the map gave it when last read.
    :ivar owners: The owner of every slot when last read.
    :ivar released: Generation of each slot that it has given up.
    :ivar handed_over: Keys of earlier owners, with the end of their lifetime.
    :ivar wait_deadlines_s: When waiting slots may be served; monotonic clock.
    :ivar lease_deadline_s: Until when the last read counts; monotonic clock.
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
    """The endpoints of a service as one agent sees them.

    :ivar listed: Names in the VM list.
    :ivar available: Those that take new work.
    """

    listed: frozenset[str]
    available: list[str]


KeysOfSlot = abc.Callable[[int], list[str]]


def held(claims: Claims, slot: int, now: Moment) -> Slot | None:
    """Return a slot if the agent may serve it now.

    :param claims: The agent's claims.
    :param slot: Number of the slot.
    :param now: The time.
    """
    found = claims.slots.get(slot)
    if found is None or now.monotonic_s >= claims.lease_deadline_s:
        return None
    if found.generation <= claims.released.get(slot, 0):
        return None
    waited = now.monotonic_s >= claims.wait_deadlines_s.get(slot, 0)
    return found if waited else None


def owner_of(claims: Claims, slot: int) -> str:
    """Return the owner of a slot when the map was last read."""
    return claims.owners[slot] if claims.owners else ''


def moves(claims: Claims, slot: int) -> bool:
    """Tell whether a slot is about to have a new owner."""
    owner = owner_of(claims, slot)
    if owner == claims.name:
        return slot not in claims.slots
    return not owner


def observe(
    claims: Claims,
    slot_map: SlotMap,
    asked_s: float,
    now: Moment,
) -> None:
    """Take over the map as it was read, or written.

    :param claims: The agent's claims.
    :param slot_map: The map.
    :param asked_s: When the call to the platform began; monotonic clock.
    :param now: When its answer came.
    """
    mine = (claims.name, claims.epoch)
    claims.owners = [slot.owner for slot in slot_map.slots]
    before = claims.slots
    claims.slots = {}
    for number, slot in enumerate(slot_map.slots):
        if (slot.owner, slot.epoch) == mine:
            known = before.get(number)
            if known is None or known.generation != slot.generation:
                known = _receive(claims, number, slot, now)
            claims.slots[number] = known
    claims.lease_deadline_s = asked_s + LEASE_S


def _receive(claims: Claims, number: int, slot: Slot, now: Moment) -> Slot:
    """Set the times of a new slot, which count from the platform's answer."""
    wait_s = LEASE_S if slot.waits else 0
    claims.wait_deadlines_s[number] = now.monotonic_s + wait_s
    if slot.complete:
        return slot
    if slot.waits or not slot.ready_s:
        return attrs.evolve(slot, ready_s=now.epoch_s + wait_s)
    return slot


def first_map(service: str, members: Members) -> SlotMap:
    """Return the map of a service that has none yet."""
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
    now: Moment,
    keys_of_slot: KeysOfSlot,
) -> SlotMap:
    """Return the map as the agent would have it: slots taken and given up.

    Slots to be given up are no longer served from this call on, and keys that
    come with slots to be taken are known from this call on; both hold whether
    or not the write of the new map succeeds.

    :param claims: The agent's claims.
    :param slot_map: The map as it was read.
    :param members: The endpoints of the service.
    :param now: The time.
    :param keys_of_slot: Returns the keys that the agent knows of a slot.
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
            changed = _keep(claims, number, slot, preferred, now)
        elif preferred == claims.name:
            changed = _take(claims, slot, members, now)
        if not changed.owner and slot.owner:
            claims.released[number] = slot.generation
            changed = _hand_over(changed, keys_of_slot(number), now)
        planned.append(changed)
    return SlotMap(planned)


def _keep(
    claims: Claims,
    number: int,
    slot: Slot,
    preferred: str,
    now: Moment,
) -> Slot:
    """Return the next state of a slot that is the agent's by name."""
    if slot.epoch != claims.epoch:
        current = _forgotten(claims, slot)
        if preferred == claims.name:
            return current
        return attrs.evolve(current, owner='', address='')
    released = slot.generation <= claims.released.get(number, 0)
    if preferred == claims.name and not released:
        return slot
    known = claims.slots.get(number, slot)
    waits = now.monotonic_s < claims.wait_deadlines_s.get(number, 0)
    return attrs.evolve(known, owner='', address='', waits=waits)


def _take(
    claims: Claims,
    slot: Slot,
    members: Members,
    now: Moment,
) -> Slot:
    """Return the next state of a slot that should be the agent's."""
    if not slot.epoch:
        return _owned(claims, slot)
    if not slot.owner:
        lifetime_s = keys.LIFETIME_S + 2 * keys.CLOCK_SKEW_S
        deadline_s = now.epoch_s + lifetime_s
        claims.handed_over.update(dict.fromkeys(slot.seen, deadline_s))
        return _owned(claims, slot)
    if slot.owner in members.listed:
        return slot
    return _forgotten(claims, slot)


def _owned(claims: Claims, slot: Slot) -> Slot:
    return attrs.evolve(
        slot,
        owner=claims.name,
        address=claims.address,
        epoch=claims.epoch,
        generation=slot.generation + 1,
        seen=[],
    )


def _forgotten(claims: Claims, slot: Slot) -> Slot:
    """Take a slot whose keys are lost with the memory of its owner.

    A new process at the same address has replaced the old one; an owner
    elsewhere may be paused, and may still serve until its lease ends.
    """
    replaced = (slot.owner, slot.address) == (claims.name, claims.address)
    owned = _owned(claims, slot)
    waits = slot.waits or not replaced
    return attrs.evolve(owned, ready_s=0, complete=False, waits=waits)


def _hand_over(slot: Slot, seen: list[str], now: Moment) -> Slot:
    if len(seen) * keys.SLOTS <= HANDED_OVER_LIMIT:
        return attrs.evolve(slot, seen=seen)
    ready_s = max(slot.ready_s, now.epoch_s)
    return attrs.evolve(slot, seen=[], complete=False, ready_s=ready_s)


def settled(claims: Claims, slot_map: SlotMap, members: Members) -> bool:
    """Tell whether this agent owns all slots that it should own."""
    owners = [slot.owner for slot in slot_map.slots]
    return all(
        owner == claims.name
        for number, owner in enumerate(owners)
        if keys.preferred_owner(claims.service, number, members.available)
        == claims.name
    )
