"""Reads the rules file."""

from collections import abc

import attrs

from camphorstair_core import rule_lines, rule_verbs, rules

SLICE_LINES = 200

_REFERRING = ('model', 'route')


@attrs.define(frozen=True)
class _Reference:
    """A place that names a service."""

    line: int
    column: int
    service: str


@attrs.define
class Reading:
    """What a rules file says, as far as it is read.

    :ivar rule_set: The rules.
    :ivar faults: Every fault found, in the order of lines at the end.
    """

    rule_set: rules.RuleSet = attrs.field(factory=rules.RuleSet)
    faults: list[rule_lines.RuleError] = attrs.field(factory=list)


def parse(text: str) -> tuple[rules.RuleSet, list[rule_lines.RuleError]]:
    """Read a rules file.

    :param text: The whole file.
    :returns: The rules and every fault found, in the order of lines.
    """
    reading = read(text)
    return reading.rule_set, reading.faults


def read(text: str) -> Reading:
    """Read a rules file at once."""
    reading = Reading()
    list(read_slices(text, reading))
    return reading


def read_slices(text: str, reading: Reading) -> abc.Iterator[None]:
    """Read a rules file in slices, between which the caller may do others.

    :param text: The whole file.
    :param reading: Takes the rules; complete when the iterator ends.
    """
    references: list[_Reference] = []
    for number, line in enumerate(text.split('\n'), start=1):
        try:
            _read_line(reading.rule_set, references, number, line)
        except rule_lines.RuleError as fault:
            reading.faults.append(fault)
        if number % SLICE_LINES == 0:
            yield
    reading.faults.extend(_undefined_services(reading.rule_set, references))
    reading.faults.sort(key=lambda fault: (fault.line, fault.column))


def _read_line(
    rule_set: rules.RuleSet,
    references: list[_Reference],
    number: int,
    text: str,
) -> None:
    line = rule_lines.split_line(number, text)
    if line is None:
        return
    service = line.setting(rule_verbs.SERVICE)
    if service is not None and line.verb in _REFERRING:
        column = rule_verbs.column(line, rule_verbs.SERVICE)
        references.append(_Reference(number, column, service))
    rule_verbs.read_rule(rule_set, line)


def _undefined_services(
    rule_set: rules.RuleSet,
    references: list[_Reference],
) -> list[rule_lines.RuleError]:
    known = list(rule_set.services)
    return [
        rule_lines.RuleError(
            reference.line,
            reference.column,
            rule_verbs.unknown('service', reference.service, known),
        )
        for reference in references
        if reference.service not in rule_set.services
    ]
