"""Notes in the store in which era nothing is unsettled any more.

Entries that start later read the note and need not ask others.
"""

import logging

import attrs
import curio

from camphorstair.fleet import state
from camphorstair_core.fleet import store_copy
from camphorstair_fleet import keys, settled_eras
from camphorstair_platform import store, store_errors

# Pause after a write, in which the note comes back by the watch.
PAUSE_S = 2.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class EraNote:
    """Writes the note once it is due.

    Of all entries, the one whose name comes first writes it.

    :ivar entry: The entry's state.
    :ivar known: The entry's copy of the store.
    :ivar client: Client of the store.
    :ivar due: Set when the note has to be written.
    """

    entry: state.FleetEntry
    known: store_copy.StoreCopy
    client: store.StoreClient
    due: curio.Event = attrs.field(factory=curio.Event)

    async def update(self) -> None:
        """Check after a call to the store whether the note has to be written."""
        if self._is_due():
            await self.due.set()

    async def run(self) -> None:
        """Write the note whenever it is due, until cancelled."""
        while True:
            await self.due.wait()
            self.due.clear()
            if self._is_due():
                await self._write()
            await curio.sleep(PAUSE_S)

    def _is_due(self) -> bool:
        """Return whether the era is settled and this entry is to note it."""
        if not self.entry.informed or self.known.deferred:
            return False
        if settled_eras.is_settled(self.known):
            return False
        own = self.entry.settings.name
        return own == min(self.entry.members.present, default='')

    async def _write(self) -> None:
        """Write the note, unless it was written since it was read."""
        era = self.known.rows_era
        row = self.known.rows.get(keys.SETTLED_ERA)
        unchanged = store.Compare(keys.SETTLED_ERA, row.revision if row else 0)
        note = store.Put(keys.SETTLED_ERA, settled_eras.encode(era))
        try:
            await self.client.transact((unchanged,), (note,))
        except store_errors.StoreError as error:
            _LOG.warning('settled era %s not noted: %s', era, error)
        else:
            _LOG.info('settled era noted', extra={'era': era})
