"""The rules of a configuration.

Services, models, organisations, routes, outages and limits of endpoints.
"""

import enum

import attrs


class Priority(enum.IntEnum):
    """Priority of an organisation's requests."""

    low = 0
    normal = 1
    high = 2


class ServiceKind(enum.StrEnum):
    """Kind of the endpoints of a service."""

    engine = 'engine'
    plain = 'plain'


@attrs.define(frozen=True)
class Service:
    """A service and the limits of each of its endpoints.

    ``RuleSet.endpoints`` also uses this class, for the limits that the rules
    set for a single endpoint; ``kind`` is then always ``plain``.

    :ivar name: Name of the service or endpoint.
    :ivar kind: Kind of the endpoints.
    :ivar in_flight: Maximum of requests in flight at one endpoint.
    :ivar cold_in_flight: The same maximum while the endpoint is cold.
    :ivar line: Line number of the rule.
    """

    name: str
    kind: ServiceKind
    in_flight: int
    cold_in_flight: int
    line: int


@attrs.define(frozen=True)
class Organisation:
    """A customer.

    :ivar name: Name of the organisation.
    :ivar in_flight: Maximum of requests in flight over all entries.
    :ivar priority: Priority of the organisation's requests.
    :ivar line: Line number of the rule.
    """

    name: str
    in_flight: int
    priority: Priority
    line: int


@attrs.define(frozen=True)
class Route:
    """Maps requests to a service.

    :ivar path: HTTP path; a final ``*`` matches any suffix.
    :ivar method: HTTP method, or ``*`` for all.
    :ivar service: Name of the service.
    :ivar idempotent: Whether a request may safely run more than once.
    :ivar line: Line number of the rule.
    :ivar organisation: The only organisation that the route applies to; empty
        for all.
    :ivar model: The only model that the route applies to; empty for all.
    """

    path: str
    method: str
    service: str
    idempotent: bool
    line: int
    organisation: str = ''
    model: str = ''

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route applies to a method and a path."""
        if self.method not in {'*', method}:
            return False
        if self.path.endswith('*'):
            return path.startswith(self.path[:-1])
        return path == self.path

    def admits(self, organisation: str, model: str | None) -> bool:
        """Return whether the route applies to an organisation and a model."""
        if self.organisation not in {'', organisation}:
            return False
        return self.model in {'', model}


@attrs.define
class RuleSet:
    """All rules of one configuration.

    Each mapping is keyed by the name that the rule defines or refers to.

    :ivar services: The services.
    :ivar models: The service of each model.
    :ivar model_lines: Line number of each model's rule.
    :ivar organisations: The organisations.
    :ivar routes: The routes in line order; the first that matches applies.
    :ivar endpoints: Limits of single endpoints, which replace those of the
        service.
    :ivar data_centres_out: The data centres that are out of service, each with
        the line number of the rule that takes it out.
    :ivar endpoints_out: The endpoints that are out of service, each with the
        line number of the rule that takes it out.
    :ivar checked_fencing: Whether each endpoint is declared to check fencing
        numbers, which increase with each new lease, so that orders under an
        older lease can be refused.
    :ivar fencing_lines: Line number of each rule about an endpoint's fencing.
    """

    services: dict[str, Service] = attrs.field(factory=dict)
    models: dict[str, str] = attrs.field(factory=dict)
    model_lines: dict[str, int] = attrs.field(factory=dict)
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    routes: list[Route] = attrs.field(factory=list)
    endpoints: dict[str, Service] = attrs.field(factory=dict)
    data_centres_out: dict[str, int] = attrs.field(factory=dict)
    endpoints_out: dict[str, int] = attrs.field(factory=dict)
    checked_fencing: dict[str, bool] = attrs.field(factory=dict)
    fencing_lines: dict[str, int] = attrs.field(factory=dict)
