"""Registers this entry as a member: a key in the store under a lease."""

import logging

import attrs
import curio
import msgspec

from camphorstair.fleet import state
from camphorstair_fleet import keys
from camphorstair_platform import store, store_errors
from camphorstair_runtime import clocks

# Time to live of the lease. A renewal that takes longer may arrive after the
# lease has ended.
TTL_S = 2.0
RENEW_INTERVAL_S = 0.6
# Shortest outage of the store in which the lease of a live entry can end: the
# last renewal before it may have been missed.
LAPSE_S = TTL_S - 2 * RENEW_INTERVAL_S
# Interval between checks whether the entry is ready.
READY_POLL_INTERVAL_S = 0.02
# Longest wait for the store to remove the key.
LEAVE_LIMIT_S = 1.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class EntryMembership:
    """The membership of this entry.

    :ivar entry: The entry's state.
    :ivar client: Client of the store.
    :ivar lease: Identifier of the key's lease; 0 while there is none.
    :ivar era: Era of the store in which the lease was granted.
    """

    entry: state.FleetEntry
    client: store.StoreClient
    lease: int = 0
    era: int = 0

    async def run(self) -> None:
        """Join once the entry is ready and renew the lease until it leaves.

        Runs until cancelled.
        """
        while not self.entry.ready():
            await curio.sleep(READY_POLL_INTERVAL_S)
        while not self.entry.leaving:
            started_s = clocks.monotonic_s()
            try:
                await self._join_or_renew()
            except store_errors.NoLeaseError as ended:
                _LOG.warning('membership has ended: %s', ended)
                self.lease = 0
                continue
            except store_errors.StoreError as error:
                _LOG.warning('membership not renewed: %s', error)
            spent_s = clocks.monotonic_s() - started_s
            await curio.sleep(max(0.1, RENEW_INTERVAL_S - spent_s))
        # This task must not end: its end would cancel the other tasks of the
        # entry, which run until the last answer is sent.
        await curio.Event().wait()

    async def leave(self) -> None:
        """Remove this entry's key from the store, and so from the directory.

        If the store does not answer in time, the key ends with its lease.
        """
        name = self.entry.settings.name
        try:
            async with curio.timeout_after(LEAVE_LIMIT_S):
                key = keys.member(name)
                await self.client.transact((), (), (key,))
        except (
            store_errors.StoreError,
            curio.TaskTimeout,
        ) as error:
            _LOG.warning(
                'membership not removed, it ends with its lease: %r', error
            )

    async def _join_or_renew(self) -> None:
        """Renew the lease, or write the key under a new one.

        :raises store_errors.NoLeaseError: if the lease has ended.
        :raises store_errors.StoreError: if the store does not carry it out.
        """
        if self.lease:
            await self.client.renew(self.lease)
            self._check_era()
            return
        lease = await self.client.grant(TTL_S)
        era = self.client.era
        member = self.entry.own_member()
        content = msgspec.json.encode(member)
        put = store.Put(keys.member(member.name), content, lease)
        await self.client.transact((), (put,))
        self.lease = lease
        self.era = era
        _LOG.info('joined', extra={'lease': lease, 'era': era})

    def _check_era(self) -> None:
        """Check that the store still knows the lease as this entry's.

        :raises store_errors.NoLeaseError: if the store has come back from a copy. The
            lease is lost then, and its identifier may be another's.
        """
        if self.client.era != self.era:
            raise store_errors.NoLeaseError(
                f'lease of era {self.era} in era {self.client.era}',
                possibly_applied=False,
                answered=True,
            )
