"""The operators' configuration: routes, services, organisations and keys."""

import enum

import attrs

from camphorstair_core import caller_limits


class RequestKind(enum.StrEnum):
    """Whether a request may be repeated when its outcome is unknown."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's requests.

    :ivar service: The name of the service.
    :ivar weight: Its share, relative to the route's other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """The routing of requests that match a host and a path prefix.

    :ivar name: The name of the route.
    :ivar host: The host in lower case, without a port.
    :ivar prefix: The path prefix; begins and ends with a slash.
    :ivar kind: Whether its requests may be repeated.
    :ivar timeout_s: Time limit for the whole answer.
    :ivar target_s: Target latency of the first part of an answer.
    :ivar gap_target_s: Target for the longest gap between the parts of a
        stream; 0 if none is set.
    :ivar priority: Priority of its requests; 0 is the most urgent.
    :ivar services: The services with their weights.
    :ivar max_attempts: Maximum number of endpoints that a request is sent to.
    :ivar public: Whether requests are accepted without a key.
    :ivar resumable: Whether an interrupted stream may be resumed at another
        endpoint.
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
        """Return whether a request may safely run more than once."""
        if self.kind is RequestKind.streaming:
            return self.resumable
        return self.kind is RequestKind.idempotent


@attrs.frozen
class EngineProfile:
    """The capacity and the cost model of a model engine.

    :ivar slots: Maximum number of requests that run concurrently.
    :ivar kv_tokens: Capacity of the KV cache in tokens.
    :ivar stride: Decoding steps per pass while any request is decoding.
    :ivar step_s: Minimum time of a decoding step.
    :ivar per_sequence_s: Added time of a step for each running request.
    :ivar context_per_token_s: Added time of a step for each context token.
    :ivar read_tokens_per_s: Speed of prompt processing (prefill).
    :ivar pair_s: Prefill time for each pair of a token and an earlier token.
    :ivar usual_prompt_tokens: Mean length of prompts.
    :ivar usual_answer_tokens: Mean length of answers.
    :ivar set_count: Number of sets of experts.
    :ivar expert_count: Experts per set; 0 for a model without experts.
    :ivar place_count: Maximum number of experts of a set at one rank.
    :ivar spare_count: Maximum number of experts of a set that a new map may
        add to a rank.
    :ivar expert_mb: Size of an expert.
    :ivar expert_share: Fraction of the work per token that experts do.
    :ivar link_mbps: Transfer rate at which experts are copied.
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
    :ivar max_connections: Maximum number of connections to an endpoint, over
        all callers.
    :ivar cold_per_s: Requests per second that a cold endpoint can handle.
    :ivar engine: The profile of its model engine; None for a service without
        a model.
    """

    name: str
    max_connections: int
    cold_per_s: float
    engine: EngineProfile | None


@attrs.frozen
class Organisation:
    """The customer that a key belongs to.

    :ivar name: The name that is sent to endpoints.
    :ivar priority: Priority of its requests, which overrides the route's;
        None to use the route's priority.
    """

    name: str
    priority: int | None


@attrs.frozen
class Catalogue:
    """One version of the configuration.

    :ivar version: The version number; a higher number is newer.
    :ivar routes: The routes of each host, longest prefixes first.
    :ivar services: The services by name.
    :ivar organisations: The organisations by key; None if keys are not
        required.
    :ivar limits: Limits on what callers may send.
    :ivar ranked_services: Services whose routes have two or more different
        priorities, so that their requests compete by priority.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: caller_limits.CallerLimits
    ranked_services: frozenset[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Find the ranked services."""
        ranked = _ranked_services(self.routes)
        object.__setattr__(self, 'ranked_services', ranked)

    def is_ranked(self, service: str) -> bool:
        """Return whether the routes of a service have different priorities."""
        return service in self.ranked_services

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None.

        :param host: The host as sent by the caller; a port is ignored.
        :param path: The path without the query.
        """
        name = host.partition(':')[0].lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def group_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, longest prefixes first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in grouped.items()
    }


def _ranked_services(
    routes: dict[str, tuple[Route, ...]],
) -> frozenset[str]:
    priorities: dict[str, set[int]] = {}
    for host_routes in routes.values():
        for route in host_routes:
            for share in route.services:
                priorities.setdefault(share.service, set()).add(route.priority)
    return frozenset(
        service for service, found in priorities.items() if len(found) > 1
    )


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
