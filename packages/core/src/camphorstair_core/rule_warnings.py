"""Warnings about valid rules that can never apply."""

import attrs

from camphorstair_core import routing, rule_lines, rule_verbs, rules


@attrs.define
class KnownNames:
    """Names on the VM list that rules may refer to.

    :ivar data_centres: Names of the data centres.
    :ivar endpoints: Names of the endpoint VMs.
    """

    data_centres: list[str]
    endpoints: list[str]


def find(
    rule_set: rules.RuleSet,
    known_names: KnownNames | None = None,
) -> list[rule_lines.RuleError]:
    """Return a warning for each rule that can never apply, in line order.

    :param rule_set: Rules without faults.
    :param known_names: The names on the VM list; None if the list was not
        read; the names in the rules are then not checked.
    """
    warnings = [
        *_shadowed_routes(rule_set),
        *_unused_services(rule_set),
        *_unreachable_models(rule_set),
    ]
    if known_names is not None:
        warnings.extend(_unknown_names(rule_set, known_names))
    return sorted(warnings, key=lambda warning: warning.line)


def _shadowed_routes(rule_set: rules.RuleSet) -> list[rule_lines.RuleError]:
    """Return a warning for each route that an earlier route covers."""
    shadowed = []
    for position, route in enumerate(rule_set.routes):
        for earlier in rule_set.routes[:position]:
            if _covers(earlier, route):
                message = (
                    f'route never applies: line {earlier.line} takes precedence'
                )
                shadowed.append(rule_lines.RuleError(route.line, 1, message))
                break
    return shadowed


def _covers(earlier: rules.Route, later: rules.Route) -> bool:
    """Return whether an earlier route matches every request of a later one."""
    if earlier.method not in {'*', later.method}:
        return False
    if not earlier.admits(later.organisation, later.model):
        return False
    if earlier.path.endswith('*'):
        prefix = earlier.path[:-1]
        return later.path.removesuffix('*').startswith(prefix)
    return earlier.path == later.path


def _unused_services(rule_set: rules.RuleSet) -> list[rule_lines.RuleError]:
    """Return a warning for each service that no route or model refers to."""
    used = {route.service for route in rule_set.routes}
    used.update(rule_set.models.values())
    return [
        rule_lines.RuleError(
            service.line,
            1,
            f'no route or model leads to service "{service.name}"',
        )
        for service in rule_set.services.values()
        if service.name not in used
    ]


def _unreachable_models(
    rule_set: rules.RuleSet,
) -> list[rule_lines.RuleError]:
    """Return a warning for each model if no route matches its requests.

    These are POST requests for ``routing.COMPLETIONS_PATH``.
    """
    path = routing.COMPLETIONS_PATH
    if any(route.matches('POST', path) for route in rule_set.routes):
        return []
    return [
        rule_lines.RuleError(
            line,
            1,
            f'model "{name}" is never asked for: no route for POST {path}',
        )
        for name, line in rule_set.model_lines.items()
    ]


def _unknown_names(
    rule_set: rules.RuleSet,
    known_names: KnownNames,
) -> list[rule_lines.RuleError]:
    """Return a warning for each name that is not on the VM list."""
    # Line number of the rule that sets the limits of each endpoint.
    limits = {name: limit.line for name, limit in rule_set.endpoints.items()}
    tables = (
        ('data centre', rule_set.data_centres_out, known_names.data_centres),
        ('endpoint', rule_set.endpoints_out, known_names.endpoints),
        ('endpoint', limits, known_names.endpoints),
        ('endpoint', rule_set.fencing_lines, known_names.endpoints),
    )
    return [
        rule_lines.RuleError(line, 1, rule_verbs.unknown(kind, name, names))
        for kind, table, names in tables
        for name, line in table.items()
        if name not in names
    ]
