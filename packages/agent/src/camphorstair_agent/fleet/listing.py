"""Reads from the store what an agent needs of the others.

Reads that may be some seconds old are enough here and cost a tenth.
"""

import logging

import attrs
import curio
import msgspec

from camphorstair_agent.fleet import state
from camphorstair_core.fleet import membership
from camphorstair_fleet import keys
from camphorstair_platform import (
    configuration,
    fields,
    registrations,
    store,
)

INTERVAL_S = 2.0
# The configuration changes seldom in what an agent needs of it.
CONFIGURATION_ROUNDS = 20

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Listing:
    """Keeps an agent's knowledge of the others.

    :ivar agent: The agent's state.
    :ivar client: The store.
    :ivar round: Number of reads so far.
    """

    agent: state.FleetAgent
    client: store.StoreClient
    round: int = 0

    async def run(self) -> None:
        """Read for ever."""
        while True:
            try:
                await self._read()
            except (store.StoreError, fields.FormatError) as error:
                _LOG.warning('the store was not read: %s', error)
            await curio.sleep(INTERVAL_S)

    async def _read(self) -> None:
        if not self.agent.services or not self.round % CONFIGURATION_ROUNDS:
            await self._read_services()
        self.round += 1
        listed = await self.client.scan(registrations.PREFIX, stale=True)
        self.agent.endpoints = {}
        for item in listed.rows:
            self._take_endpoint(item)
        own = await self.client.scan(keys.PREFIX, stale=True)
        self.agent.members = {}
        self.agent.planners = {}
        for item in own.rows:
            self._take_own(item)

    async def _read_services(self) -> None:
        item = await self.client.get(configuration.CONFIGURATION_KEY)
        if item is not None and item.content is not None:
            known = configuration.decode(item.content)
            self.agent.services = known.services

    def _take_endpoint(self, item: store.Item) -> None:
        name = item.key.removeprefix(registrations.PREFIX)
        try:
            found = registrations.decode(name, item.content or b'')
        except fields.FormatError as error:
            _LOG.debug('unusable value of %s: %s', item.key, error)
            return
        self.agent.endpoints[name] = found

    def _take_own(self, item: store.Item) -> None:
        if item.key.startswith(keys.PLANNERS_PREFIX):
            group = item.key.removeprefix(keys.PLANNERS_PREFIX)
            self.agent.planners[group] = (item.content or b'').decode()
        elif item.key.startswith(keys.MEMBERS_PREFIX):
            try:
                found = msgspec.json.decode(
                    item.content or b'', type=membership.Member
                )
            except msgspec.DecodeError as error:
                _LOG.warning('no member at %s: %s', item.key, error)
                return
            self.agent.members[found.name] = found
