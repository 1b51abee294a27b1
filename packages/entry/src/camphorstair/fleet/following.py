"""Applies changes in the store to the entry's state.

These are the configuration, the endpoints, the members and the data centres
that are taken out of service.
"""

import logging

import attrs

from camphorstair.fleet import (
    dispatch,
    era_notes,
    joining,
    quarantining,
    return_checks,
    state,
)
from camphorstair_core import decoding, vms
from camphorstair_core.fleet import (
    membership,
    roster,
    store_copy,
    subsetting,
)
from camphorstair_fleet import (
    crash_rows,
    keys,
    member_rows,
    mirroring,
    restored_keys,
    source_choice,
    sources,
)
from camphorstair_platform import configuration, registrations, store
from camphorstair_runtime import clocks

# Prefixes of all keys that an entry reads, for itself and for agents.
PREFIXES = (configuration.PREFIX, registrations.PREFIX, keys.PREFIX)
# A registration lapses after three heartbeats have failed to come, the first of
# which may have been due when an outage began.
LAPSE_HEARTBEATS = 2

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Follower:
    """Keeps the entry's state up to date with the store's content.

    :ivar entry: The entry's state.
    :ivar dispatcher: Serves the queues after each call to the store.
    :ivar mirror: Reads and watches the store, or follows another entry.
    :ivar return_check: Finds out what the store had lost at the start.
    :ivar era_note: Notes in the store that its latest return is settled.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    mirror: mirroring.Mirror = attrs.field(init=False)
    return_check: return_checks.ReturnCheck = attrs.field(init=False)
    era_note: era_notes.EraNote = attrs.field(init=False)
    _crash_changes: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the mirror that passes changes to this object."""
        address = self.entry.settings.store.address
        client = store.StoreClient(address)
        choice = source_choice.SourceChoice(
            sources.store_source(client, PREFIXES), PREFIXES, self._peers
        )
        self.mirror = mirroring.Mirror(
            choice.choose,
            self.entry.freshness,
            self._apply,
            self._finish_round,
            store_copy.StoreCopy(restored_keys.applies_at_once),
        )
        self.return_check = return_checks.ReturnCheck(self.entry, self.mirror)
        self.era_note = era_notes.EraNote(
            self.entry, self.mirror.known, store.StoreClient(address)
        )

    async def run(self) -> None:
        """Follow the store until cancelled."""
        await self.mirror.run()

    def _peers(self) -> list[str]:
        """Return the entries to follow; none if this one reads the store."""
        own = self.entry.own_member()
        readers = subsetting.readers(
            self.entry.members.present.values(),
            own.data_centre,
            self.entry.settings.bounds.apply_s,
        )
        if own in readers:
            return []
        by_name = {reader.name: reader for reader in readers}
        ordered = vms.rendezvous(own.name, list(by_name), len(by_name))
        return [by_name[name].internal_address for name in ordered]

    async def _finish_round(self) -> None:
        await self.return_check.update()
        await self.era_note.update()
        await self._tell_crash_reporter()
        await self.dispatcher.serve_queues()

    async def _tell_crash_reporter(self) -> None:
        """Tell the crash reporter of new reports and of a new era."""
        crashes = self.entry.crashes
        era = self.mirror.known.era
        unchanged = (self._crash_changes, crashes.store_era)
        if unchanged != (crashes.history.changes, era):
            self._crash_changes = crashes.history.changes
            crashes.store_era = era
            await crashes.news.set()

    def _apply(self, item: store_copy.Item) -> None:
        if item.key.startswith(registrations.PREFIX):
            self._apply_endpoint(item)
        elif item.key.startswith(keys.MEMBERS_PREFIX):
            self._apply_member(item)
        elif item.key.startswith(configuration.EVACUATION_PREFIX):
            self._apply_data_centre_out(item)
        elif item.key == configuration.CONFIGURATION_KEY:
            self._apply_configuration(item)
        else:
            self._apply_crash_news(item)

    def _apply_configuration(self, item: store_copy.Item) -> None:
        """Put a newer configuration in force; older versions are ignored."""
        if item.content is None:
            _LOG.error(
                'configuration removed from the store; the last one stays in use'
            )
            return
        decoded = configuration.decode(item.content)
        current = self.entry.configuration
        if current is not None and decoded.version <= current.version:
            return
        self.entry.configuration = decoded
        _LOG.info(
            'configuration in force',
            extra={'version': decoded.version, 'revision': item.revision},
        )

    def _apply_crash_news(self, item: store_copy.Item) -> None:
        """Apply reports of crashes or a change of the quarantined parts."""
        if item.key.startswith(keys.CRASHES_PREFIX):
            crash_rows.apply_reports(
                self.entry.crashes.history, self.entry.settings.name, item
            )
        elif item.key.startswith(keys.QUARANTINE_PREFIX):
            quarantining.apply_key(self.entry, item, self.mirror.known.era)

    def _apply_data_centre_out(self, item: store_copy.Item) -> None:
        """Record that a data centre is taken out of service or put back."""
        data_centre = item.key.removeprefix(configuration.EVACUATION_PREFIX)
        if item.content is None:
            self.entry.endpoints.out.discard(data_centre)
        else:
            self.entry.endpoints.out.add(data_centre)
        _LOG.info(
            'data centre %s',
            'back' if item.content is None else 'out',
            extra={'data_centre': data_centre, 'revision': item.revision},
        )

    def _apply_endpoint(self, item: store_copy.Item) -> None:
        """Apply a change of an endpoint's registration.

        :raises decoding.FormatError: if it can't be decoded; the endpoint is
            then removed.
        """
        name = item.key.removeprefix(registrations.PREFIX)
        if item.content is None:
            self._remove_endpoint(name, item.revision)
            return
        try:
            registration = registrations.decode(name, item.content)
        except decoding.FormatError:
            # An endpoint whose registration can't be decoded is not used.
            roster.unregister(self.entry.endpoints, name, None)
            raise
        now_s = clocks.monotonic_s()
        roster.register(self.entry.endpoints, registration, now_s)
        _LOG.info(
            'endpoint %s',
            registration.state.value,
            extra={'endpoint': name, 'revision': item.revision},
        )

    def _remove_endpoint(self, name: str, revision: int) -> None:
        """Remove an endpoint, at once unless its registration may have lapsed."""
        heartbeat_s = self.entry.settings.heartbeat_s
        deadline_s = self.mirror.absent_deadline_s(
            heartbeat_s * LAPSE_HEARTBEATS
        )
        roster.unregister(self.entry.endpoints, name, deadline_s)
        _LOG.info(
            'endpoint gone',
            extra={
                'endpoint': name,
                'revision': revision,
                'kept_s': _kept_s(deadline_s),
            },
        )

    def _apply_member(self, item: store_copy.Item) -> None:
        """Apply a change of a member's key; update the count of entries."""
        name = member_rows.name_of(item)
        members = self.entry.members
        deadline_s = None
        if item.content is None:
            deadline_s = self.mirror.absent_deadline_s(joining.LAPSE_S)
            membership.leave(members, name, deadline_s)
        else:
            membership.join(members, member_rows.decode(item))
        now_s = clocks.monotonic_s()
        self.entry.entry_count.note(len(members.present), now_s)
        _LOG.info(
            'member %s',
            'gone' if item.content is None else 'joined',
            extra={
                'member': name,
                'members': len(members.present),
                'kept_s': _kept_s(deadline_s),
            },
        )


def _kept_s(deadline_s: float | None) -> float:
    """Return for how long a removed key still counts, for the log."""
    if deadline_s is None:
        return 0
    return round(deadline_s - clocks.monotonic_s(), 3)
