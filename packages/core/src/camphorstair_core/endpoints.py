"""An entry's table of endpoints and the functions that update it."""

from collections import abc

import attrs

from camphorstair_core import (
    errors,
    keys,
    messages,
    outage_recovery,
    rules,
    vms,
)

LOAD_AGE_LIMIT_S = 2.0
NONE_LEAVING: abc.Set[str] = frozenset()


@attrs.define
class Endpoint:
    """State of an endpoint as known to one entry.

    :ivar vm: The VM that the endpoint runs on.
    :ivar load: The last load report from the endpoint's agent.
    :ivar load_deadline_s: Time at which the load report expires.
    :ivar last_message_s: When the agent last sent a load report or a heartbeat.
    :ivar seed: Hash of the endpoint's name, for rendezvous weights.
    :ivar samples: Complete responses since the last ejection for slowness.
    :ivar first_part_s: Exponential moving average of the time to the first
        part of a response.
    :ivar own_in_flight: Requests in flight from this entry.
    :ivar failures: Consecutive failed attempts.
    :ivar ejected_deadline_s: Time at which the ejection ends.
    :ivar leaving: Whether the agent is shutting down.
    :ivar out: Whether the rules take the endpoint or its data centre out of
        service.
    :ivar ramp_deadline_s: When the endpoint's data centre receives its full
        share of requests again.
    """

    vm: vms.Vm
    load: messages.LoadReport = attrs.field(factory=messages.LoadReport)
    load_deadline_s: float = 0
    own_in_flight: int = 0
    failures: int = 0
    ejected_deadline_s: float = 0
    last_message_s: float = 0
    samples: int = 0
    first_part_s: float = 0
    leaving: bool = False
    out: bool = False
    ramp_deadline_s: float = 0
    seed: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the hash of the name once, as it is used per request."""
        self.seed = vms.rank('prefix', self.vm.name)

    def available(self, now_s: float) -> bool:
        """Return whether new requests may be sent to the endpoint."""
        if self.leaving or self.out:
            return False
        return now_s >= self.ejected_deadline_s

    def pressure(self, now_s: float) -> float:
        """Return the load, counting one more request, as a share of the limit.

        The load is the higher of this entry's own requests in flight and the
        last report, if that has not expired. A limit that was not reported
        counts as 1.

        :param now_s: The current time.
        """
        in_flight = self.own_in_flight
        load = self.load
        if now_s < self.load_deadline_s:
            reported = load.in_flight + load.queued
            in_flight = max(in_flight, reported)
        return (in_flight + 1) / (load.limit or 1)


@attrs.define
class Candidate:
    """An endpoint that may be chosen for a request.

    :ivar row: The endpoint.
    :ivar pressure: Its load as a share of its limit.
    """

    row: Endpoint
    pressure: float


@attrs.define
class EndpointTable:
    """All endpoints that an entry knows.

    :ivar rows: The endpoints by name.
    :ivar outages: Data centres that are out of service or ramping up again.
    """

    rows: dict[str, Endpoint] = attrs.field(factory=dict)
    outages: outage_recovery.DataCentreOutages = attrs.field(
        factory=outage_recovery.DataCentreOutages
    )

    def of_service(self, service: str) -> list[Endpoint]:
        """Return all endpoints of a service."""
        return [row for row in self.rows.values() if row.vm.service == service]


def update_vms(
    table: EndpointTable,
    listed: list[vms.Vm],
    leaving: abc.Set[str] = NONE_LEAVING,
) -> None:
    """Synchronise the table with the VM list.

    Adds new endpoints and removes those whose VM is no longer listed.

    :param table: The table, which is updated.
    :param listed: All VMs in the list.
    :param leaving: Names of VMs whose agents have announced a shutdown.
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
    """Update which endpoints the rules take out of service.

    :param table: The table, which is updated.
    :param rule_set: The rules in force.
    :param now_s: The current time.
    """
    out = frozenset(rule_set.data_centres_out)
    outage_recovery.update_outages(table.outages, out, now_s)
    ramps = table.outages.ramp_deadlines_s
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
    """Choose the endpoint that owns the idempotency key of a request.

    For the first attempt this is the preferred owner; after a failed attempt
    it is the owner that the error names.

    :param table: The table of endpoints.
    :param start: The request.
    :param failure: The failure of the last attempt; None for the first one.
    :param tried: Names of endpoints at which an attempt has already failed.
    :returns: The owner, or None if it is unknown or has already failed.
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


def record_load(
    endpoint: Endpoint,
    load: messages.LoadReport,
    now_s: float,
) -> None:
    """Store a load report that was received with a response.

    :param endpoint: The endpoint, which is updated.
    :param load: The load report.
    :param now_s: The current time.
    """
    endpoint.load = load
    endpoint.last_message_s = now_s
    endpoint.load_deadline_s = now_s + LOAD_AGE_LIMIT_S
