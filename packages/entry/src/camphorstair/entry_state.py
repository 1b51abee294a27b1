"""State of an entry process."""

import random

import attrs

from camphorstair import link_pool
from camphorstair_core import (
    affinity,
    directory,
    endpoints,
    retries,
    subsets,
)
from camphorstair_runtime import clocks, metrics, node, settings


@attrs.define
class Entry:
    """State of an entry.

    :ivar checked: The settings.
    :ivar state: The state that processes of all roles have.
    :ivar token_key: The key that signs callers' tokens.
    :ivar pool: Links to agents.
    :ivar instruments: The metrics.
    :ivar generator: Source of random choices.
    :ivar table: All endpoints.
    :ivar budget: Budget of retries after attempts that were not run.
    :ivar failure_budget: Budget of retries after attempts that may have run.
    :ivar subset_table: The endpoints that this entry sends to, by service.
    :ivar hints: Endpoints that probably have a prompt prefix cached.
    :ivar in_flight: Number of requests in progress by organisation.
    :ivar named: Which entries the directory answers of this entry name, and
        until when.
    """

    checked: settings.EntrySettings
    state: node.NodeState
    token_key: bytes
    pool: link_pool.LinkPool
    instruments: metrics.Instruments
    generator: random.Random
    table: endpoints.EndpointTable = attrs.field(
        factory=endpoints.EndpointTable,
    )
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    failure_budget: retries.RetryBudget = attrs.field(
        factory=retries.RetryBudget,
    )
    subset_table: subsets.SubsetTable = attrs.field(factory=subsets.SubsetTable)
    hints: affinity.CacheHints = attrs.field(factory=affinity.CacheHints)
    in_flight: dict[str, int] = attrs.field(factory=dict)
    named: directory.Directory = attrs.field(init=False)

    def refresh(self) -> None:
        """Update the endpoints and subsets from the VM list and the rules."""
        now_s = clocks.monotonic_s()
        endpoints.update_vms(
            self.table,
            self.state.listed,
            {
                name
                for name in self.state.members.rows
                if self.state.members.leaving(name, now_s)
            },
        )
        self.subset_table.entry = self.state.identity.name
        self.subset_table.data_centre = self.state.identity.data_centre
        subsets.update(self.subset_table, self.table, self.state.listed)
        endpoints.apply_rules(self.table, self.state.holder.rule_set, now_s)

    def requests_in_flight(self) -> int:
        """Return the number of requests in progress."""
        return sum(self.in_flight.values())

    @named.default
    def _new_directory(self) -> directory.Directory:
        return directory.Directory(self.state.identity.name)
