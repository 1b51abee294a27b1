"""Holds a key of the store under a lease, as the only process to do so."""

import attrs

from camphorstair_platform import store
from camphorstair_runtime import clocks

# Less than the lease, as clocks drift and a renewal takes time.
USED_SHARE = 0.8


@attrs.define(eq=False)
class Leadership:
    """The hold on a key.

    :ivar client: The store.
    :ivar key: The key.
    :ivar holder: What is written there.
    :ivar ttl_s: Time to live of the lease.
    :ivar lease: The lease; 0 while there is none.
    :ivar revision: Revision under which the key was written; rises from
        holder to holder.
    :ivar deadline_s: When the hold ends, on the clock that also runs while
        the VM is suspended.
    """

    client: store.StoreClient
    key: str
    holder: bytes
    ttl_s: float
    lease: int = 0
    revision: int = 0
    deadline_s: float = 0

    def held(self) -> bool:
        """Tell whether the key is held now; to be asked before each act."""
        return clocks.suspended_s() < self.deadline_s

    async def acquire(self) -> bool:
        """Take the key if nobody holds it.

        :raises store.StoreError: if that is not known; what was taken lapses
            by itself.
        """
        sent_s = clocks.suspended_s()
        lease = await self.client.grant(self.ttl_s)
        absent = store.Compare(self.key, 0)
        put = store.Put(self.key, self.holder, lease)
        try:
            revision = await self.client.transact((absent,), (put,))
        except store.ConflictError:
            await self.client.end(lease)
            return False
        self.lease = lease
        self.revision = revision
        self._extend(sent_s)
        return True

    async def end_former(self) -> None:
        """End the hold of an earlier process on this VM.

        That process is gone: only one runs here at a time.

        :raises store.StoreError: if that is not known.
        """
        item = await self.client.get(self.key)
        if item is not None and item.content == self.holder:
            await self.client.end(item.lease)

    async def renew(self) -> bool:
        """Renew the lease.

        :returns: Whether the key is still held; if not, it must be acquired
            again.
        :raises store.StoreError: if the store does not answer; the deadline
            stays as it was.
        """
        sent_s = clocks.suspended_s()
        if not self.held():
            return False
        try:
            await self.client.renew(self.lease)
        except store.NoLeaseError:
            self.deadline_s = 0
            return False
        self._extend(sent_s)
        return self.held()

    def _extend(self, sent_s: float) -> None:
        self.deadline_s = sent_s + self.ttl_s * USED_SHARE
