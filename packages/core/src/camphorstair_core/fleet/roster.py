"""The registered endpoints, and which of them may receive requests."""

import enum

import attrs

# A rank group is a set of endpoints, its ranks, that run each pass of the model
# together. It works again within this time after the last missing rank has
# registered.
FORMING_S = 1.0


class EndpointState(enum.StrEnum):
    """The state that an endpoint registers for itself."""

    ready = 'ready'
    draining = 'draining'


@attrs.frozen
class GroupMembership:
    """The membership of an endpoint in a rank group.

    :ivar group: The name of the group.
    :ivar epoch: Counts the formations of the group; all expert maps are lost
        when the group forms anew.
    :ivar rank: The rank of the endpoint.
    :ivar size: Number of ranks in the group.
    :ivar is_open: Whether the group works.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


@attrs.frozen
class Registration:
    """The content of an endpoint's registration in the store.

    :ivar endpoint: The identifier of the endpoint.
    :ivar service: The name of its service.
    :ivar address: ``IP:port``.
    :ivar data_centre: The data centre that it runs in.
    :ivar state: Whether it accepts new requests.
    :ivar slots: Maximum number of requests that it runs concurrently.
    :ivar cold_s: Time that it would still be cold, counted from this
        registration.
    :ivar born_ms: Start of its process, ms since the Unix epoch; 0 if unknown.
    :ivar membership: Its membership in a rank group, or None.
    """

    endpoint: str
    service: str
    address: str
    data_centre: str
    state: EndpointState
    slots: int
    cold_s: float
    born_ms: int
    membership: GroupMembership | None


@attrs.define(eq=False)
class Endpoint:
    """A registered endpoint and what this process knows of it.

    :ivar registration: Its latest registration.
    :ivar first_seen_s: When this process first saw this run of the endpoint.
    :ivar cold_deadline_s: Until when the endpoint is cold.
    :ivar absent_deadline_s: When the endpoint is removed, if its registration
        expired around an outage of the store; None while it is registered.
    :ivar address_taken: Whether an answer showed that another process has taken
        over its address, or the address of a rank of its group.
    """

    registration: Registration
    first_seen_s: float = 0
    cold_deadline_s: float = 0
    absent_deadline_s: float | None = None
    address_taken: bool = False


@attrs.define
class Roster:
    """All endpoints, and the data centres that are out of service.

    :ivar endpoints: The endpoints by identifier.
    :ivar out: Data centres whose endpoints receive no new requests.
    :ivar by_address: The endpoints by ``IP:port`` and name. After a restart the
        registration of the process before may still exist.
    :ivar by_service: The endpoints of each service by identifier.
    :ivar changes: Number of endpoints added, replaced or removed so far.
    """

    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    out: set[str] = attrs.field(factory=set)
    by_address: dict[str, dict[str, Endpoint]] = attrs.field(factory=dict)
    by_service: dict[str, dict[str, Endpoint]] = attrs.field(factory=dict)
    changes: int = 0


def register(
    roster: Roster,
    registration: Registration,
    now_s: float,
) -> Endpoint:
    """Add or update an endpoint from its registration.

    :param roster: The roster to update.
    :param registration: The new registration.
    :param now_s: The current time.
    :returns: The endpoint; a new object if the endpoint is new or restarted.
    """
    endpoint = roster.endpoints.get(registration.endpoint)
    if endpoint is None or restarted(endpoint.registration, registration):
        _remove(roster, registration.endpoint)
        endpoint = Endpoint(registration, now_s)
        _add(roster, endpoint)
    elif endpoint.registration.service != registration.service:
        _remove(roster, registration.endpoint)
        endpoint.registration = registration
        _add(roster, endpoint)
    endpoint.registration = registration
    endpoint.absent_deadline_s = None
    endpoint.address_taken = False
    endpoint.cold_deadline_s = now_s + registration.cold_s
    return endpoint


def unregister(
    roster: Roster,
    endpoint: str,
    absent_deadline_s: float | None,
) -> None:
    """Remove an endpoint whose registration is gone, at once or at a deadline.

    A deadline that is already set stays as it is.

    :param roster: The roster to update.
    :param endpoint: The identifier of the endpoint.
    :param absent_deadline_s: Until when the endpoint may register again after
        an outage of the store; None to remove it at once.
    """
    registered = roster.endpoints.get(endpoint)
    if registered is None:
        return
    if absent_deadline_s is None:
        _remove(roster, endpoint)
    elif registered.absent_deadline_s is None:
        registered.absent_deadline_s = absent_deadline_s


def expire(roster: Roster, now_s: float) -> list[str]:
    """Remove the endpoints that did not register again by their deadline.

    :returns: The identifiers of the removed endpoints.
    """
    gone = [
        name
        for name, endpoint in roster.endpoints.items()
        if endpoint.absent_deadline_s is not None
        and endpoint.absent_deadline_s <= now_s
    ]
    for name in gone:
        _remove(roster, name)
    return gone


def at_address(roster: Roster, address: str) -> Endpoint | None:
    """Return the endpoint at an address, the one that started last.

    :param roster: The roster.
    :param address: ``IP:port``.
    :returns: None if none is registered there.
    """
    return max(
        roster.by_address.get(address, {}).values(),
        key=lambda endpoint: endpoint.registration.born_ms,
        default=None,
    )


def usable(roster: Roster, service: str) -> list[Endpoint]:
    """Return the endpoints of a service that accept new requests."""
    return [
        endpoint
        for endpoint in roster.by_service.get(service, {}).values()
        if accepts_requests(roster, endpoint)
    ]


def total_slots(roster: Roster) -> int:
    """Return how many requests all endpoints together run concurrently."""
    return sum(
        endpoint.registration.slots for endpoint in roster.endpoints.values()
    )


def accepts_requests(roster: Roster, endpoint: Endpoint) -> bool:
    """Return whether an endpoint is ready and its data centre in service."""
    registration = endpoint.registration
    if registration.state is not EndpointState.ready:
        return False
    return registration.data_centre not in roster.out


def mark_address_taken(roster: Roster, endpoint: Endpoint) -> None:
    """Mark an endpoint whose address now belongs to another process.

    If the endpoint is a rank, all ranks of its group are marked: the group
    does not work until it has formed anew, which its ranks then register.
    """
    endpoint.address_taken = True
    group = _formation(endpoint)
    for peer in roster.endpoints.values():
        if group and _formation(peer) == group:
            peer.address_taken = True


def closed(endpoint: Endpoint) -> bool:
    """Return whether an endpoint is gone or its rank group does not work."""
    membership = endpoint.registration.membership
    return endpoint.address_taken or not (
        membership is None or membership.is_open
    )


def is_forming(roster: Roster, service: str, now_s: float) -> bool:
    """Return whether a closed rank group of a service may soon work again.

    That is assumed for ``FORMING_S`` after this process has seen a new
    rank of the group.
    """
    ranks = [
        endpoint
        for endpoint in usable(roster, service)
        if endpoint.registration.membership is not None and closed(endpoint)
    ]
    return any(now_s - rank.first_seen_s < FORMING_S for rank in ranks)


def restarted(before: Registration, after: Registration) -> bool:
    """Return whether a registration is that of another start of an endpoint."""
    if before.address != after.address:
        return True
    return 0 < before.born_ms < after.born_ms


def _add(roster: Roster, endpoint: Endpoint) -> None:
    registration = endpoint.registration
    name = registration.endpoint
    roster.endpoints[name] = endpoint
    roster.by_address.setdefault(registration.address, {})[name] = endpoint
    roster.by_service.setdefault(registration.service, {})[name] = endpoint
    roster.changes += 1


def _remove(roster: Roster, name: str) -> None:
    endpoint = roster.endpoints.pop(name, None)
    if endpoint is None:
        return
    registration = endpoint.registration
    same_address = roster.by_address[registration.address]
    same_address.pop(name)
    if not same_address:
        roster.by_address.pop(registration.address)
    roster.by_service[registration.service].pop(name)
    roster.changes += 1


def _formation(endpoint: Endpoint) -> tuple[str, int] | None:
    membership = endpoint.registration.membership
    return (membership.group, membership.epoch) if membership else None
