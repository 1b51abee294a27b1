"""Rules without fault that can never apply."""

import attrs

from camphorstair_core import routing, rule_lines, rule_verbs, rules


@attrs.define
class KnownNames:
    """Names of the VM list, to which rules may refer.

    :ivar data_centres: Data centres.
    :ivar endpoints: Names of endpoint VMs.
    """

    data_centres: list[str]
    endpoints: list[str]


def find(
    rule_set: rules.RuleSet,
    known: KnownNames | None = None,
) -> list[rule_lines.RuleError]:
    """Return a warning for each rule that can never apply.

    :param rule_set: Rules without fault.
    :param known: The names of the VM list, if it was read.
    """
    found = [
        *_shadowed(rule_set),
        *_unused_services(rule_set),
        *_unreachable_models(rule_set),
    ]
    if known is not None:
        found.extend(_unknown_names(rule_set, known))
    return sorted(found, key=lambda warning: warning.line)


def _shadowed(rule_set: rules.RuleSet) -> list[rule_lines.RuleError]:
    found = []
    for number, route in enumerate(rule_set.routes):
        for earlier in rule_set.routes[:number]:
            if _covers(earlier, route):
                message = f'route never applies: line {earlier.line} is first'
                found.append(rule_lines.RuleError(route.line, 1, message))
                break
    return found


def _covers(earlier: rules.Route, later: rules.Route) -> bool:
    """Tell whether all that a route matches is matched by an earlier one."""
    if earlier.method not in {'*', later.method}:
        return False
    if not earlier.admits(later.organisation, later.model):
        return False
    if earlier.path.endswith('*'):
        prefix = earlier.path[:-1]
        return later.path.removesuffix('*').startswith(prefix)
    return earlier.path == later.path


def _unused_services(rule_set: rules.RuleSet) -> list[rule_lines.RuleError]:
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
    known: KnownNames,
) -> list[rule_lines.RuleError]:
    limits = {name: row.line for name, row in rule_set.endpoints.items()}
    tables = (
        ('data centre', rule_set.data_centres_out, known.data_centres),
        ('endpoint', rule_set.endpoints_out, known.endpoints),
        ('endpoint', limits, known.endpoints),
        ('endpoint', rule_set.fencing_lines, known.endpoints),
    )
    return [
        rule_lines.RuleError(line, 1, rule_verbs.unknown(what, name, names))
        for what, table, names in tables
        for name, line in table.items()
        if name not in names
    ]
