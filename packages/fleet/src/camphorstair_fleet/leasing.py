"""Leader election: at most one process holds a key, under a lease."""

import attrs

from camphorstair_platform import store, store_errors
from camphorstair_runtime import clocks

# Part of the time to live during which the key counts as held: clocks drift and
# a renewal takes time.
LEASE_USED_SHARE = 0.8


@attrs.define(eq=False)
class Leadership:
    """Exclusive ownership of a key.

    :ivar client: Client of the store.
    :ivar key: The key.
    :ivar holder: The key's value, which identifies the owner.
    :ivar ttl_s: Time to live of the lease.
    :ivar lease: Identifier of the lease; 0 while there is none.
    :ivar era: Era of the store in which the key was written.
    :ivar revision: Store revision at which the key was written; the pair of
        era and revision increases with each owner.
    :ivar deadline_s: Time until which the key counts as held, on the clock
        that also runs while the VM is suspended.
    """

    client: store.StoreClient
    key: str
    holder: bytes
    ttl_s: float
    lease: int = 0
    era: int = 0
    revision: int = 0
    deadline_s: float = 0

    def held(self) -> bool:
        """Return whether the key is held now.

        Must be checked before each action that only the owner may take.
        """
        return (
            clocks.boottime_s() < self.deadline_s
            and self.client.era == self.era
        )

    async def acquire(self) -> bool:
        """Write the key under a new lease if it does not exist.

        :returns: Whether the key is now held.
        :raises store_errors.StoreError: if the outcome is unknown; a key that was
            written ends with its lease.
        """
        sent_s = clocks.boottime_s()
        lease = await self.client.grant(self.ttl_s)
        era = self.client.era
        key_absent = store.Compare(self.key, 0)
        put = store.Put(self.key, self.holder, lease)
        try:
            revision = await self.client.transact((key_absent,), (put,))
        except store_errors.ConflictError:
            await self.client.end(lease)
            return False
        if self.client.era != era:
            return False
        self.lease = lease
        self.era = era
        self.revision = revision
        self._extend(sent_s)
        return True

    async def end_previous_lease(self) -> None:
        """End the lease of an earlier process on this VM, if it has one.

        Only one such process runs on a VM at a time, so the earlier one has
        ended.

        :raises store_errors.StoreError: if the outcome is unknown.
        """
        item = await self.client.get(self.key)
        if item is not None and item.content == self.holder:
            await self.client.end(item.lease)

    async def renew(self) -> bool:
        """Renew the lease.

        :returns: Whether the key is still held; if not, it must be acquired
            again.
        :raises store_errors.StoreError: if the store does not answer; the deadline
            is not changed.
        """
        sent_s = clocks.boottime_s()
        if not self.held():
            return False
        try:
            await self.client.renew(self.lease)
        except store_errors.NoLeaseError:
            self.deadline_s = 0
            return False
        self._extend(sent_s)
        return self.held()

    def _extend(self, sent_s: float) -> None:
        """Count the lease from when its grant or renewal was sent."""
        self.deadline_s = sent_s + self.ttl_s * LEASE_USED_SHARE
