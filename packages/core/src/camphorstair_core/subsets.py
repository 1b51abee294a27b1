"""Which endpoints of a service an entry sends to.

Near endpoints choose their entries: each takes the same number of them by
rendezvous, so that every endpoint is served and all by equally many entries.
Of the endpoints in other data centres an entry takes a few itself.
"""

import math

import attrs

from camphorstair_core import endpoints, vms

NEAR_ENDPOINTS = 16
FAR_ENDPOINTS = 8
LEAST_ENTRIES = 2


@attrs.define
class Subset:
    """The endpoints of one service that one entry sends to.

    :ivar near: Those in the entry's data centre.
    :ivar far: Those in others.
    :ivar spilling: Whether new work also goes to the far ones.
    """

    near: list[endpoints.Endpoint]
    far: list[endpoints.Endpoint]
    spilling: bool = False

    def rows(self) -> list[endpoints.Endpoint]:
        """Return all endpoints of the subset."""
        return [*self.near, *self.far]


@attrs.define
class SubsetTable:
    """The subsets of one entry.

    :ivar entry: Name of the entry.
    :ivar data_centre: Its data centre.
    :ivar listed: The VM list that they were made from.
    :ivar rows: The subsets by service.
    """

    entry: str = ''
    data_centre: str = ''
    listed: list[vms.Vm] = attrs.field(factory=list)
    rows: dict[str, Subset] = attrs.field(factory=dict)


def update(
    subsets: SubsetTable,
    table: endpoints.EndpointTable,
    listed: list[vms.Vm],
) -> None:
    """Make the subsets anew if the VM list has changed.

    :param subsets: The subsets.
    :param table: The endpoints, already in line with the list.
    :param listed: All VMs.
    """
    if listed == subsets.listed:
        return
    subsets.listed = list(listed)
    entries = [
        vm.name
        for vm in listed
        if vm.role is vms.VmRole.entry
        and vm.data_centre == subsets.data_centre
        and (vm.state is vms.VmState.live or vm.name == subsets.entry)
    ]
    services: dict[str, list[endpoints.Endpoint]] = {}
    for row in table.rows.values():
        services.setdefault(row.vm.service, []).append(row)
    subsets.rows = {
        service: _subset(subsets, rows, entries)
        for service, rows in services.items()
    }


def _subset(
    subsets: SubsetTable,
    rows: list[endpoints.Endpoint],
    entries: list[str],
) -> Subset:
    by_name = {row.vm.name: row for row in rows}
    near = [
        row.vm.name for row in rows if row.vm.data_centre == subsets.data_centre
    ]
    far = [name for name in by_name if name not in set(near)]
    chosen_near = chosen_by(subsets.entry, near, entries)
    chosen_far = vms.rendezvous(subsets.entry, far, FAR_ENDPOINTS)
    if not near:
        chosen_far = vms.rendezvous(subsets.entry, far, NEAR_ENDPOINTS)
    return Subset(
        [by_name[name] for name in chosen_near],
        [by_name[name] for name in chosen_far],
    )


def chosen_by(entry: str, near: list[str], entries: list[str]) -> list[str]:
    """Return the endpoints of a data centre that choose an entry.

    :param entry: The entry.
    :param near: The endpoints of one service.
    :param entries: All entries, this one among them.
    """
    if len(near) <= NEAR_ENDPOINTS:
        return near
    wanted = math.ceil(NEAR_ENDPOINTS * len(entries) / len(near))
    count = max(LEAST_ENTRIES, wanted)
    return [
        name for name in near if entry in vms.rendezvous(name, entries, count)
    ]
