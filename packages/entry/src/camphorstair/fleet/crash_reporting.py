"""Exchanges reports of crashes with the other entries, through the store.

Each entry writes its reports to a key of its own. All entries read them and
come to the same conclusion about the requests and the parts of prompts that
crash endpoints. An entry that had requests at the endpoint also writes the
conclusion to the store, for entries that start later.
"""

import logging

import attrs
import curio
import msgspec

from camphorstair.fleet import dispatch, quarantining, state
from camphorstair_core.fleet import (
    crash_culprits,
    crash_incidents,
    crash_reports,
    quarantine,
    suspect_kinds,
)
from camphorstair_fleet import keys
from camphorstair_platform import store, store_errors
from camphorstair_runtime import clocks

# Time in which the broken answers of one crash are collected into one report.
GATHER_S = 0.05
# Longest random delay of an entry that only clears suspects: as soon as one
# entry has cleared a part, the others need not.
CLEAR_DELAY_S = 0.1
# Time for the other entries to clear the suspects of a report.
CLEARANCE_S = 0.4
RETRY_INTERVAL_S = 0.5
# Longest random delay before a key that the store has lost is written again,
# so that mostly one entry does so.
RESTORE_DELAY_S = 1.0
_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class CrashReporter:
    """Publishes this entry's reports and draws conclusions from all reports.

    :ivar entry: The entry's state.
    :ivar dispatcher: Serves the queues after a conclusion.
    :ivar client: Client of the store.
    :ivar keeper: Writes the conclusions to the store.
    :ivar last_published: The reports that the store has of this entry.
    :ivar published_era: Era of the store in which they were written.
    :ivar unwritten: Conclusions of this entry that the store does not have.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    client: store.StoreClient
    keeper: quarantining.QuarantineKeeper
    last_published: tuple[crash_reports.CrashReport, ...] = ()
    published_era: int = 0
    unwritten: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Handle news of crashes until cancelled."""
        while True:
            await self.entry.crashes.news.wait()
            self.entry.crashes.news.clear()
            await curio.sleep(GATHER_S)
            published = await self._publish_reports()
            await curio.sleep(CLEARANCE_S)
            await self._conclude()
            written = await self._write_quarantines()
            ended = await self._end_answered()
            if not (published and written and ended):
                await curio.sleep(RETRY_INTERVAL_S)
                await self.entry.crashes.news.set()

    async def _publish_reports(self) -> bool:
        """Write this entry's reports to the store if it does not have them.

        :returns: Whether it has them.
        """
        own = self.entry.settings.name
        crashes = self.entry.crashes
        if crash_reports.published(crashes.history, own) == self.last_published:
            delay_s = self.entry.generator.uniform(0, CLEAR_DELAY_S)
            await curio.sleep(delay_s)
        crash_incidents.clear_answered(
            crashes.history, own, crashes.answered, clocks.monotonic_s()
        )
        reports = crash_reports.published(crashes.history, own)
        era = crashes.store_era
        if not reports or (reports, era) == (
            self.last_published,
            self.published_era,
        ):
            return True
        written = await self._write(
            keys.crash_reports(own), reports, crash_reports.REPORT_LIFE_S
        )
        if written:
            self.last_published = reports
            self.published_era = era
        return written

    async def _write_quarantines(self) -> bool:
        """Write the keys of quarantines that the store does not have.

        :returns: Whether it has them.
        """
        for concluded in list(self.unwritten):
            held = self._is_held(concluded)
            if not held or await self.keeper.write(concluded):
                self.unwritten.discard(concluded)
        lost = [
            suspect
            for suspect in self.entry.crashes.quarantined.holds
            if self._is_lost(suspect)
        ]
        if lost:
            delay_s = self.entry.generator.uniform(0, RESTORE_DELAY_S)
            await curio.sleep(delay_s)
        for suspect in lost:
            if self._is_lost(suspect):
                await self.keeper.write(suspect)
        return not self.unwritten and not any(map(self._is_lost, lost))

    def _is_held(self, suspect: str) -> bool:
        return suspect in self.entry.crashes.quarantined.holds

    def _is_lost(self, suspect: str) -> bool:
        """Return whether the store came back without a quarantine's key.

        It may have the key, if it was written shortly before the copy.
        """
        crashes = self.entry.crashes
        hold = crashes.quarantined.holds.get(suspect)
        if hold is None or not hold.revision:
            return False
        return hold.era != crashes.store_era

    async def _end_answered(self) -> bool:
        """End the quarantines whose trials were answered.

        :returns: Whether all have ended.
        """
        answered = self.entry.crashes.answered_trials
        for suspect in list(answered):
            if await self.keeper.remove(suspect):
                answered.discard(suspect)
        return not answered

    async def _conclude(self) -> None:
        """Quarantine what was found to crash endpoints.

        Orders are up to the agents that give them.
        """
        history = self.entry.crashes.history
        found = crash_culprits.culprits(
            history, self.entry.crashes.answered.count
        )
        for culprit in found:
            kind = suspect_kinds.kind_of(culprit.suspect)
            if kind is not suspect_kinds.SuspectKind.order:
                self._quarantine(culprit)
        if found:
            await self.dispatcher.serve_queues()

    def _quarantine(self, culprit: crash_culprits.Culprit) -> None:
        """Quarantine a suspect; have it written if this entry reported it."""
        crashes = self.entry.crashes
        hold = crashes.quarantined.holds.get(culprit.suspect)
        trials = hold.trials if hold else 0
        delay_s = quarantine.trial_delay_s(trials, sole=culprit.sole)
        now_s = clocks.monotonic_s()
        news_s = now_s + delay_s - quarantining.MIN_EXTENSION_S
        if hold and hold.trial_s > news_s:
            return
        crashes.quarantined.add(culprit.suspect, delay_s, now_s)
        _LOG.warning(
            '%s quarantined',
            suspect_kinds.kind_of(culprit.suspect).value,
            extra={
                'part': culprit.suspect,
                'delay_s': delay_s,
                'sole': culprit.sole,
                'trials': trials,
                'crashes': len(crashes.history.crashes),
            },
        )
        if crash_reports.is_reporter(
            crashes.history, self.entry.settings.name, culprit.suspect
        ):
            self.unwritten.add(culprit.suspect)

    async def _write(self, key: str, content: object, ttl_s: float) -> bool:
        """Write a key that the store keeps for some time.

        :returns: Whether the store has written it.
        """
        try:
            lease = await self.client.grant(ttl_s)
            put = store.Put(key, msgspec.json.encode(content), lease)
            await self.client.transact((), (put,))
        except store_errors.StoreError as error:
            _LOG.warning('%s not written: %s', key, error)
            return False
        return True


async def report_suspects(
    entry: state.FleetEntry,
    crash: str,
    suspicion: crash_reports.Suspicion,
) -> None:
    """Report a request that was at an endpoint when it crashed."""
    crash_reports.add_suspects(
        entry.crashes.history,
        entry.settings.name,
        crash,
        suspicion,
        clocks.monotonic_s(),
    )
    await entry.crashes.news.set()
