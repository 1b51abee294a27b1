"""Polls the store for endpoints, entries, planners and the configuration.

Scans allow results that are some seconds old, which is recent enough here
and costs a tenth of a consistent read. The store lists entries as members.
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
# The service settings that an agent needs change rarely, so they are read only
# in every n-th round.
ROUNDS_PER_CONFIGURATION_READ = 20

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class StorePoller:
    """Copies endpoints, entries, planners and services into the agent's state.

    :ivar agent: The agent's state, which is updated.
    :ivar client: Client of the store.
    :ivar round_count: Number of rounds so far.
    """

    agent: state.FleetAgent
    client: store.StoreClient
    round_count: int = 0

    async def run(self) -> None:
        """Poll the store every ``INTERVAL_S`` until cancelled."""
        while True:
            try:
                await self._refresh()
            except (store.StoreError, fields.FormatError) as error:
                _LOG.warning('reading the store failed: %s', error)
            await curio.sleep(INTERVAL_S)

    async def _refresh(self) -> None:
        """Replace the lists in the agent's state by those in the store."""
        if (
            not self.agent.services
            or not self.round_count % ROUNDS_PER_CONFIGURATION_READ
        ):
            await self._read_services()
        self.round_count += 1
        listed = await self.client.scan(registrations.PREFIX, stale=True)
        self.agent.endpoints = {}
        for item in listed.rows:
            self._add_endpoint(item)
        balancer_items = await self.client.scan(keys.PREFIX, stale=True)
        self.agent.members = {}
        self.agent.planners = {}
        for item in balancer_items.rows:
            self._add_planner_or_member(item)
        self.agent.reselect_entries()

    async def _read_services(self) -> None:
        item = await self.client.get(configuration.CONFIGURATION_KEY)
        if item is not None and item.content is not None:
            decoded = configuration.decode(item.content)
            self.agent.services = decoded.services

    def _add_endpoint(self, item: store.Item) -> None:
        """Add an endpoint; skip an item that is malformed."""
        name = item.key.removeprefix(registrations.PREFIX)
        try:
            registration = registrations.decode(name, item.content or b'')
        except fields.FormatError as error:
            _LOG.debug(
                'malformed endpoint registration at %s: %s', item.key, error
            )
            return
        self.agent.endpoints[name] = registration

    def _add_planner_or_member(self, item: store.Item) -> None:
        """Add a planner or an entry; skip other and malformed items."""
        if item.key.startswith(keys.PLANNERS_PREFIX):
            group = item.key.removeprefix(keys.PLANNERS_PREFIX)
            self.agent.planners[group] = (item.content or b'').decode()
        elif item.key.startswith(keys.MEMBERS_PREFIX):
            try:
                decoded = msgspec.json.decode(
                    item.content or b'', type=membership.Member
                )
            except msgspec.DecodeError as error:
                _LOG.warning('malformed member at %s: %s', item.key, error)
                return
            self.agent.members[decoded.name] = decoded
