"""Selects the subset of a service's endpoints that an entry sends to.

Within a data centre, each endpoint selects the same number of entries by
rendezvous hashing, so that every endpoint gets requests, and all from equally
many entries. In other data centres, each entry selects a few endpoints itself.
"""

import math

import attrs

from camphorstair_core import endpoints, vms

NEAR_ENDPOINTS = 16
FAR_ENDPOINTS = 8
MIN_ENTRIES = 2


@attrs.define
class Subset:
    """The endpoints of one service that one entry sends to.

    :ivar near: Endpoints in the entry's data centre.
    :ivar far: Endpoints in other data centres.
    :ivar spilling: Whether new requests are also sent to the far endpoints.
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
    :ivar data_centre: Data centre of the entry.
    :ivar listed: The VM list from which the subsets were computed.
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
    """Recompute the subsets if the VM list has changed.

    :param subsets: The subsets, which are updated.
    :param table: The endpoints, already updated from the VM list.
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
    """Return the subset for one service; more far endpoints if none is near."""
    by_name = {row.vm.name: row for row in rows}
    near = [
        row.vm.name for row in rows if row.vm.data_centre == subsets.data_centre
    ]
    far = [name for name in by_name if name not in set(near)]
    selected_near = near_endpoints(subsets.entry, near, entries)
    selected_far = vms.rendezvous(subsets.entry, far, FAR_ENDPOINTS)
    if not near:
        selected_far = vms.rendezvous(subsets.entry, far, NEAR_ENDPOINTS)
    return Subset(
        [by_name[name] for name in selected_near],
        [by_name[name] for name in selected_far],
    )


def near_endpoints(
    entry: str, near: list[str], entries: list[str]
) -> list[str]:
    """Return the endpoints of a data centre that select an entry.

    Returns all endpoints if there are at most ``NEAR_ENDPOINTS``.

    :param entry: Name of the entry.
    :param near: Names of the endpoints of one service.
    :param entries: Names of all entries, including this one.
    """
    if len(near) <= NEAR_ENDPOINTS:
        return near
    proportional = math.ceil(NEAR_ENDPOINTS * len(entries) / len(near))
    count = max(MIN_ENTRIES, proportional)
    return [
        name for name in near if entry in vms.rendezvous(name, entries, count)
    ]
