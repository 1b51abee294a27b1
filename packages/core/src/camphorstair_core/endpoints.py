"""The entry's table of endpoints and the systems that run over it."""

from collections import abc

import attrs

from camphorstair_core import errors, keys, messages, returning, rules, vms

LOAD_AGE_LIMIT_S = 2.0
NONE_LEAVING: abc.Set[str] = frozenset()


@attrs.define
class Endpoint:
    """An endpoint as one entry sees it.

    :ivar vm: Its VM.
    :ivar load: The last load that its agent reported.
    :ivar load_deadline_s: When that report is too old to count.
    :ivar heard_s: When its agent last sent a load or a heartbeat.
    :ivar seed: Stands for its name in weights of prefixes.
    :ivar samples: Answers since it was last ejected.
    :ivar first_part_s: Mean time to their first parts, new ones counting more.
    :ivar own_in_flight: Requests of this entry that it works on.
    :ivar failures: Failed attempts since the last that went well.
    :ivar ejected_deadline_s: Until when it is not chosen.
    :ivar leaving: Whether its agent said that it shuts down.
    :ivar out: Whether the rules take it, or its data centre, out.
    :ivar ramp_deadline_s: When its data centre gets its whole share again.
    """

    vm: vms.Vm
    load: messages.LoadReport = attrs.field(factory=messages.LoadReport)
    load_deadline_s: float = 0
    own_in_flight: int = 0
    failures: int = 0
    ejected_deadline_s: float = 0
    heard_s: float = 0
    samples: int = 0
    first_part_s: float = 0
    leaving: bool = False
    out: bool = False
    ramp_deadline_s: float = 0
    seed: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Hash the name once."""
        self.seed = vms.rank('prefix', self.vm.name)

    def available(self, now_s: float) -> bool:
        """Tell whether new work may go to the endpoint."""
        if self.leaving or self.out:
            return False
        return now_s >= self.ejected_deadline_s

    def pressure(self, now_s: float) -> float:
        """Return its load as a share of its limit, own requests included."""
        in_flight = self.own_in_flight
        load = self.load
        if now_s < self.load_deadline_s:
            reported = load.in_flight + load.queued
            in_flight = max(in_flight, reported)
        return (in_flight + 1) / (load.limit or 1)


@attrs.define
class Candidate:
    """An endpoint that may be chosen, and its load as a share of its limit."""

    row: Endpoint
    pressure: float


@attrs.define
class EndpointTable:
    """All endpoints that an entry knows, by name.

    :ivar returns: Data centres that are out or return.
    """

    rows: dict[str, Endpoint] = attrs.field(factory=dict)
    returns: returning.Returns = attrs.field(factory=returning.Returns)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return [row for row in self.rows.values() if row.vm.service == service]


def update_vms(
    table: EndpointTable,
    listed: list[vms.Vm],
    leaving: abc.Set[str] = NONE_LEAVING,
) -> None:
    """Bring the table in line with the VM list.

    :param table: The table; rows of VMs that are gone are removed.
    :param listed: All VMs of the list.
    :param leaving: Names of VMs whose agents said that they shut down.
    """
    agents = {vm.name: vm for vm in listed if vm.role is vms.VmRole.agent}
    for name in set(table.rows) - set(agents):
        table.rows.pop(name)
    for vm in agents.values():
        row = table.rows.setdefault(vm.name, Endpoint(vm))
        row.vm = vm
        listed_leaving = vm.state is vms.VmState.leaving
        row.leaving = listed_leaving or vm.name in leaving


def apply_rules(
    table: EndpointTable,
    rule_set: rules.RuleSet,
    now_s: float = 0,
) -> None:
    """Mark the endpoints that the rules take out.

    :param table: The table.
    :param rule_set: The rules in force.
    :param now_s: The time.
    """
    out = frozenset(rule_set.data_centres_out)
    returning.note_outages(table.returns, out, now_s)
    ramps = table.returns.ramp_deadlines_s
    for row in table.rows.values():
        data_centre = row.vm.data_centre
        row.ramp_deadline_s = ramps.get(data_centre, 0)
        listed_out = row.vm.name in rule_set.endpoints_out
        row.out = data_centre in out or listed_out


def choose_owner(
    table: EndpointTable,
    start: messages.RequestStart,
    failure: errors.RequestError | None,
    tried: set[str],
) -> Endpoint | None:
    """Choose the endpoint that owns the key of a request.

    :param table: The table.
    :param start: The request.
    :param failure: The failure of the last attempt; it may name the owner.
    :param tried: Names of endpoints that did not answer the request.
    :returns: The owner, or None if it is unknown or said no.
    """
    name = failure.owner if failure else ''
    if failure is None:
        key = keys.keyed_request(start).digest
        names = [
            row.vm.name
            for row in table.of_service(start.service)
            if not (row.leaving or row.out)
        ]
        slot = keys.slot_of(key)
        name = keys.preferred_owner(start.service, slot, names)
    return None if name in tried else table.rows.get(name)


def note_load(
    endpoint: Endpoint,
    load: messages.LoadReport,
    now_s: float,
) -> None:
    """Keep a load report that came with an answer."""
    endpoint.load = load
    endpoint.heard_s = now_s
    endpoint.load_deadline_s = now_s + LOAD_AGE_LIMIT_S
