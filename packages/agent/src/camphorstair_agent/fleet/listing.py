"""Keeps the agent's lists of endpoints, entries, planners and services.

Agents follow the copy that an entry of their data centre has of the store. They
read from the store itself only while they know no such entry.
"""

import logging

import attrs
import curio

from camphorstair_agent.fleet import state
from camphorstair_core import decoding, vms
from camphorstair_core.fleet import store_copy
from camphorstair_fleet import (
    crash_rows,
    keys,
    member_rows,
    mirroring,
    restored_keys,
    source_choice,
    sources,
)
from camphorstair_platform import (
    configuration,
    registrations,
    store,
    store_errors,
)

PREFIXES = (registrations.PREFIX, keys.PREFIX)
# Entries that are asked before the store is.
MAX_PEERS = 3
# The service settings that an agent needs change rarely.
SERVICES_INTERVAL_S = 40.0
SERVICES_RETRY_S = 2.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class StoreFollower:
    """Keeps the agent's state up to date with the store's content.

    :ivar agent: The agent's state, which is updated.
    :ivar client: Client of the store.
    :ivar mirror: Follows an entry, or polls the store.
    """

    agent: state.FleetAgent
    client: store.StoreClient
    mirror: mirroring.Mirror = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the mirror that passes changes to this object."""
        choice = source_choice.SourceChoice(
            sources.polled_source(self.client, PREFIXES),
            PREFIXES,
            self._peers,
        )
        self.mirror = mirroring.Mirror(
            choice.choose,
            self.agent.freshness,
            self._apply,
            self._finish_round,
            store_copy.StoreCopy(restored_keys.applies_at_once),
        )

    async def run(self) -> None:
        """Follow the endpoints, entries and planners until cancelled."""
        await self.mirror.run()

    async def run_services(self) -> None:
        """Read the configured services from time to time until cancelled."""
        while True:
            try:
                await self._read_services()
            except (store_errors.StoreError, decoding.FormatError) as error:
                _LOG.warning('reading the configuration failed: %s', error)
            known = bool(self.agent.services)
            await curio.sleep(
                SERVICES_INTERVAL_S if known else SERVICES_RETRY_S
            )

    def _peers(self) -> list[str]:
        """Return the internal addresses of entries, the nearest ones first."""
        own = self.agent.settings
        local = [
            member.name
            for member in self.agent.members.values()
            if member.data_centre == own.data_centre
        ]
        names = local or list(self.agent.members)
        return [
            self.agent.members[name].internal_address
            for name in vms.rendezvous(own.name, names, MAX_PEERS)
        ]

    async def _finish_round(self) -> None:
        if self.mirror.had_changes:
            self.agent.reselect_entries()
        era = self.mirror.known.era
        if self.agent.store_era != era:
            self.agent.store_era = era
            await self.agent.crash_news.set()

    async def _read_services(self) -> None:
        found = await self.client.get(
            configuration.CONFIGURATION_KEY, stale=True
        )
        if found is not None and found.content is not None:
            decoded = configuration.decode(found.content)
            self.agent.services = decoded.services

    def _apply(self, row: store_copy.Item) -> None:
        if row.key.startswith(registrations.PREFIX):
            self._apply_endpoint(row)
        elif row.key.startswith(keys.PLANNERS_PREFIX):
            self._apply_planner(row)
        elif row.key.startswith(keys.MEMBERS_PREFIX):
            self._apply_member(row)
        elif row.key.startswith(keys.CRASHES_PREFIX):
            crash_rows.apply_reports(
                self.agent.crashes, self.agent.settings.name, row
            )

    def _apply_endpoint(self, row: store_copy.Item) -> None:
        """Apply a change of an endpoint's registration.

        :raises decoding.FormatError: if it can't be decoded; the endpoint is
            then removed.
        """
        name = row.key.removeprefix(registrations.PREFIX)
        self.agent.endpoints.pop(name, None)
        if row.content is not None:
            registration = registrations.decode(name, row.content)
            self.agent.endpoints[name] = registration

    def _apply_planner(self, row: store_copy.Item) -> None:
        group = row.key.removeprefix(keys.PLANNERS_PREFIX)
        self.agent.planners.pop(group, None)
        if row.content is not None:
            holder = row.content.decode(errors='replace')
            self.agent.planners[group] = holder

    def _apply_member(self, row: store_copy.Item) -> None:
        """Apply a change of an entry's key.

        :raises decoding.FormatError: if it can't be decoded; the entry is then
            removed.
        """
        name = member_rows.name_of(row)
        self.agent.members.pop(name, None)
        if row.content is not None:
            self.agent.members[name] = member_rows.decode(row)
