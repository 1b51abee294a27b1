"""The operators' configuration: routes, services, organisations and keys."""

import enum

import attrs

from camphorstair_core import caller_limits


class RequestKind(enum.StrEnum):
    """What may be done with a request whose outcome is unknown."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@attrs.frozen
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests of a host and a path prefix go.

    :ivar name: The name of the route.
    :ivar host: The host in lower case, without a port.
    :ivar prefix: The path prefix; begins and ends with a slash.
    :ivar kind: What may be repeated.
    :ivar timeout_s: Longest time until the final answer.
    :ivar target_s: Time until the first part of a timely answer.
    :ivar gap_target_s: Longest pause of a timely stream; 0 if none is set.
    :ivar priority: Rank of its requests; 0 is the most urgent.
    :ivar services: The services with their weights.
    :ivar max_attempts: Most endpoints that one request may be sent to.
    :ivar public: Whether requests need no key.
    :ivar resumable: Whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    gap_target_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    public: bool
    resumable: bool

    def repeatable(self) -> bool:
        """Tell whether a second run of a request does no harm."""
        if self.kind is RequestKind.streaming:
            return self.resumable
        return self.kind is RequestKind.idempotent


@attrs.frozen
class EngineProfile:
    """Costs of a model engine.

    :ivar slots: Requests that run at once.
    :ivar kv_tokens: Tokens that the memory holds.
    :ivar stride: Token steps of a pass with writers.
    :ivar step_s: Least time of a token step.
    :ivar per_sequence_s: Added time of a step for each running request.
    :ivar context_per_token_s: Added time of a step for each context token.
    :ivar read_tokens_per_s: Speed of reading prompts.
    :ivar pair_s: Reading time of a pair of a token and an earlier one.
    :ivar usual_prompt_tokens: Mean length of prompts.
    :ivar usual_answer_tokens: Mean length of answers.
    :ivar set_count: Sets of experts.
    :ivar expert_count: Experts of a set; 0 if it is no expert model.
    :ivar place_count: Most experts of a set at one rank.
    :ivar spare_count: Most experts of a set that a new map may add to a rank.
    :ivar expert_mb: Size of an expert.
    :ivar expert_share: Share of the work for tokens that goes to experts.
    :ivar link_mbps: Speed at which experts are copied.
    """

    slots: int
    kv_tokens: int
    stride: int
    step_s: float
    per_sequence_s: float
    context_per_token_s: float
    read_tokens_per_s: float
    pair_s: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    set_count: int
    expert_count: int
    place_count: int
    spare_count: int
    expert_mb: float
    expert_share: float
    link_mbps: float


@attrs.frozen
class Service:
    """A group of endpoints that answer the same requests.

    :ivar name: The name of the service.
    :ivar max_connections: Most connections of all callers to an endpoint.
    :ivar cold_per_s: Requests a second that a cold endpoint bears.
    :ivar engine: Costs of its model engine, or None for a plain service.
    """

    name: str
    max_connections: int
    cold_per_s: float
    engine: EngineProfile | None


@attrs.frozen
class Organisation:
    """Who holds a key.

    :ivar name: The name that endpoints see.
    :ivar priority: Rank of its requests, before that of the route; None
        leaves the route's.
    """

    name: str
    priority: int | None


@attrs.frozen
class Catalogue:
    """One version of the configuration.

    :ivar version: Its number; higher versions are newer.
    :ivar routes: The routes of each host, longest prefixes first.
    :ivar services: The services by name.
    :ivar organisations: The organisations by key; None if no keys are used.
    :ivar limits: Limits for callers.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: caller_limits.CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: The host as sent; a port is ignored.
        :param path: The path without the query.
        """
        name = host.partition(':')[0].lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def group_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, longest prefixes first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in grouped.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
