"""Explanation of a routing decision: the rules involved and their effect."""

import attrs

from camphorstair_core import errors, routing, rules


@attrs.define(frozen=True)
class Step:
    """The effect of one rule on a decision.

    :ivar line: Line number of the rule; 0 for a refusal, which no single
        rule causes.
    :ivar reason: The effect of the rule, or the reason of the refusal.
    """

    line: int
    reason: str


@attrs.define(frozen=True)
class Request:
    """A request whose routing is to be explained.

    :ivar organisation: Name of the caller's organisation.
    :ivar method: HTTP method.
    :ivar path: HTTP path without query.
    :ivar model: The model named in the request's body, or None.
    """

    organisation: str
    method: str
    path: str
    model: str | None = None


def explain(rule_set: rules.RuleSet, request: Request) -> list[Step]:
    """Return the rules that affect a request, in the order of evaluation.

    The decision is made by ``routing.decide``, as at an entry. If the request
    is refused, the refusal is the last step.

    :param rule_set: The rules in force.
    :param request: The request to explain.
    """
    steps: list[Step] = []
    organisation = rule_set.organisations.get(request.organisation)
    if organisation is not None:
        steps.append(
            Step(
                organisation.line,
                f'organisation "{organisation.name}": at most'
                f' {organisation.in_flight} in flight,'
                f' priority {organisation.priority.name}',
            ),
        )
    try:
        decision = routing.decide(
            rule_set,
            request.organisation,
            request.method,
            request.path,
            request.model,
        )
    except errors.RequestError as refusal:
        steps.append(Step(0, f'refused, {refusal}'))
        return steps
    steps.extend(_routing_steps(rule_set, request, decision))
    steps.extend(_outage_steps(rule_set))
    return steps


def _routing_steps(
    rule_set: rules.RuleSet,
    request: Request,
    decision: routing.Decision,
) -> list[Step]:
    """Return the steps for the route, the model and the service's limits."""
    route = next(
        route for route in rule_set.routes if route.line == decision.line
    )
    repeat = 'may' if decision.idempotent else 'must not'
    steps = [
        Step(
            route.line,
            f'first route that matches {request.method} {request.path}:'
            f' service "{route.service}", {repeat} be repeated',
        ),
    ]
    service = decision.service
    if service.name != route.service:
        steps.append(
            Step(
                rule_set.model_lines[request.model or ''],
                f'model "{request.model}" goes to service "{service.name}"'
                ' instead',
            ),
        )
    limits = f'{service.in_flight} in flight, {service.cold_in_flight} cold'
    reason = f'limits of each endpoint of "{service.name}": {limits}'
    return [*steps, Step(service.line, reason)]


def _outage_steps(rule_set: rules.RuleSet) -> list[Step]:
    """Return a step for each data centre and endpoint out of service."""
    steps = [
        Step(line, f'data centre "{name}" is excluded: out of service')
        for name, line in rule_set.data_centres_out.items()
    ]
    steps.extend(
        Step(line, f'endpoint "{name}" is excluded: out of service')
        for name, line in rule_set.endpoints_out.items()
    )
    return steps
