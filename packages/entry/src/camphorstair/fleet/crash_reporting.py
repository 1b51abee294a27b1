"""Exchanges reports of crashes with the other entries, through the store.

Each entry writes its reports to a key of its own. All entries read them and
come to the same conclusion about the requests and the parts of prompts that
crash endpoints. An entry that had requests at the endpoint also writes the
conclusion to the store, for entries that start later.
"""

import logging
import typing

import attrs
import curio
import msgspec

from camphorstair.fleet import crash_state, dispatch, state
from camphorstair_core.fleet import (
    crash_culprits,
    crash_incidents,
    crash_reports,
    quarantine,
    request_identity,
)
from camphorstair_fleet import keys
from camphorstair_platform import fields, store, store_errors
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
# A conclusion that lengthens a quarantine by less than this is no news, nor is
# the removal of a key that has less time left.
MIN_EXTENSION_S = 5.0

Content = typing.TypeVar('Content')

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class CrashReporter:
    """Publishes this entry's reports and draws conclusions from all reports.

    :ivar entry: The entry's state.
    :ivar dispatcher: Serves the queues after a conclusion.
    :ivar client: Client of the store.
    :ivar last_published: The reports that the store has of this entry.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    client: store.StoreClient
    last_published: tuple[crash_reports.CrashReport, ...] = ()

    async def run(self) -> None:
        """Handle news of crashes until cancelled."""
        while True:
            await self.entry.crashes.news.wait()
            self.entry.crashes.news.clear()
            await curio.sleep(GATHER_S)
            await self._publish_reports()
            await self._restore_lost()
            await curio.sleep(CLEARANCE_S)
            await self._conclude()

    async def _publish_reports(self) -> None:
        """Write this entry's reports to the store if they have changed."""
        own = self.entry.settings.name
        history = self.entry.crashes.history
        if crash_reports.published(history, own) == self.last_published:
            delay_s = self.entry.generator.uniform(0, CLEAR_DELAY_S)
            await curio.sleep(delay_s)
        crash_incidents.clear_answered(
            history, own, self.entry.crashes.answered, clocks.monotonic_s()
        )
        reports = crash_reports.published(history, own)
        if reports == self.last_published:
            return
        if await self._write(
            keys.crash_reports(own), reports, crash_reports.REPORT_LIFE_S
        ):
            self.last_published = reports
            return
        await curio.sleep(RETRY_INTERVAL_S)
        await self.entry.crashes.news.set()

    async def _restore_lost(self) -> None:
        """Write the keys of quarantined parts that the store has lost."""
        crashes = self.entry.crashes
        lost = [
            part
            for part, era in crashes.quarantine_eras.items()
            if era != crashes.store_era
        ]
        if lost:
            delay_s = self.entry.generator.uniform(0, RESTORE_DELAY_S)
            await curio.sleep(delay_s)
        for part in lost:
            if crashes.quarantine_eras.get(part) != crashes.store_era:
                await self._restore(part)

    async def _restore(self, part: str) -> None:
        """Write the key of a quarantined part for as long as it is refused."""
        found = self.entry.crashes.quarantined.find(
            (part,), clocks.monotonic_s()
        )
        if found is None or found.remaining_s < MIN_EXTENSION_S:
            self.entry.crashes.quarantine_eras.pop(part)
        else:
            await self._write(keys.quarantined(part), found, found.remaining_s)

    async def _conclude(self) -> None:
        """Quarantine what was found to crash endpoints."""
        history = self.entry.crashes.history
        found = crash_culprits.culprits(
            history, self.entry.crashes.answered.count
        )
        for culprit in found:
            await self._quarantine(culprit)
        if found:
            await self.dispatcher.serve_queues()

    async def _quarantine(self, culprit: crash_culprits.Culprit) -> None:
        """Quarantine a part; tell the store if this entry reported it."""
        limit_s = (
            quarantine.QUARANTINE_S
            if culprit.sole
            else quarantine.DOUBTFUL_QUARANTINE_S
        )
        deadline_s = clocks.monotonic_s() + limit_s
        known = self.entry.crashes.quarantined
        if known.deadline_s.get(culprit.part, 0) > deadline_s - MIN_EXTENSION_S:
            return
        known.add(culprit.part, deadline_s)
        _LOG.warning(
            '%s quarantined',
            _kind(culprit.part),
            extra={
                'part': culprit.part,
                'limit_s': limit_s,
                'sole': culprit.sole,
                'crashes': len(self.entry.crashes.history.crashes),
            },
        )
        if crash_reports.is_reporter(
            self.entry.crashes.history, self.entry.settings.name, culprit.part
        ):
            row = quarantine.QuarantinedPart(culprit.part, limit_s)
            await self._write(keys.quarantined(culprit.part), row, limit_s)

    async def _write(self, key: str, content: object, ttl_s: float) -> bool:
        """Write a key that the store keeps for some time.

        :returns: Whether the store has written it.
        """
        try:
            lease = await self.client.grant(ttl_s)
            put = store.Put(key, msgspec.json.encode(content), lease)
            await self.client.transact((), (put,))
        except (store_errors.StoreError, fields.FormatError) as error:
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


def apply_reports(
    entry: state.FleetEntry,
    reporter: str,
    content: bytes | None,
) -> None:
    """Apply the reports that another entry has written.

    Reports that are gone from the store count until they expire.

    :param reporter: Name of that entry.
    :param content: The value of its key; None if the key was removed.
    :raises fields.FormatError: if the value can't be decoded.
    """
    if content is None or reporter == entry.settings.name:
        return
    for report in _decode(content, tuple[crash_reports.CrashReport, ...]):
        crash_reports.add_report(
            entry.crashes.history, reporter, report, clocks.monotonic_s()
        )


def apply_quarantine(
    entry: state.FleetEntry,
    part: str,
    content: bytes | None,
    era: int,
) -> None:
    """Apply a change of a quarantined part's key.

    If the store has come back from an older copy and has lost the key, the part
    stays quarantined until its deadline.

    :param content: The value of the key; None if the key was removed.
    :param era: Era of the store.
    :raises fields.FormatError: if the value can't be decoded.
    """
    crashes = entry.crashes
    if content is not None:
        row = _decode(content, quarantine.QuarantinedPart)
        deadline_s = clocks.monotonic_s() + row.remaining_s
        crashes.quarantined.add(part, deadline_s)
        crashes.quarantine_eras[part] = era
    elif crashes.quarantine_eras.get(part) == era:
        _release(crashes, part)
    _LOG.info(
        'quarantine of a %s %s',
        _kind(part),
        'removed' if content is None else 'read',
        extra={'part': part, 'era': era},
    )


def _release(crashes: crash_state.CrashState, part: str) -> None:
    """Release a part whose key was removed.

    If its lease has not ended, an operator has removed it, and the crashes so
    far do not count any more.
    """
    now_s = clocks.monotonic_s()
    found = crashes.quarantined.find((part,), now_s)
    if found is not None and found.remaining_s > MIN_EXTENSION_S:
        crash_reports.release(crashes.history, part, now_s)
    crashes.quarantined.release(part)
    crashes.quarantine_eras.pop(part)


def _kind(suspect: str) -> str:
    """Return what a suspect is, for the log."""
    return 'request' if request_identity.is_identity(suspect) else 'prompt part'


def _decode(content: bytes, kind: type[Content]) -> Content:
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.DecodeError as error:
        raise fields.FormatError(f'invalid {kind}: {error}') from error
