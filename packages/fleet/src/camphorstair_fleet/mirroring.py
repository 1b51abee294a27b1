"""Mirrors a part of the store's content in the process by watching it."""

import logging
from collections import abc

import attrs
import curio

from camphorstair_core.fleet import knowledge
from camphorstair_platform import fields, store
from camphorstair_runtime import clocks

ALL_KEYS = ''
WATCH_WAIT_S = 1.6
# A store that is about to lose its history may keep changes from the watches
# for this long.
MUTE_S = 1.0
# Changes often come together, and each answer of a watch is a call.
SETTLE_S = 0.05
# After an outage the state of the store is asked for without a wait.
SHORT_WAIT_S = 0.001
RETRY_INTERVAL_S = 0.25
# Keys that lapsed during an outage are back within this time of its end.
RETURN_LIMIT_S = 2.5

_LOG = logging.getLogger(__name__)

Apply = abc.Callable[[store.Item], None]
Changed = abc.Callable[[], abc.Awaitable[None]]


@attrs.define(eq=False)
class Mirror:
    """Passes each change of the content on, in order of each key's changes.

    :ivar client: The store.
    :ivar prefixes: What is mirrored.
    :ivar known: How old the knowledge of the content is.
    :ivar apply: Takes over a change; raises ``FormatError`` if it can't.
    :ivar changed: Called after each round.
    :ivar listed: Whether all was read at least once.
    :ivar unsettled: Whether the last answer brought changes.
    :ivar revisions: Last revision that was taken over, by key.
    """

    client: store.StoreClient
    prefixes: tuple[str, ...]
    known: knowledge.Knowledge
    apply: Apply
    changed: Changed
    listed: bool = False
    unsettled: bool = False
    revisions: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Follow for ever; what is known stays in use during outages."""
        revision: int | None = None
        while True:
            if self.unsettled:
                await curio.sleep(SETTLE_S)
            sent_s = clocks.suspended_s()
            try:
                revision = await self._follow_once(revision)
            except store.HistoryLostError as lost:
                _LOG.warning('reading all again: %s', lost)
                revision = None
            except (store.StoreError, fields.FormatError) as error:
                self._note_failure(sent_s, error)
                await curio.sleep(RETRY_INTERVAL_S)
            await self.changed()

    def absent_deadline_s(self) -> float | None:
        """Return until when a key that is gone may come back.

        Keys under leases may lapse while the store is away.

        :returns: A time of the monotonic clock; None if it is gone for good.
        """
        since_s = clocks.suspended_s() - self.known.regained_s
        if self.known.lost_s is None and since_s > RETURN_LIMIT_S:
            return None
        return clocks.monotonic_s() + RETURN_LIMIT_S

    async def _follow_once(self, revision: int | None) -> int:
        sent_s = clocks.suspended_s()
        if revision is None:
            revision = await self._read_all()
            self._note_proof(sent_s)
            return revision
        lost = self.known.lost_s is not None
        wait_s = SHORT_WAIT_S if lost else WATCH_WAIT_S
        changes = await self.client.watch(ALL_KEYS, revision, wait_s)
        for item in changes.rows:
            self._take(item)
        self.unsettled = bool(changes.rows)
        if not changes.rows and clocks.suspended_s() - sent_s >= wait_s:
            # Nothing had changed when the store had waited.
            sent_s += max(0, wait_s - MUTE_S)
        self._note_proof(sent_s)
        return changes.revision

    async def _read_all(self) -> int:
        listings = [await self.client.scan(prefix) for prefix in self.prefixes]
        present = set()
        for listing in listings:
            for item in listing.rows:
                present.add(item.key)
                self._take(item)
        absent = [one for one in self.revisions if one not in present]
        for key in absent:
            self._take(store.Item(key, None, self.revisions[key] + 1))
            self.revisions.pop(key)
        self.listed = True
        return min(one.revision for one in listings)

    def _take(self, item: store.Item) -> None:
        """Take over a change unless a later one was taken over before."""
        if item.revision <= self.revisions.get(item.key, 0):
            return
        if not item.key.startswith(self.prefixes):
            return
        self.revisions[item.key] = item.revision
        try:
            self.apply(item)
        except fields.FormatError as error:
            _LOG.warning('unusable value of %s: %s', item.key, error)

    def _note_proof(self, sent_s: float) -> None:
        now_s = clocks.suspended_s()
        if knowledge.note_proof(self.known, sent_s, now_s):
            _LOG.info('store answers again')

    def _note_failure(self, sent_s: float, error: Exception) -> None:
        if knowledge.note_failure(self.known, sent_s):
            _LOG.warning('store does not answer: %s', error)
