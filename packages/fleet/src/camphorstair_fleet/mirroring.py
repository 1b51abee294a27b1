"""Keeps a process's copy of the store's content up to date."""

import logging
from collections import abc

import attrs
import curio

from camphorstair_core import decoding
from camphorstair_core.fleet import content_age, store_copy
from camphorstair_fleet import sources
from camphorstair_platform import store_errors
from camphorstair_runtime import clocks, fairness

# Pause before the next watch after changes. Changes often come in bursts, as when
# all endpoints register, and each answer of a watch costs a call.
BURST_PAUSE_S = 0.05
# Pause after a failed call.
RETRY_INTERVAL_S = 0.25

_LOG = logging.getLogger(__name__)

Apply = abc.Callable[[store_copy.Item], None]
AfterRound = abc.Callable[[], abc.Awaitable[None]]
# Returns the source of the next round; receives whether the last call failed.
ChooseSource = abc.Callable[[bool], sources.Source]


@attrs.define(eq=False)
class Mirror:
    """Calls a function for each change, in the order of the store.

    :ivar choose_source: Chooses where the next update comes from.
    :ivar freshness: When the content was last confirmed.
    :ivar apply: Called with each change; raises ``FormatError`` if the value
        can't be decoded.
    :ivar after_round: Called after each call to the store, whether or not it
        succeeded or brought changes.
    :ivar known: The content that was read.
    :ivar had_changes: Whether the last update brought changes.
    :ivar failed: Whether the last call failed.
    :ivar round_events: Set at the end of the current round.
    """

    choose_source: ChooseSource
    freshness: content_age.ContentAge
    apply: Apply
    after_round: AfterRound
    known: store_copy.StoreCopy
    had_changes: bool = False
    failed: bool = False
    round_events: list[curio.Event] = attrs.field(factory=list)

    async def run(self) -> None:
        """Follow the store until cancelled.

        During outages the content that was read stays in use.
        """
        while True:
            if self.had_changes:
                await curio.sleep(BURST_PAUSE_S)
            await self._run_round()
            due = store_copy.due(self.known, clocks.monotonic_s())
            await self._apply_changes(due)
            await self._end_round()
            await self.after_round()

    def listed(self) -> bool:
        """Return whether all keys were read at least once."""
        return self.known.rows_era >= 0

    def absent_deadline_s(self, lapse_s: float) -> float | None:
        """Return until when a key whose removal is applied may be written again.

        :param lapse_s: The shortest outage of the store in which a key of a
            live owner can lapse.
        :returns: A time of the monotonic clock; None if the removal is final.
        """
        now_s = clocks.boottime_s()
        deadline_s = content_age.absence_deadline_s(
            self.freshness, now_s, lapse_s
        )
        if deadline_s is None:
            return None
        return clocks.monotonic_s() + deadline_s - now_s

    async def take_over(
        self, keys: tuple[store_copy.UnsettledKey, ...]
    ) -> None:
        """Let keys count as they do at a process that knew them before."""
        now_s = clocks.monotonic_s()
        taken = store_copy.take_over(self.known, keys, now_s)
        await self._apply_changes(taken)

    async def wait_round(self, limit_s: float) -> None:
        """Wait until the current round ends, but not longer than a limit."""
        event = curio.Event()
        self.round_events.append(event)
        await curio.ignore_after(limit_s, event.wait)

    async def _run_round(self) -> None:
        """Get one update and apply it."""
        sent_s = clocks.boottime_s()
        source = self.choose_source(self.failed)
        known = self.known
        position = sources.Position(
            known.era,
            known.revision,
            in_outage=self.freshness.outage_start_s is not None,
        )
        self.had_changes = False
        try:
            fetched = await source(position)
        except sources.PeerError as peer_error:
            self.failed = True
            _LOG.info('another source is used: %s', peer_error)
        except store_errors.HistoryLostError as history_lost:
            _LOG.warning('reading all keys again: %s', history_lost)
            store_copy.read_again(known)
        except store_errors.StoreError as error:
            self.failed = True
            self._record_failure(sent_s, error)
            await curio.sleep(RETRY_INTERVAL_S)
        else:
            self.failed = False
            await self._take(fetched)

    async def _take(self, fetched: sources.Fetched) -> None:
        known = self.known
        era = known.era
        changes = store_copy.take(known, fetched.update, clocks.monotonic_s())
        if known.era != era:
            _LOG.warning('the store is in era %s after %s', known.era, era)
        await self._apply_changes(changes)
        self.had_changes = bool(changes)
        if fetched.update.era == known.era and known.revision is not None:
            self._record_proof(fetched.confirmed_s)

    async def _end_round(self) -> None:
        events = self.round_events
        self.round_events = []
        for event in events:
            await event.set()

    async def _apply_changes(self, rows: list[store_copy.Item]) -> None:
        """Apply changes; other tasks run in between if there are many."""
        for row in rows:
            self._apply_change(row)
            await fairness.count_event(len(row.content or b''))

    def _apply_change(self, row: store_copy.Item) -> None:
        """Apply a change; one that can't be applied is logged.

        Those after it must be applied nevertheless: the copy counts them as
        known, so no source will bring them again.
        """
        try:
            self.apply(row)
        except decoding.FormatError as error:
            _LOG.warning('unusable value of %s: %s', row.key, error)
            store_copy.drop_value(self.known, row.key)
        except Exception:  # noqa: BLE001, the reason is in the docstring
            _LOG.exception('change of %s not applied', row.key)

    def _record_proof(self, confirmed_s: float) -> None:
        """Record that the content was confirmed as of the given time."""
        now_s = clocks.boottime_s()
        if content_age.record_confirmation(self.freshness, confirmed_s, now_s):
            _LOG.info('store answers again')

    def _record_failure(self, sent_s: float, error: Exception) -> None:
        """Record a failed call; log the first one of an outage."""
        if content_age.record_failure(self.freshness, sent_s):
            _LOG.warning('store does not answer: %s', error)
