"""Named leases in the platform's service, each with a fencing number.

A lease is a key that ends with the platform's lease. The fencing number is a
counter beside it that rises by compare-and-swap in the same transaction, so
that no two holders have the same number and a later holder has a higher one.
"""

from collections import abc

import attrs
import msgspec

from camphorstair_runtime import platform, platform_messages

PREFIX = 'camphorstair/leases/'
CLOCK_DRIFT_SHARE = 0.1

Clock = abc.Callable[[], float]


class LeaseError(Exception):
    """What the platform holds under a lease's name is unreadable."""


@attrs.define
class Owner:
    """The value of a lease's key.

    :ivar holder: The holder's name.
    :ivar lease_id: The platform's lease.
    :ivar fencing: The fencing number.
    """

    holder: str
    lease_id: str
    fencing: int


@attrs.define
class HeldLease:
    """A lease that this process took.

    :ivar name: Its name.
    :ivar lease_id: The platform's lease.
    :ivar fencing: The fencing number, for every order given under it.
    :ivar deadline_s: On the monotonic clock; not held from then on.
    """

    name: str
    lease_id: str
    fencing: int
    deadline_s: float


def held(lease: HeldLease, now_s: float) -> bool:
    """Tell whether a lease is still held; to be called before each act.

    :param now_s: The monotonic clock now, not at some earlier time.
    """
    return now_s < lease.deadline_s


async def acquire(
    client: platform.PlatformClient,
    name: str,
    holder: str,
    ttl_s: int,
    clock: Clock,
    *,
    above: int = 0,
) -> HeldLease | None:
    """Take a lease if nobody holds it.

    :param client: The platform.
    :param name: The lease's name.
    :param holder: This process's name.
    :param ttl_s: Time to live of the lease.
    :param clock: Monotonic clock.
    :param above: Highest fencing number seen elsewhere; the new one is above
        it, also if the platform came back with an older copy.
    :returns: The lease, or None if another process holds it.
    :raises platform.PlatformError: if that is not known; what was taken
        lapses by itself.
    :raises LeaseError: if the fencing counter is unreadable.
    """
    key = f'{PREFIX}{name}'
    if (await client.get(key)).mod_revision:
        return None
    counter = await client.get(_counter_key(name))
    fencing = max(_number(counter), above) + 1
    asked_s = clock()
    granted = await client.grant_lease(ttl_s)
    owner = Owner(holder, granted.lease_id, fencing)
    if not await _take(client, key, owner, counter):
        await client.revoke_lease(granted.lease_id)
        return None
    deadline_s = _deadline_s(asked_s, granted)
    return HeldLease(name, granted.lease_id, fencing, deadline_s)


async def renew(
    client: platform.PlatformClient,
    lease: HeldLease,
    clock: Clock,
) -> bool:
    """Renew a lease.

    A lost answer leaves the deadline as it was.

    :param clock: Monotonic clock.
    :returns: Whether it is held; if not, it is never held again.
    :raises platform.PlatformError: if the platform does not answer.
    """
    asked_s = clock()
    if not held(lease, asked_s):
        return False
    renewed = await client.renew_lease(lease.lease_id)
    if renewed.ttl_s <= 0:
        lease.deadline_s = asked_s
        return False
    lease.deadline_s = _deadline_s(asked_s, renewed)
    return held(lease, clock())


async def release(
    client: platform.PlatformClient,
    lease: HeldLease,
    clock: Clock,
) -> None:
    """Give a lease up; the holder must have ended what it did under it.

    :raises platform.PlatformError: if the platform does not answer; the
        lease lapses by itself.
    """
    lease.deadline_s = clock()
    await client.revoke_lease(lease.lease_id)


async def owner(client: platform.PlatformClient, name: str) -> Owner | None:
    """Return who holds a lease by the platform's word.

    :raises platform.PlatformError: if the platform does not answer.
    :raises LeaseError: if the value is unreadable.
    """
    found = await client.get(f'{PREFIX}{name}')
    if not found.mod_revision:
        return None
    try:
        return msgspec.json.decode(found.value, type=Owner)
    except msgspec.DecodeError as fault:
        raise LeaseError(f'lease "{name}": {fault}') from fault


async def current_fencing(client: platform.PlatformClient, name: str) -> int:
    """Return the highest fencing number that a lease was ever held with.

    :returns: The number; 0 if the lease was never held.
    :raises platform.PlatformError: if the platform does not answer.
    :raises LeaseError: if the counter is unreadable.
    """
    return _number(await client.get(_counter_key(name)))


async def _take(
    client: platform.PlatformClient,
    key: str,
    taker: Owner,
    counter: platform.KeyValue,
) -> bool:
    compares = [
        platform_messages.Compare(key, 0),
        platform_messages.Compare(counter.key, counter.mod_revision),
    ]
    value = msgspec.json.encode(taker)
    operations: list[platform_messages.Put | platform_messages.Delete] = [
        platform_messages.Put(key, value, taker.lease_id),
        platform_messages.Put(counter.key, str(taker.fencing).encode()),
    ]
    try:
        return await client.transact(compares, operations)
    except platform.PlatformError:
        # The answer may be lost after the write: the key tells.
        return (await client.get(key)).value == value


def _counter_key(name: str) -> str:
    return f'camphorstair/fencing/{name}'


def _number(counter: platform.KeyValue) -> int:
    if not counter.mod_revision:
        return 0
    if not counter.value.isdigit():
        raise LeaseError(f'{counter.key}: "{counter.value!r}" is no number')
    return int(counter.value)


def _deadline_s(asked_s: float, granted: platform.Lease) -> float:
    """Return when a lease ends at the earliest by any clock.

    The platform counts from its receipt of the call, the holder from before
    it was sent, and less by what the two clocks may drift apart.
    """
    return asked_s + granted.ttl_s * (1 - CLOCK_DRIFT_SHARE)
