"""The rules file: faults with their place, and routes."""

import pytest

from camphorstair_core import errors, routing, rule_reader
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
        ('route path=/x service=absent  # me', '1:1: unknown service "absent"'),
        (
            'service name=a kind=plain in_flight=1 cold_in_flight=2  # me',
            '1:39: cold_in_flight 2 is above 1',
        ),
    ],
)
def test_a_fault_names_its_place(line: str, fault: str) -> None:
    faults = rule_reader.parse(line)[1]
    assert str(faults[0]).startswith(fault)


def test_all_faults_are_reported() -> None:
    faults = rule_reader.parse('a\nb\nc  # me\n')[1]
    assert [fault.line for fault in faults] == [1, 2, 3]


def test_a_booking_may_not_be_repeated() -> None:
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
def test_what_no_rule_admits_is_refused(
    organisation: str,
    path: str,
    model: str | None,
    code: errors.ErrorCode,
) -> None:
    rule_set = rule_reader.parse(sites.LEVIS_RULES)[0]
    with pytest.raises(errors.RequestError) as refusal:
        routing.decide(rule_set, organisation, 'POST', path, model)
    assert refusal.value.code is code
