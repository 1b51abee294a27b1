"""Selects the service for a request according to the rules."""

import attrs

from camphorstair_core import errors, rules

COMPLETIONS_PATH = '/v1/chat/completions'


@attrs.define(frozen=True)
class Decision:
    """The result of routing a request.

    :ivar service: The service that processes the request.
    :ivar idempotent: Whether the request may safely run more than once.
    :ivar priority: The priority of the caller's organisation.
    :ivar line: Line number of the matching route in the rules file.
    """

    service: rules.Service
    idempotent: bool
    priority: rules.Priority
    line: int


def decide(
    rule_set: rules.RuleSet,
    organisation: str,
    method: str,
    path: str,
    model: str | None,
) -> Decision:
    """Return the routing decision for a request.

    The first route that matches decides. For chat completions on a route that
    does not name a model, the model in the body selects the service.

    :param rule_set: The rules in force.
    :param organisation: The caller's organisation.
    :param method: HTTP method.
    :param path: HTTP path without query.
    :param model: The model that the body names, if any.
    :raises errors.RequestError: if the organisation or the model is in no
        rule, or no route matches.
    """
    customer = rule_set.organisations.get(organisation)
    if customer is None:
        raise errors.RequestError(
            errors.unknown_organisation,
            f'organisation "{organisation}" is in no rule',
        )
    candidates = [
        route for route in rule_set.routes if route.admits(organisation, model)
    ]
    route = _find_route(candidates, method, path)
    service = route.service
    if path == COMPLETIONS_PATH and model is not None and not route.model:
        service = _find_model(rule_set, model)
    return Decision(
        rule_set.services[service],
        route.idempotent,
        customer.priority,
        route.line,
    )


def _find_route(
    routes: list[rules.Route],
    method: str,
    path: str,
) -> rules.Route:
    for route in routes:
        if route.matches(method, path):
            return route
    raise errors.RequestError(
        errors.unknown_path,
        f'no route for {method} {path}',
    )


def _find_model(rule_set: rules.RuleSet, model: str) -> str:
    service = rule_set.models.get(model)
    if service not in rule_set.services:
        raise errors.RequestError(
            errors.unknown_model,
            f'model "{model}" is in no rule',
        )
    return service
