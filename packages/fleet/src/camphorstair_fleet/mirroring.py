"""Tracks the store's content under some prefixes by watching it."""

import logging
from collections import abc

import attrs
import curio

from camphorstair_core.fleet import content_age
from camphorstair_platform import fields, store
from camphorstair_runtime import clocks

ALL_KEYS = ''
# Longest time that a watch waits for changes.
WATCH_WAIT_S = 1.6
# A store that is about to lose its history may withhold changes from watches
# for this long.
WATCH_DELAY_LIMIT_S = 1.0
# Pause before the next watch after changes. Changes often come in bursts, and
# each answer of a watch costs a call.
BURST_PAUSE_S = 0.05
# Wait of a watch during an outage: short, so that the store answers at once
# when it is back.
SHORT_WAIT_S = 0.001
# Pause after a failed call.
RETRY_INTERVAL_S = 0.25
# Keys whose leases ended during an outage are written again within this time of
# its end.
RETURN_LIMIT_S = 2.5

_LOG = logging.getLogger(__name__)

Apply = abc.Callable[[store.Item], None]
AfterRound = abc.Callable[[], abc.Awaitable[None]]


@attrs.define(eq=False)
class Mirror:
    """Calls a function for each change, in order of revision for each key.

    :ivar client: Client of the store.
    :ivar prefixes: Prefixes of the keys that are tracked.
    :ivar freshness: When the content was last confirmed.
    :ivar apply: Called with each change; raises ``FormatError`` if the value
        can't be decoded.
    :ivar after_round: Called after each call to the store, whether or not it
        succeeded or brought changes.
    :ivar listed: Whether all keys were read at least once.
    :ivar had_changes: Whether the last watch returned changes.
    :ivar revisions: Revision of the last change applied, by key.
    """

    client: store.StoreClient
    prefixes: tuple[str, ...]
    freshness: content_age.ContentAge
    apply: Apply
    after_round: AfterRound
    listed: bool = False
    had_changes: bool = False
    revisions: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Follow the store until cancelled.

        During outages the content that was read stays in use.
        """
        revision: int | None = None
        while True:
            if self.had_changes:
                await curio.sleep(BURST_PAUSE_S)
            sent_s = clocks.boottime_s()
            try:
                revision = await self._follow_once(revision)
            except store.HistoryLostError as history_lost:
                _LOG.warning('reading all keys again: %s', history_lost)
                revision = None
            except (store.StoreError, fields.FormatError) as error:
                self._record_failure(sent_s, error)
                await curio.sleep(RETRY_INTERVAL_S)
            await self.after_round()

    def absent_deadline_s(self) -> float | None:
        """Return until when a removed key may be written again.

        Leases may end during an outage of the store although their owners are
        alive; the owners write their keys again afterwards.

        :returns: A time of the monotonic clock; None if there was no recent
            outage, so that the removal is final.
        """
        since_outage_s = clocks.boottime_s() - self.freshness.outage_end_s
        if (
            self.freshness.outage_start_s is None
            and since_outage_s > RETURN_LIMIT_S
        ):
            return None
        return clocks.monotonic_s() + RETURN_LIMIT_S

    async def _follow_once(self, revision: int | None) -> int:
        """Read all keys, or watch for changes after a revision.

        :param revision: Where to watch from; None to read all keys.
        :returns: The revision from which to watch next.
        :raises store.HistoryLostError: if all keys must be read again.
        :raises store.StoreError: if the store does not answer.
        """
        sent_s = clocks.boottime_s()
        if revision is None:
            revision = await self._read_all()
            self._record_proof(sent_s)
            return revision
        in_outage = self.freshness.outage_start_s is not None
        wait_s = SHORT_WAIT_S if in_outage else WATCH_WAIT_S
        changes = await self.client.watch(ALL_KEYS, revision, wait_s)
        for item in changes.rows:
            self._apply_change(item)
        self.had_changes = bool(changes.rows)
        if not changes.rows and clocks.boottime_s() - sent_s >= wait_s:
            # The store waited without a change, so the content is confirmed up
            # to the end of the wait, less the time it may withhold changes.
            sent_s += max(0, wait_s - WATCH_DELAY_LIMIT_S)
        self._record_proof(sent_s)
        return changes.revision

    async def _read_all(self) -> int:
        """Read all keys and apply the differences, removals included.

        :returns: The revision from which to watch.
        """
        listings = [await self.client.scan(prefix) for prefix in self.prefixes]
        present = set()
        for listing in listings:
            for item in listing.rows:
                present.add(item.key)
                self._apply_change(item)
        absent = [key for key in self.revisions if key not in present]
        for key in absent:
            self._apply_change(store.Item(key, None, self.revisions[key] + 1))
            self.revisions.pop(key)
        self.listed = True
        return min(prefix_listing.revision for prefix_listing in listings)

    def _apply_change(self, item: store.Item) -> None:
        """Apply a change unless it or a later one of the key was applied."""
        if item.revision <= self.revisions.get(item.key, 0):
            return
        if not item.key.startswith(self.prefixes):
            return
        self.revisions[item.key] = item.revision
        try:
            self.apply(item)
        except fields.FormatError as error:
            _LOG.warning('unusable value of %s: %s', item.key, error)

    def _record_proof(self, sent_s: float) -> None:
        """Record that the content was confirmed as of the given time."""
        now_s = clocks.boottime_s()
        if content_age.record_confirmation(self.freshness, sent_s, now_s):
            _LOG.info('store answers again')

    def _record_failure(self, sent_s: float, error: Exception) -> None:
        """Record a failed call; log the first one of an outage."""
        if content_age.record_failure(self.freshness, sent_s):
            _LOG.warning('store does not answer: %s', error)
