"""Which service a request goes to, and why."""

import attrs

from camphorstair_core import errors, rules

COMPLETIONS_PATH = '/v1/chat/completions'


@attrs.define(frozen=True)
class Decision:
    """Where a request goes.

    :ivar service: The service that answers it.
    :ivar idempotent: Whether a second run does no harm.
    :ivar priority: The priority of its organisation.
    :ivar line: The line of the rules file that decided.
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
    """Find the service for a request.

    :param rule_set: The rules in force.
    :param organisation: The caller's organisation.
    :param method: HTTP method.
    :param path: HTTP path without query.
    :param model: The model that the body names, if any.
    :raises errors.RequestError: if no rule admits the request.
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
