"""Definitions of small example fleets: their VMs and rules files."""

from collections import abc

import attrs

from camphorstair_core import vms

AddressSource = abc.Callable[[], str]


@attrs.define(frozen=True)
class Site:
    """Definition of a fleet, without network addresses.

    :ivar region: Region of all VMs.
    :ivar data_centres: Names of the data centres.
    :ivar entries: Number of entry VMs in each data centre.
    :ivar endpoints: Number of endpoints in each data centre, by service.
    :ivar rules: Text of the initial rules file.
    """

    region: str
    data_centres: tuple[str, ...]
    entries: int
    endpoints: dict[str, int]
    rules: str


LEVIS_RULES = """\
# Rules of the Lévis site. One rule a line; the comment names who asked.
service name=redacteur kind=engine in_flight=8 cold_in_flight=2  # dispatch office
service name=comptoir kind=plain in_flight=16 cold_in_flight=4   # booking office
model name=redacteur-8b service=redacteur                        # dispatch office
organisation name=gravier in_flight=40                           # accounts
organisation name=beton-rive-sud in_flight=200 priority=high     # accounts
route path=/v1/chat/completions service=redacteur                # dispatch office
route path=/bookings* method=POST service=comptoir repeat=never  # booking office
route path=/bookings* service=comptoir                           # booking office
"""

LEVIS = Site(
    region='qc-est',
    data_centres=('levis-nord', 'levis-sud', 'charny'),
    entries=2,
    endpoints={'redacteur': 2, 'comptoir': 1},
    rules=LEVIS_RULES,
)


def create_vms(site: Site, next_address: AddressSource) -> list[vms.Vm]:
    """Return the VMs of a site, with addresses assigned.

    :param site: Definition of the fleet.
    :param next_address: Returns an unused ``IP:port`` at each call.
    """
    listed = []
    for data_centre in site.data_centres:
        for number in range(1, site.entries + 1):
            name = f'{data_centre}-entry-{number}'
            listed.append(_vm(site, data_centre, name, next_address))
        for service, count in site.endpoints.items():
            for number in range(1, count + 1):
                name = f'{data_centre}-{service}-{number}'
                agent = _vm(site, data_centre, name, next_address)
                listed.append(_as_agent(agent, service))
    return listed


def _vm(
    site: Site,
    data_centre: str,
    name: str,
    next_address: AddressSource,
) -> vms.Vm:
    return vms.Vm(
        name=name,
        role=vms.VmRole.entry,
        state=vms.VmState.live,
        region=site.region,
        data_centre=data_centre,
        peers_address=next_address(),
        callers_address=next_address(),
    )


def _as_agent(vm: vms.Vm, service: str) -> vms.Vm:
    return attrs.evolve(
        vm,
        role=vms.VmRole.agent,
        callers_address='',
        service=service,
    )
