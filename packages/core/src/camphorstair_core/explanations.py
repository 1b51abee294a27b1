"""Which lines of the rules decide about a request, and why."""

import attrs

from camphorstair_core import errors, routing, rules


@attrs.define(frozen=True)
class Step:
    """One line that took part in a decision.

    :ivar line: Its number, or 0 if no line decided.
    :ivar reason: What it decided.
    """

    line: int
    reason: str


@attrs.define(frozen=True)
class Request:
    """A request to explain.

    :ivar model: The model that its body names, if any.
    """

    organisation: str
    method: str
    path: str
    model: str | None = None


def explain(rule_set: rules.RuleSet, request: Request) -> list[Step]:
    """Return the lines that decide about a request, in the order they do.

    The same decision as an entry takes; a refusal is the last step.
    """
    steps: list[Step] = []
    customer = rule_set.organisations.get(request.organisation)
    if customer is not None:
        steps.append(
            Step(
                customer.line,
                f'organisation "{customer.name}": at most'
                f' {customer.in_flight} in flight,'
                f' priority {customer.priority.name}',
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
    steps.extend(_routed(rule_set, request, decision))
    steps.extend(_outages(rule_set))
    return steps


def _routed(
    rule_set: rules.RuleSet,
    request: Request,
    decision: routing.Decision,
) -> list[Step]:
    route = next(one for one in rule_set.routes if one.line == decision.line)
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
    reason = f'each endpoint of "{service.name}" takes {limits}'
    return [*steps, Step(service.line, reason)]


def _outages(rule_set: rules.RuleSet) -> list[Step]:
    steps = [
        Step(line, f'not in data centre "{name}": it is out')
        for name, line in rule_set.data_centres_out.items()
    ]
    steps.extend(
        Step(line, f'not to endpoint "{name}": it is out')
        for name, line in rule_set.endpoints_out.items()
    )
    return steps
