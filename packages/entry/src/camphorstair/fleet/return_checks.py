"""Finds out what the store had lost when this entry started.

A store may come back from an older copy of itself. Entries that knew its content
before defer what the copy shows until the owners of the keys have written them
again. An entry that starts afterwards can't tell what the copy lacks. It asks
those that can, and serves nothing until one has replied or the owners have had
the time to write.
"""

import logging
import math

import attrs

from camphorstair.fleet import state
from camphorstair_core.fleet import store_copy
from camphorstair_fleet import mirroring, settled_eras, unsettled_keys
from camphorstair_runtime import clocks

# Entries that are asked at the same time.
MAX_PEERS = 3

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class ReturnCheck:
    """Decides when an entry that has started knows enough to serve.

    :ivar entry: The entry's state.
    :ivar mirror: The entry's mirror of the store.
    :ivar era: The era that was read last; -1 before the first.
    :ivar settled_s: From when on the content counts as current though no other
        entry has told what the store has lost; monotonic clock.
    """

    entry: state.FleetEntry
    mirror: mirroring.Mirror
    era: int = -1
    settled_s: float = math.inf

    async def update(self) -> None:
        """Check after a call to the store whether the entry is informed."""
        if self.entry.informed or not self.mirror.listed():
            return
        self.entry.informed = (
            settled_eras.is_settled(self.mirror.known)
            or self._has_waited()
            or await self._ask()
        )

    def _has_waited(self) -> bool:
        """Return whether all owners have had the time to write their keys."""
        now_s = clocks.monotonic_s()
        if self.era != self.mirror.known.rows_era:
            self.era = self.mirror.known.rows_era
            self.settled_s = now_s + store_copy.RESTORED_LIMIT_S
        if self.mirror.failed:
            # Owners may not reach the store, either.
            self.settled_s = max(
                self.settled_s, now_s + store_copy.RETURN_LIMIT_S
            )
        if now_s < self.settled_s:
            return False
        _LOG.warning(
            'no entry tells what the store has lost',
            extra={'era': self.era, 'waited_s': store_copy.RESTORED_LIMIT_S},
        )
        return True

    async def _ask(self) -> bool:
        """Ask other entries; return whether one of them knows.

        Each time others are asked, as the store may name some that have gone.
        """
        own = self.entry.settings.name
        others = [
            member.internal_address
            for member in self.entry.members.present.values()
            if member.name != own
        ]
        if not others:
            return False
        asked = self.entry.generator.sample(others, min(len(others), MAX_PEERS))
        keys = await unsettled_keys.ask(self.era, asked)
        if keys is None:
            return False
        await self.mirror.take_over(keys)
        return True
