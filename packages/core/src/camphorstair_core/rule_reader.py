"""Parses the rules file."""

from collections import abc

import attrs

from camphorstair_core import rule_lines, rule_verbs, rules

SLICE_LINES = 200

_VERBS_WITH_SERVICE = ('model', 'route')


@attrs.define(frozen=True)
class _Reference:
    """A reference to a service, checked once all lines are read.

    :ivar line: Line number, from 1.
    :ivar column: Column number, from 1.
    :ivar service: Name of the service.
    """

    line: int
    column: int
    service: str


@attrs.define
class ParsedRules:
    """Result of parsing a rules file, filled in while it is read.

    :ivar rule_set: The rules without fault read so far.
    :ivar faults: Every fault found so far; sorted by position once the whole
        file is read.
    """

    rule_set: rules.RuleSet = attrs.field(factory=rules.RuleSet)
    faults: list[rule_lines.RuleError] = attrs.field(factory=list)


def parse(text: str) -> tuple[rules.RuleSet, list[rule_lines.RuleError]]:
    """Parse a rules file.

    :param text: The whole text of the file.
    :returns: The rules and every fault found, sorted by position.
    """
    parsed = read(text)
    return parsed.rule_set, parsed.faults


def read(text: str) -> ParsedRules:
    """Parse a rules file without pauses."""
    parsed = ParsedRules()
    list(parse_slices(text, parsed))
    return parsed


def parse_slices(text: str, parsed: ParsedRules) -> abc.Iterator[None]:
    """Parse a rules file in slices, so that the caller can do other work.

    Yields after every ``SLICE_LINES`` lines.

    :param text: The whole text of the file.
    :param parsed: Receives the rules and faults; complete when the iterator
        is exhausted.
    """
    references: list[_Reference] = []
    for number, line in enumerate(text.split('\n'), start=1):
        try:
            _read_line(parsed.rule_set, references, number, line)
        except rule_lines.RuleError as fault:
            parsed.faults.append(fault)
        if number % SLICE_LINES == 0:
            yield
    parsed.faults.extend(_undefined_service_faults(parsed.rule_set, references))
    parsed.faults.sort(key=lambda fault: (fault.line, fault.column))


def _read_line(
    rule_set: rules.RuleSet,
    references: list[_Reference],
    number: int,
    text: str,
) -> None:
    """Parse a line into the rules and add its reference to a service."""
    line = rule_lines.split_line(number, text)
    if line is None:
        return
    service = line.setting(rule_verbs.SERVICE)
    if service is not None and line.verb in _VERBS_WITH_SERVICE:
        column = rule_verbs.column(line, rule_verbs.SERVICE)
        references.append(_Reference(number, column, service))
    rule_verbs.read_rule(rule_set, line)


def _undefined_service_faults(
    rule_set: rules.RuleSet,
    references: list[_Reference],
) -> list[rule_lines.RuleError]:
    """Return a fault for each reference to a service that is not defined."""
    defined_services = list(rule_set.services)
    return [
        rule_lines.RuleError(
            reference.line,
            reference.column,
            rule_verbs.unknown('service', reference.service, defined_services),
        )
        for reference in references
        if reference.service not in rule_set.services
    ]
