"""Simulated entries and agents that use the production decision code."""

import random

import attrs

from camphorstair_core import (
    admission,
    affinity,
    choice,
    endpoints,
    retries,
    subsets,
    vms,
)

SERVICE = 'redacteur'
DATA_CENTRE = 'levis-nord'
LIMIT = 8


@attrs.define
class Entry:
    """State of an entry that its choice of endpoints depends on.

    :ivar table: All endpoints.
    :ivar subset_table: The subset of endpoints that the entry uses.
    :ivar hints: Endpoints that probably have a prefix cached.
    :ivar budget: Budget of retries.
    """

    table: endpoints.EndpointTable
    subset_table: subsets.SubsetTable
    hints: affinity.CacheHints = attrs.field(factory=affinity.CacheHints)
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)

    def choose(
        self,
        criteria: choice.EndpointCriteria,
        now_s: float,
        generator: random.Random,
    ) -> endpoints.Endpoint | None:
        """Return the endpoint for a request; None if none is available.

        :param criteria: Requirements of the request.
        :param now_s: Simulated time.
        :param generator: Draws the candidates.
        """
        return choice.choose(
            self.subset_table,
            self.hints,
            criteria,
            now_s,
            generator,
        )


def vm_list(entries: int, agents: int) -> list[vms.Vm]:
    """Return the VM list of one data centre.

    :param entries: Number of entries.
    :param agents: Number of agents.
    """
    listed = []
    for role, count in (
        (vms.VmRole.entry, entries),
        (vms.VmRole.agent, agents),
    ):
        service = SERVICE if role is vms.VmRole.agent else ''
        for number in range(count):
            listed.append(
                vms.Vm(
                    name=f'{role}-{number}',
                    role=role,
                    state=vms.VmState.live,
                    region='qc-est',
                    data_centre=DATA_CENTRE,
                    peers_address='',
                    service=service,
                ),
            )
    return listed


def make_entry(listed: list[vms.Vm], name: str) -> Entry:
    """Return an entry that has applied a VM list.

    :param listed: The VM list.
    :param name: Name of the entry's VM.
    """
    table = endpoints.EndpointTable()
    endpoints.update_vms(table, listed)
    subset_table = subsets.SubsetTable(name, DATA_CENTRE)
    subsets.update(subset_table, table, listed)
    return Entry(table, subset_table)


def make_entries(listed: list[vms.Vm]) -> list[Entry]:
    """Return an entry for each entry VM of a VM list."""
    return [
        make_entry(listed, vm.name)
        for vm in listed
        if vm.role is vms.VmRole.entry
    ]


def warm_admission() -> admission.Admission:
    """Return the admission control of a warm endpoint."""
    gate = admission.Admission(watched=True)
    admission.set_limits(gate, LIMIT, LIMIT)
    return gate
