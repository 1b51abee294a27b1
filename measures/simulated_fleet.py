"""Entries and agents in one process, around the real decisions."""

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
PLACE = 'levis-nord'
LIMIT = 8


@attrs.define
class Entry:
    """What an entry decides with."""

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
        """Choose the endpoint of a request."""
        return choice.choose(
            self.subset_table,
            self.hints,
            criteria,
            now_s,
            generator,
        )


def vm_list(entries: int, agents: int) -> list[vms.Vm]:
    """Return the VM list of one data centre."""
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
                    data_centre=PLACE,
                    peers_address='',
                    service=service,
                ),
            )
    return listed


def make_entry(listed: list[vms.Vm], name: str) -> Entry:
    """Return the entry of a name."""
    table = endpoints.EndpointTable()
    endpoints.update_vms(table, listed)
    subset_table = subsets.SubsetTable(name, PLACE)
    subsets.update(subset_table, table, listed)
    return Entry(table, subset_table)


def make_entries(listed: list[vms.Vm]) -> list[Entry]:
    """Return all entries of a list."""
    return [
        make_entry(listed, vm.name)
        for vm in listed
        if vm.role is vms.VmRole.entry
    ]


def warm_gate() -> admission.Admission:
    """Return the admission of a warm endpoint."""
    gate = admission.Admission(watched=True)
    admission.set_limits(gate, LIMIT, LIMIT)
    return gate
