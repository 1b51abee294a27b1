"""The rules file: positions of faults, warnings and routing decisions."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core import (
    errors,
    explanations,
    routing,
    rule_reader,
    rule_warnings,
)
from camphorstair_standins import sites


def test_the_site_rules_have_no_fault() -> None:
    assert not rule_reader.parse(sites.LEVIS_RULES)[1]


@pytest.mark.parametrize(
    ('line', 'fault'),
    [
        ('model name=a service=b', '1:23: rule has no comment'),
        (
            'modle name=a  # me',
            '1:1: unknown rule "modle", did you mean "model"',
        ),
        ('model nam=a service=b  # me', '1:7: unknown setting "nam"'),
        ('model name=  # me', '1:7: "name=" is not of the form key=value'),
        (
            'organisation name=a in_flight=-1  # me',
            '1:21: in_flight must be a whole number above 0, not "-1"',
        ),
        (
            'route path=/x service=absent  # me',
            '1:15: unknown service "absent"',
        ),
        (
            'service name=a kind=plain in_flight=1 cold_in_flight=2  # me',
            '1:39: cold_in_flight 2 is above 1',
        ),
    ],
)
def test_rule_error_gives_line_and_column(line: str, fault: str) -> None:
    faults = rule_reader.parse(line)[1]
    assert str(faults[0]).startswith(fault)


def test_all_faults_are_reported() -> None:
    faults = rule_reader.parse('a\nb\nc  # me\n')[1]
    assert [fault.line for fault in faults] == [1, 2, 3]


def test_booking_route_is_not_idempotent() -> None:
    rule_set = rule_reader.parse(sites.LEVIS_RULES)[0]
    decision = routing.decide(rule_set, 'gravier', 'POST', '/bookings', None)
    assert decision.service.name == 'comptoir'
    assert not decision.idempotent


@pytest.mark.parametrize(
    ('organisation', 'path', 'model', 'code'),
    [
        ('nobody', '/bookings', None, errors.unknown_organisation),
        ('gravier', '/absent', None, errors.unknown_path),
        ('gravier', '/v1/chat/completions', 'absent', errors.unknown_model),
    ],
)
def test_request_without_matching_rule_is_refused(
    organisation: str,
    path: str,
    model: str | None,
    code: errors.ErrorCode,
) -> None:
    rule_set = rule_reader.parse(sites.LEVIS_RULES)[0]
    with pytest.raises(errors.RequestError) as error_info:
        routing.decide(rule_set, organisation, 'POST', path, model)
    assert error_info.value.code is code


SERVICE = 'service name=s kind=plain in_flight=2 cold_in_flight=1  # me\n'
ROUTE = 'route path=/a* service=s  # me\n'


@pytest.mark.parametrize(
    ('line', 'fault'),
    [
        ('model name=m service=ss  # me', '3:14: unknown service "ss", did'),
        (
            f'organisation name=a in_flight={"9" * 5000}  # me',
            '3:21: in_flight must be a whole number',
        ),
    ],
)
def test_invalid_rule_after_valid_ones_gives_line_and_column(
    line: str, fault: str
) -> None:
    faults = rule_reader.parse(f'{SERVICE}{ROUTE}{line}')[1]
    assert str(faults[0]).startswith(fault)


@pytest.mark.parametrize(
    ('line', 'warning'),
    [
        ('route path=/ab service=s  # me', 'route never applies: line 2'),
        ('route path=/ab* method=GET service=s  # me', 'route never applies'),
        (
            'service name=t kind=plain in_flight=2 cold_in_flight=1  # me',
            'no route or model leads to service "t"',
        ),
        ('model name=m service=s  # me', 'model "m" is never asked for'),
        (
            'out data_centre=charni  # me',
            'unknown data centre "charni", did you mean "charny"?',
        ),
        (
            'out endpoint=yard-2  # me',
            'unknown endpoint "yard-2", did you mean "yard-1"?',
        ),
        ('fencing endpoint=e2 checked=yes  # me', 'unknown endpoint "e2"'),
        (
            'limit endpoint=x in_flight=2 cold_in_flight=1  # me',
            'unknown endpoint "x"',
        ),
    ],
)
def test_a_rule_that_can_never_apply_is_a_warning(
    line: str,
    warning: str,
) -> None:
    known_names = rule_warnings.KnownNames(['charny'], ['yard-1'])
    rule_set, faults = rule_reader.parse(f'{SERVICE}{ROUTE}{line}')
    assert not faults
    rule_warnings_found = rule_warnings.find(rule_set, known_names)
    assert [rule_warning.line for rule_warning in rule_warnings_found] == [3]
    assert rule_warnings_found[0].message.startswith(warning)


@pytest.mark.parametrize(
    'line',
    [
        'route path=/a* service=s organisation=o  # me',
        'route path=/ab service=s method=GET  # me',
    ],
)
def test_a_narrower_route_first_shadows_nothing(line: str) -> None:
    rule_set = rule_reader.parse(f'{SERVICE}{line}\n{ROUTE}')[0]
    assert not rule_warnings.find(rule_set)


def test_a_route_may_be_for_one_organisation_and_model() -> None:
    rule_set, faults = rule_reader.parse(
        f'{SERVICE}{SERVICE.replace("name=s", "name=t")}'
        'organisation name=o in_flight=1  # me\n'
        'organisation name=p in_flight=1  # me\n'
        'route path=/a service=t organisation=o model=m  # me\n'
        f'{ROUTE}'
    )
    assert not faults
    for organisation, model, service in (
        ('o', 'm', 't'),
        ('o', 'n', 's'),
        ('p', 'm', 's'),
    ):
        decision = routing.decide(rule_set, organisation, 'GET', '/a', model)
        assert decision.service.name == service


def test_explain_names_the_lines_that_decide() -> None:
    rule_set = rule_reader.parse(sites.LEVIS_RULES)[0]
    lines = sites.LEVIS_RULES.split('\n')
    request = explanations.Request(
        'gravier', 'POST', '/v1/chat/completions', 'redacteur-8b'
    )
    steps = explanations.explain(rule_set, request)
    rule_kinds = [lines[step.line - 1].split(' ')[0] for step in steps]
    assert rule_kinds[:2] == ['organisation', 'route']
    unrouted = explanations.Request('gravier', 'GET', '/absent')
    last = explanations.explain(rule_set, unrouted)[-1]
    assert last.line == 0
    assert 'no route for GET /absent' in last.reason


WORDS = st.sampled_from(
    [
        'service',
        'model',
        'route',
        'out',
        'limit',
        'organisation',
        'fencing',
        'name=s',
        'kind=plain',
        'in_flight=3',
        'cold_in_flight=1',
        'service=s',
        'path=/a*',
        'data_centre=x',
        'endpoint=e',
        'checked=yes',
        'repeat=never',
        '=',
        '#',
        '# me',
        '\u2028',
        '\x1c',
        '\r',
    ],
)
LINE = st.lists(WORDS | st.text(max_size=4), max_size=7).map(' '.join)


@given(st.lists(LINE, max_size=6).map('\n'.join))
def test_the_reader_never_crashes_and_each_fault_has_a_place(
    text: str,
) -> None:
    lines = text.split('\n')
    rule_set, faults = rule_reader.parse(text)
    for fault in faults:
        assert 1 <= fault.line <= len(lines)
        assert 1 <= fault.column <= len(lines[fault.line - 1]) + 1
    rule_warnings.find(rule_set)
    request = explanations.Request('s', 'GET', '/a')
    explanations.explain(rule_set, request)


@given(st.lists(LINE, max_size=6).map('\n'.join))
def test_leading_comment_only_shifts_error_lines(text: str) -> None:
    """A comment line in front only shifts the line numbers of the faults."""
    first = rule_reader.parse(text)[1]
    second = rule_reader.parse(f'# a comment\n{text}')[1]
    moved = [attrs.evolve(fault, line=fault.line + 1) for fault in first]
    assert list(map(str, second)) == list(map(str, moved))
