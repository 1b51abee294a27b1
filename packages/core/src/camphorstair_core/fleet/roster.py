"""The endpoints that have registered, and which of them may be used."""

import enum

import attrs

# A group whose last rank has come back works again within this time.
FORMING_S = 1.0


class EndpointState(enum.StrEnum):
    """What an endpoint says of itself."""

    ready = 'ready'
    draining = 'draining'


@attrs.frozen
class GroupMembership:
    """The place of an endpoint in a rank group.

    :ivar group: The name of the group.
    :ivar epoch: Number of the group's formation; a new one forgets all maps.
    :ivar rank: The rank of the endpoint.
    :ivar size: Number of ranks.
    :ivar is_open: Whether the group works.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


@attrs.frozen
class Registration:
    """What an endpoint registered in the store.

    :ivar endpoint: Its identifier.
    :ivar address: ``IP:port``.
    :ivar cold_s: How much longer it was cold when it registered this.
    :ivar born_ms: Start of its process, ms since the epoch; 0 if unknown.
    :ivar slots: Requests that it runs at once.
    :ivar membership: Its place in a rank group, or None.
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
    """A registered endpoint as this process knows it.

    :ivar registration: Its last registration.
    :ivar cold_deadline_s: Until when it is cold.
    :ivar absent_deadline_s: When it counts as gone, if its registration
        lapsed around an outage of the store; None while it is registered.
    :ivar known_s: When this process got to know it.
    :ivar disproved: Whether an answer from its address showed that it is gone.
    """

    registration: Registration
    known_s: float = 0
    cold_deadline_s: float = 0
    absent_deadline_s: float | None = None
    disproved: bool = False


@attrs.define
class Roster:
    """All endpoints, and the data centres that are taken out.

    :ivar endpoints: The endpoints by identifier.
    :ivar out: Data centres to which nothing is sent.
    """

    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    out: set[str] = attrs.field(factory=set)


def register(
    roster: Roster,
    registration: Registration,
    now_s: float,
) -> Endpoint:
    """Take over a registration.

    :returns: The endpoint; a restarted one is a new object.
    """
    name = registration.endpoint
    known = roster.endpoints.get(name)
    if known is None or _restarted(known.registration, registration):
        known = Endpoint(registration, now_s)
        roster.endpoints[name] = known
    known.registration = registration
    known.absent_deadline_s = None
    known.disproved = False
    known.cold_deadline_s = now_s + registration.cold_s
    return known


def unregister(
    roster: Roster,
    endpoint: str,
    absent_deadline_s: float | None,
) -> None:
    """Note that an endpoint's registration is gone.

    :param absent_deadline_s: Until when it may come back after an outage of
        the store; None if it has left.
    """
    known = roster.endpoints.get(endpoint)
    if known is None:
        return
    if absent_deadline_s is None:
        roster.endpoints.pop(endpoint)
    elif known.absent_deadline_s is None:
        known.absent_deadline_s = absent_deadline_s


def expire(roster: Roster, now_s: float) -> list[str]:
    """Remove the endpoints that did not come back; return their names."""
    gone = [
        name
        for name, one in roster.endpoints.items()
        if one.absent_deadline_s is not None and one.absent_deadline_s <= now_s
    ]
    for name in gone:
        roster.endpoints.pop(name)
    return gone


def usable(roster: Roster, service: str) -> list[Endpoint]:
    """Return the endpoints of a service that may get new requests."""
    return [
        one
        for one in roster.endpoints.values()
        if one.registration.service == service and _takes_work(roster, one)
    ]


def _takes_work(roster: Roster, endpoint: Endpoint) -> bool:
    registration = endpoint.registration
    if registration.state is not EndpointState.ready:
        return False
    return registration.data_centre not in roster.out


def disprove(roster: Roster, endpoint: Endpoint) -> None:
    """Note that another process answers at an endpoint's address.

    A rank group whose rank was replaced does not work until it has formed
    again, which its ranks register.
    """
    endpoint.disproved = True
    group = _group(endpoint)
    for one in roster.endpoints.values():
        if group and _group(one) == group:
            one.disproved = True


def closed(endpoint: Endpoint) -> bool:
    """Tell whether an endpoint is gone, or a rank of a closed group."""
    membership = endpoint.registration.membership
    return endpoint.disproved or not (membership is None or membership.is_open)


def forming(roster: Roster, service: str, now_s: float) -> bool:
    """Tell whether a closed rank group of a service is about to work again.

    Its last rank has just come back, as far as this process knows.
    """
    ranks = [
        one
        for one in usable(roster, service)
        if one.registration.membership is not None and closed(one)
    ]
    return any(now_s - one.known_s < FORMING_S for one in ranks)


def _group(endpoint: Endpoint) -> tuple[str, int] | None:
    membership = endpoint.registration.membership
    return (membership.group, membership.epoch) if membership else None


def _restarted(before: Registration, after: Registration) -> bool:
    if before.address != after.address:
        return True
    return 0 < before.born_ms < after.born_ms
