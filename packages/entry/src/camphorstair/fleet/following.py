"""Follows the store: configuration, endpoints, members, data centres out."""

import logging

import attrs
import msgspec

from camphorstair.fleet import dispatch, state
from camphorstair_core.fleet import membership, roster
from camphorstair_fleet import keys, mirroring
from camphorstair_platform import (
    configuration,
    fields,
    registrations,
    store,
)
from camphorstair_runtime import clocks

# Everything that is followed lies under these prefixes.
PREFIXES = (configuration.PREFIX, registrations.PREFIX, keys.MEMBERS_PREFIX)

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Follower:
    """Keeps the entry's state like the store's content.

    :ivar entry: The entry's state.
    :ivar dispatcher: Told when endpoints change.
    :ivar mirror: The store's content.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    mirror: mirroring.Mirror = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the mirror that calls this object."""
        store_settings = self.entry.settings.store
        self.mirror = mirroring.Mirror(
            store.StoreClient(store_settings.address),
            PREFIXES,
            self.entry.known,
            self._apply,
            self._advance,
        )

    async def run(self) -> None:
        """Follow the store for ever."""
        await self.mirror.run()

    async def _advance(self) -> None:
        self.entry.listed = self.mirror.listed
        await self.dispatcher.advance_all()

    def _apply(self, item: store.Item) -> None:
        if item.key.startswith(registrations.PREFIX):
            self._apply_endpoint(item)
        elif item.key.startswith(keys.MEMBERS_PREFIX):
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
            roster.unregister(
                self.entry.endpoints, name, self.mirror.absent_deadline_s()
            )
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
        name = item.key.removeprefix(keys.MEMBERS_PREFIX)
        members = self.entry.members
        if item.content is None:
            membership.leave(members, name, self.mirror.absent_deadline_s())
        else:
            membership.join(members, _decode_member(item.content))
        now_s = clocks.monotonic_s()
        self.entry.entry_count.note(len(members.present), now_s)
        _LOG.info(
            'member %s',
            'gone' if item.content is None else 'joined',
            extra={'member': name, 'members': len(members.present)},
        )


def _decode_member(content: bytes) -> membership.Member:
    try:
        return msgspec.json.decode(content, type=membership.Member)
    except msgspec.DecodeError as error:
        raise fields.FormatError(f'no member: {error}') from error
