"""Keeps quarantines in the store, so that all entries know them.

Each quarantined request or prompt part has a key. It outlives the entries, and
decides which one may send a trial: the one that replaces the key first.
"""

import logging

import attrs
import msgspec

from camphorstair.fleet import crash_state, state
from camphorstair_core import decoding
from camphorstair_core.fleet import (
    crash_reports,
    quarantine,
    store_copy,
    suspect_kinds,
)
from camphorstair_fleet import keys
from camphorstair_platform import store, store_errors
from camphorstair_runtime import clocks

# A conclusion that puts a trial off by less than this is no news, nor is the
# removal of a key that ends so soon.
MIN_EXTENSION_S = 5.0
# Time after which an entry tries again to claim a trial that it did not get.
CLAIM_INTERVAL_S = 2.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class QuarantineKeeper:
    """Writes this entry's conclusions to the store and claims trials.

    :ivar entry: The entry's state.
    :ivar client: Client of the store.
    """

    entry: state.FleetEntry
    client: store.StoreClient

    async def write(self, suspect: str) -> bool:
        """Write the key of a quarantine as this entry knows it.

        :returns: Whether the store has written it.
        """
        hold = self._known().holds[suspect]
        delay_s = max(0, hold.trial_s - clocks.monotonic_s())
        row = quarantine.QuarantinedSuspect(suspect, delay_s, hold.trials)
        return await self._put(hold, row)

    async def claim_trial(self, suspect: str, request: str) -> bool:
        """Claim the trial of a suspect, if one is due.

        The claim puts the next trial off, so nothing need be done if the
        endpoint crashes, or if this entry ends.

        :param request: Identifier of the request that would be the trial.
        :returns: Whether the request may be sent as the trial.
        """
        hold = self._known().holds.get(suspect)
        now_s = clocks.monotonic_s()
        if hold is None or now_s < hold.trial_s:
            return False
        hold.trial_s = now_s + CLAIM_INTERVAL_S
        trials = hold.trials + 1
        delay_s = quarantine.trial_delay_s(trials)
        row = quarantine.QuarantinedSuspect(suspect, delay_s, trials)
        unchanged = store.Compare(keys.quarantined(suspect), hold.revision)
        claimed = await self._put(hold, row, unchanged)
        if claimed:
            hold.trials = trials
            hold.trial_s = now_s + delay_s
            hold.end_s = now_s + quarantine.QUARANTINE_S
        _LOG.info(
            'trial of a quarantined %s %s',
            suspect_kinds.kind_of(suspect).value,
            'claimed' if claimed else 'not claimed',
            extra={'part': suspect, 'request': request, 'trials': trials},
        )
        return claimed

    async def remove(self, suspect: str) -> bool:
        """Remove the key of a suspect whose trial was answered.

        :returns: Whether the store has removed it.
        """
        key = keys.quarantined(suspect)
        try:
            await self.client.transact((), (), (key,))
        except store_errors.StoreError as error:
            _LOG.warning('%s not removed: %s', key, error)
            return False
        return True

    def _known(self) -> quarantine.Quarantine:
        return self.entry.crashes.quarantined

    async def _put(
        self,
        hold: quarantine.Hold,
        row: quarantine.QuarantinedSuspect,
        *conditions: store.Compare,
    ) -> bool:
        """Write a key and note its revision.

        :returns: Whether the store has written it.
        """
        key = keys.quarantined(row.part)
        try:
            lease = await self.client.grant(quarantine.QUARANTINE_S)
            put = store.Put(key, msgspec.json.encode(row), lease)
            revision = await self.client.transact(conditions, (put,))
        except store_errors.StoreError as error:
            _LOG.warning('%s not written: %s', key, error)
            return False
        hold.revision = revision
        hold.era = self.client.era
        return True


def apply_key(entry: state.FleetEntry, item: store_copy.Item, era: int) -> None:
    """Apply a change of a quarantine's key.

    If the store has come back from an older copy and has lost the key, the
    quarantine stays.

    :param item: The key, with its value if it was not removed.
    :param era: Era of the store.
    :raises decoding.FormatError: if the value can't be decoded.
    """
    crashes = entry.crashes
    suspect = item.key.removeprefix(keys.QUARANTINE_PREFIX)
    hold = crashes.quarantined.holds.get(suspect)
    if item.content is not None:
        row = decoding.from_json(item.content, quarantine.QuarantinedSuspect)
        hold = crashes.quarantined.add(
            suspect, row.remaining_s, clocks.monotonic_s()
        )
        hold.trials = row.trials
        hold.revision = item.revision
        hold.era = era
    elif hold is not None and hold.era == era:
        _release(crashes, suspect, hold)
    _LOG.info(
        'quarantine of a %s %s',
        suspect_kinds.kind_of(suspect).value,
        'removed' if item.content is None else 'read',
        extra={'part': suspect, 'era': era},
    )


def _release(
    crashes: crash_state.CrashState, suspect: str, hold: quarantine.Hold
) -> None:
    """Release a suspect whose key was removed.

    If the key's lease has not ended, an operator or an answered trial has
    removed it, and the crashes so far do not count any more.
    """
    now_s = clocks.monotonic_s()
    if hold.end_s - now_s > MIN_EXTENSION_S:
        crash_reports.release(crashes.history, suspect, now_s)
    crashes.quarantined.release(suspect)
