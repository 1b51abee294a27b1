"""Named leases in the key-value service, each with a fencing number.

A lease is a key attached to a lease of the platform, which removes the key
when its lease expires. The fencing number is a counter under a second key.
The transaction that writes the lease also increments the counter by
compare-and-swap, so no two holders have the same number and a later holder
has a higher one.
"""

from collections import abc

import attrs
import msgspec

from camphorstair_core import decoding
from camphorstair_runtime import platform, platform_messages

PREFIX = 'camphorstair/leases/'
CLOCK_DRIFT_SHARE = 0.1

Clock = abc.Callable[[], float]


class LeaseError(Exception):
    """The stored value of a lease or of its counter can't be decoded."""


@attrs.define
class Owner:
    """The value of a lease's key.

    :ivar holder: Name of the process that holds the lease.
    :ivar lease_id: Identifier of the platform's lease.
    :ivar fencing: The fencing number.
    """

    holder: str
    lease_id: str
    fencing: int


@attrs.define
class HeldLease:
    """A lease that this process acquired.

    :ivar name: Name of the lease.
    :ivar lease_id: Identifier of the platform's lease.
    :ivar fencing: The fencing number, sent with every order under the lease.
    :ivar deadline_s: Time on the monotonic clock from which the lease no
        longer counts as held.
    """

    name: str
    lease_id: str
    fencing: int
    deadline_s: float


def is_held(lease: HeldLease, now_s: float) -> bool:
    """Return whether a lease is still held.

    Call this before each action that needs the lease.

    :param lease: The lease.
    :param now_s: Current time on the monotonic clock; an earlier reading
        would make an expired lease look held.
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
    """Acquire a lease if no process holds it.

    :param client: The platform.
    :param name: Name of the lease.
    :param holder: Name of this process.
    :param ttl_s: Time to live of the lease.
    :param clock: Returns the time of the monotonic clock.
    :param above: Highest fencing number seen elsewhere; the new number is
        higher, even if the platform was restored from an older copy.
    :returns: The lease, or None if another process holds it.
    :raises platform.PlatformError: if the platform does not answer; a lease
        that was granted expires by itself.
    :raises LeaseError: if the stored fencing counter is not a number.
    """
    key = f'{PREFIX}{name}'
    if (await client.get(key)).mod_revision:
        return None
    counter = await client.get(_counter_key(name))
    fencing = max(_fencing_number(counter), above) + 1
    sent_s = clock()
    granted = await client.grant_lease(ttl_s)
    owner = Owner(holder, granted.lease_id, fencing)
    if not await _write_lease(client, key, owner, counter):
        await client.revoke_lease(granted.lease_id)
        return None
    deadline_s = _deadline_s(sent_s, granted)
    return HeldLease(name, granted.lease_id, fencing, deadline_s)


async def renew(
    client: platform.PlatformClient,
    lease: HeldLease,
    clock: Clock,
) -> bool:
    """Renew a lease and move its deadline.

    :param client: The platform.
    :param lease: The lease.
    :param clock: Returns the time of the monotonic clock.
    :returns: Whether the lease is held; once lost, it is never held again.
    :raises platform.PlatformError: if the platform does not answer; the
        deadline stays as it was.
    """
    sent_s = clock()
    if not is_held(lease, sent_s):
        return False
    renewed = await client.renew_lease(lease.lease_id)
    if renewed.ttl_s <= 0:
        lease.deadline_s = sent_s
        return False
    lease.deadline_s = _deadline_s(sent_s, renewed)
    return is_held(lease, clock())


async def release(
    client: platform.PlatformClient,
    lease: HeldLease,
    clock: Clock,
) -> None:
    """Release a lease.

    The holder must already have ended all work that needs the lease.

    :raises platform.PlatformError: if the platform does not answer; the
        lease expires by itself.
    """
    lease.deadline_s = clock()
    await client.revoke_lease(lease.lease_id)


async def owner(client: platform.PlatformClient, name: str) -> Owner | None:
    """Return the holder of a lease as stored, or None if it is not held.

    :raises platform.PlatformError: if the platform does not answer.
    :raises LeaseError: if the stored value can't be decoded.
    """
    pair = await client.get(f'{PREFIX}{name}')
    if not pair.mod_revision:
        return None
    try:
        return decoding.from_json(pair.value, Owner)
    except decoding.FormatError as fault:
        raise LeaseError(f'lease "{name}": {fault}') from fault


async def current_fencing(client: platform.PlatformClient, name: str) -> int:
    """Return the newest fencing number of a lease.

    :returns: The highest number given to a holder; 0 if there was none.
    :raises platform.PlatformError: if the platform does not answer.
    :raises LeaseError: if the stored counter is not a number.
    """
    return _fencing_number(await client.get(_counter_key(name)))


async def _write_lease(
    client: platform.PlatformClient,
    key: str,
    new_owner: Owner,
    counter: platform.KeyValue,
) -> bool:
    compares = [
        platform_messages.Compare(key, 0),
        platform_messages.Compare(counter.key, counter.mod_revision),
    ]
    value = msgspec.json.encode(new_owner)
    operations: list[platform_messages.Put | platform_messages.Delete] = [
        platform_messages.Put(key, value, new_owner.lease_id),
        platform_messages.Put(counter.key, str(new_owner.fencing).encode()),
    ]
    try:
        return await client.transact(compares, operations)
    except platform.PlatformError:
        # The write may have succeeded although its answer was lost.
        return (await client.get(key)).value == value


def _counter_key(name: str) -> str:
    return f'camphorstair/fencing/{name}'


def _fencing_number(counter: platform.KeyValue) -> int:
    if not counter.mod_revision:
        return 0
    try:
        return decoding.whole_number(counter.value)
    except decoding.FormatError as fault:
        raise LeaseError(f'{counter.key}: {fault}') from fault


def _deadline_s(sent_s: float, platform_lease: platform.Lease) -> float:
    """Return the earliest time at which a lease may expire.

    The platform starts to count when it receives the call. The holder counts
    from before the call was sent and shortens the time by the possible drift
    between the two clocks, so it never relies on an expired lease.
    """
    return sent_s + platform_lease.ttl_s * (1 - CLOCK_DRIFT_SHARE)
