"""Only the owner of an idempotency key can tell that a request did not run.

An entry, or an agent that doesn't own the key, must not report not_run for it:
the owner may have run an earlier attempt.
"""

import types
import typing

import attrs
import pytest

from camphorstair import agent_errors, callers
from camphorstair_core import errors, messages, rules, verdicts

REQUEST_START = messages.RequestStart(
    request_id='r',
    attempt=1,
    service='comptoir',
    organisation='gravier',
    priority=1,
    idempotent=False,
    idempotency_key='k',
    method='POST',
    path='/bookings',
    headers=[],
    body=b'',
    remaining_ms=1000,
)


@pytest.mark.parametrize(
    ('key', 'verdict'),
    [
        ('k', verdicts.Verdict.may_have_run),
        ('', verdicts.Verdict.not_run),
    ],
)
def test_organisation_limit_verdict_depends_on_idempotency_key(
    key: str,
    verdict: verdicts.Verdict,
) -> None:
    customer = rules.Organisation('gravier', 1, rules.Priority.normal, 1)
    rule_set = rules.RuleSet(organisations={'gravier': customer})
    holder = types.SimpleNamespace(rule_set=rule_set)
    entry: typing.Any = types.SimpleNamespace(
        state=types.SimpleNamespace(holder=holder),
        in_flight={'gravier': 1},
    )
    start = attrs.evolve(REQUEST_START, idempotency_key=key)
    with pytest.raises(errors.RequestError) as refusal:
        callers.check_organisation_limit(entry, start)
    assert refusal.value.verdict is verdict


@pytest.mark.parametrize(
    ('request_id', 'code', 'unknown'),
    [
        ('r', errors.overloaded, False),
        ('r', errors.not_owner, True),
        ('', errors.leaving, True),
    ],
)
def test_refusal_before_key_lookup_marks_key_unknown(
    request_id: str,
    code: errors.ErrorCode,
    unknown: bool,
) -> None:
    load = messages.LoadReport()
    refusal = messages.RequestRefused(request_id, code.name, '', 0, load)
    assert agent_errors.refused(refusal).key_unknown is unknown
