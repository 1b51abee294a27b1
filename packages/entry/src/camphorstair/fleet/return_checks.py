"""Finds out what the store had lost when it came back, or when this entry started.

A store may come back from an older copy of itself. Entries that knew its content
before defer what the copy shows until the owners of the keys have written them
again. An entry that has started since then can't tell what the copy lacks, nor
can one that had not reached the store for long before. These ask entries that
can, and serve nothing until one has replied or the owners have had the time to
write.
"""

import logging
import math

import attrs

from camphorstair.fleet import state
from camphorstair_core.fleet import content_age, store_copy
from camphorstair_fleet import mirroring, settled_eras, unsettled_keys
from camphorstair_platform import configuration
from camphorstair_runtime import clocks

# Entries that are asked at the same time.
MAX_PEERS = 3

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class ReturnCheck:
    """Decides when an entry knows enough to serve.

    :ivar entry: The entry's state.
    :ivar mirror: The entry's mirror of the store.
    :ivar era: The era that was read last; -1 before the first.
    :ivar settled_s: From when on the content counts as current though no other
        entry has told what the store has lost; monotonic clock.
    :ivar confirmed_s: Up to when the content was confirmed at the end of the
        last round; on the clock that also runs while the VM is suspended.
    """

    entry: state.FleetEntry
    mirror: mirroring.Mirror
    era: int = -1
    settled_s: float = math.inf
    confirmed_s: float = content_age.NEVER_S

    async def update(self) -> None:
        """Check after a call to the store whether the entry is informed."""
        if not self.mirror.listed():
            return
        if self.era != self.mirror.known.rows_era:
            await self._note_era()
        if not self.entry.informed:
            self.entry.informed = (
                settled_eras.is_settled(self.mirror.known)
                or self._has_waited()
                or await self._ask()
            )
        self.confirmed_s = self.entry.freshness.confirmed_s

    async def _note_era(self) -> None:
        """Note an era that was not read before."""
        self.era = self.mirror.known.rows_era
        now_s = clocks.monotonic_s()
        self.settled_s = now_s + store_copy.RESTORED_LIMIT_S
        if not self.entry.informed:
            return
        age_s = clocks.boottime_s() - self.confirmed_s
        if age_s < self.entry.key_age_limit_s():
            await self._ask_configuration()
            return
        self.entry.informed = False
        _LOG.warning(
            'the store came back after it was out of reach',
            extra={'era': self.era, 'age_s': round(age_s, 2)},
        )

    def _has_waited(self) -> bool:
        """Return whether all owners have had the time to write their keys."""
        now_s = clocks.monotonic_s()
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
        """Ask other entries; return whether one of them knows."""
        keys = await self._ask_others()
        if keys is None:
            return False
        await self.mirror.take_over(keys)
        return True

    async def _ask_configuration(self) -> None:
        """Ask others for a later configuration that this entry has missed."""
        known = self.mirror.known
        keys = await self._ask_others() or ()
        later = tuple(
            key
            for key in keys
            if key.before.key == configuration.CONFIGURATION_KEY
            and key.before.key not in known.deferred
        )
        await self.mirror.take_over(later)

    async def _ask_others(self) -> unsettled_keys.Keys | None:
        """Return what an informed entry says; None if none is reached.

        Each time others are asked, as the store may name some that have gone.
        """
        own = self.entry.settings.name
        others = [
            member.internal_address
            for member in self.entry.members.present.values()
            if member.name != own
        ]
        if not others:
            return None
        asked = self.entry.generator.sample(others, min(len(others), MAX_PEERS))
        return await unsettled_keys.ask(self.era, asked)
