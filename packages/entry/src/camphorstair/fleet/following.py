"""Follows the store: configuration, endpoints, members, data centres out."""

import logging

import attrs
import curio
import msgspec

from camphorstair.fleet import dispatch, state
from camphorstair_core.fleet import knowledge, membership, roster
from camphorstair_platform import (
    configuration,
    fields,
    registrations,
    store,
)
from camphorstair_runtime import clocks

MEMBERS_PREFIX = 'camphorstair/members/'
# Everything that is followed lies under these prefixes.
PREFIXES = (configuration.PREFIX, registrations.PREFIX, MEMBERS_PREFIX)
ALL_KEYS = ''
WATCH_WAIT_S = 1.6
# After an outage the state of the store is asked for without a wait.
SHORT_WAIT_S = 0.001
RETRY_INTERVAL_S = 0.25
# Registrations that lapsed during an outage are back within this time.
RETURN_LIMIT_S = 2.5

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Follower:
    """Keeps the entry's state like the store's content.

    :ivar entry: The entry's state.
    :ivar dispatcher: Told when endpoints change.
    :ivar client: The store.
    :ivar revisions: Last revision that was taken over, by key.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    client: store.StoreClient
    revisions: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Follow for ever; what is known stays in use during outages."""
        revision: int | None = None
        while True:
            sent_s = clocks.suspended_s()
            try:
                revision = await self._follow_once(revision)
            except store.HistoryLostError as lost:
                _LOG.warning('reading all again: %s', lost)
                revision = None
            except (store.StoreError, fields.FormatError) as error:
                self._note_failure(sent_s, error)
                await curio.sleep(RETRY_INTERVAL_S)
            else:
                self._note_proof(sent_s)
            await self.dispatcher.advance_all()

    async def _follow_once(self, revision: int | None) -> int:
        if revision is None:
            return await self._read_all()
        lost = self.entry.known.lost_s is not None
        wait_s = SHORT_WAIT_S if lost else WATCH_WAIT_S
        changes = await self.client.watch(ALL_KEYS, revision, wait_s)
        for item in changes.items:
            self._take(item)
        return changes.revision

    async def _read_all(self) -> int:
        listings = [await self.client.scan(prefix) for prefix in PREFIXES]
        present = set()
        for listing in listings:
            for item in listing.items:
                present.add(item.key)
                self._take(item)
        revision = min(one.revision for one in listings)
        for key in [one for one in self.revisions if one not in present]:
            self._take(store.Item(key, None, self.revisions[key] + 1))
            self.revisions.pop(key)
        self.entry.listed = True
        return revision

    def _take(self, item: store.Item) -> None:
        """Take over a change unless a later one was taken over before."""
        if item.revision <= self.revisions.get(item.key, 0):
            return
        if not item.key.startswith(PREFIXES):
            return
        self.revisions[item.key] = item.revision
        try:
            self._apply(item)
        except (fields.FormatError, msgspec.DecodeError) as error:
            _LOG.warning('unusable value of %s: %s', item.key, error)

    def _apply(self, item: store.Item) -> None:
        if item.key.startswith(registrations.PREFIX):
            self._apply_endpoint(item)
        elif item.key.startswith(MEMBERS_PREFIX):
            self._apply_member(item)
        elif item.key.startswith(configuration.OUT_PREFIX):
            self._apply_out(item)
        elif item.key == configuration.CONFIGURATION_KEY:
            self._apply_configuration(item)

    def _apply_configuration(self, item: store.Item) -> None:
        if item.content is None:
            _LOG.error('the configuration was removed; the last one stays')
            return
        found = configuration.decode(item.content)
        held = self.entry.configuration
        if held is not None and found.version <= held.version:
            return
        self.entry.configuration = found
        _LOG.info(
            'configuration in force',
            extra={'version': found.version, 'revision': item.revision},
        )

    def _apply_out(self, item: store.Item) -> None:
        data_centre = item.key.removeprefix(configuration.OUT_PREFIX)
        if item.content is None:
            self.entry.endpoints.out.discard(data_centre)
        else:
            self.entry.endpoints.out.add(data_centre)
        _LOG.info(
            'data centre %s',
            'back' if item.content is None else 'out',
            extra={'data_centre': data_centre, 'revision': item.revision},
        )

    def _apply_endpoint(self, item: store.Item) -> None:
        name = item.key.removeprefix(registrations.PREFIX)
        if item.content is None:
            roster.unregister(self.entry.endpoints, name, self._absent_s())
            _LOG.info('endpoint gone', extra={'endpoint': name})
            return
        try:
            found = registrations.decode(name, item.content)
        except fields.FormatError:
            # A value that can't be read names no endpoint to use.
            roster.unregister(self.entry.endpoints, name, None)
            raise
        now_s = clocks.monotonic_s()
        roster.register(self.entry.endpoints, found, now_s)
        _LOG.info(
            'endpoint %s',
            found.state.value,
            extra={'endpoint': name, 'revision': item.revision},
        )

    def _apply_member(self, item: store.Item) -> None:
        name = item.key.removeprefix(MEMBERS_PREFIX)
        members = self.entry.members
        if item.content is None:
            membership.leave(members, name, self._absent_s())
        else:
            found = msgspec.json.decode(item.content, type=membership.Member)
            membership.join(members, found)
        now_s = clocks.monotonic_s()
        self.entry.entry_count.note(len(members.present), now_s)
        _LOG.info(
            'member %s',
            'gone' if item.content is None else 'joined',
            extra={'member': name, 'members': len(members.present)},
        )

    def _absent_s(self) -> float | None:
        """Return until when what lapsed around an outage may come back."""
        now_s = clocks.suspended_s()
        known = self.entry.known
        since_s = now_s - known.regained_s
        if known.lost_s is None and since_s > RETURN_LIMIT_S:
            return None
        return clocks.monotonic_s() + RETURN_LIMIT_S

    def _note_proof(self, sent_s: float) -> None:
        now_s = clocks.suspended_s()
        if knowledge.note_proof(self.entry.known, sent_s, now_s):
            _LOG.info('store answers again')

    def _note_failure(self, sent_s: float, error: Exception) -> None:
        if knowledge.note_failure(self.entry.known, sent_s):
            _LOG.warning('store does not answer: %s', error)


def member_key(name: str) -> str:
    """Return the key of an entry."""
    return f'{MEMBERS_PREFIX}{name}'
