"""The rules in force: services, models, organisations, routes and outages."""

import enum

import attrs


class Priority(enum.IntEnum):
    """Priority of an organisation's requests."""

    low = 0
    normal = 1
    high = 2


class ServiceKind(enum.StrEnum):
    """What stands behind the agents of a service."""

    engine = 'engine'
    plain = 'plain'


@attrs.define(frozen=True)
class Service:
    """A service and the limits of each of its endpoints."""

    name: str
    kind: ServiceKind
    in_flight: int
    cold_in_flight: int
    line: int


@attrs.define(frozen=True)
class Organisation:
    """A customer and its limit over all entries."""

    name: str
    in_flight: int
    priority: Priority
    line: int


@attrs.define(frozen=True)
class Route:
    """Sends a path to a service.

    :ivar path: Path; with a final ``*`` all paths that start so.
    :ivar method: HTTP method, or ``*``.
    :ivar idempotent: Whether a second run does no harm.
    :ivar organisation: The only organisation it is for, or empty.
    :ivar model: The only model it is for, or empty.
    """

    path: str
    method: str
    service: str
    idempotent: bool
    line: int
    organisation: str = ''
    model: str = ''

    def matches(self, method: str, path: str) -> bool:
        """Tell whether the route is for a method and a path."""
        if self.method not in {'*', method}:
            return False
        if self.path.endswith('*'):
            return path.startswith(self.path[:-1])
        return path == self.path

    def admits(self, organisation: str, model: str | None) -> bool:
        """Tell whether the route is for an organisation and a model."""
        if self.organisation not in {'', organisation}:
            return False
        return self.model in {'', model}


@attrs.define
class RuleSet:
    """All rules of one configuration, in tables by name.

    :ivar models: Service of each model.
    :ivar model_lines: Line of each model's rule.
    :ivar data_centres_out: Line of the rule that takes a data centre out.
    :ivar endpoints_out: Line of the rule that takes an endpoint out.
    :ivar fencing_lines: Line of each rule on an endpoint's fencing.
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
