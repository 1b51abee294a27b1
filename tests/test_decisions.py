"""Tests of admission, answer assembly, configurations and retry verdicts."""

import pytest

from camphorstair_core import (
    admission,
    answers,
    configuration,
    errors,
    messages,
    verdicts,
)
from camphorstair_standins import sites


def test_new_endpoint_starts_with_cold_limit() -> None:
    endpoint_admission = admission.Admission()
    assert admission.refusal(endpoint_admission) == 'overloaded'
    admission.set_limits(endpoint_admission, 8, 2)
    assert endpoint_admission.limit == 2


def test_only_complete_responses_raise_admission_limit() -> None:
    endpoint_admission = admission.Admission()
    admission.set_limits(endpoint_admission, 8, 2)
    admission.set_watched(endpoint_admission, watched=True)
    needed = admission.WARM_ANSWERS + admission.RAMP_ANSWERS
    limits = []
    for number in range(1, needed + 1):
        for outcome in (
            admission.Outcome.given_up,
            admission.Outcome.whole,
        ):
            generation = admission.start(endpoint_admission)
            now_s = number * admission.COLD_HOLD_S
            admission.finish(endpoint_admission, generation, outcome, now_s)
        limits.append(endpoint_admission.limit)
    assert set(limits[:-1]) == {2}
    assert limits[-1] == 3


def warm_admission() -> admission.Admission:
    """Return the admission of an endpoint at its full limit."""
    endpoint_admission = admission.Admission()
    admission.set_limits(endpoint_admission, 8, 2)
    admission.set_watched(endpoint_admission, watched=True)
    answers_needed = admission.WARM_ANSWERS + 6 * admission.RAMP_ANSWERS
    for number in range(1, answers_needed + 1):
        generation = admission.start(endpoint_admission)
        admission.record_first_part(endpoint_admission, generation, 0.1)
        now_s = number * admission.COLD_HOLD_S
        admission.finish(
            endpoint_admission, generation, admission.Outcome.whole, now_s
        )
    assert endpoint_admission.limit == 8
    return endpoint_admission


def test_broken_response_resets_limit_to_cold() -> None:
    endpoint_admission = warm_admission()
    older_generation = admission.start(endpoint_admission)
    broken = admission.start(endpoint_admission)
    admission.finish(endpoint_admission, broken, admission.Outcome.broken, 1000)
    assert endpoint_admission.limit == 2
    admission.finish(
        endpoint_admission, older_generation, admission.Outcome.whole, 1000
    )
    assert endpoint_admission.warm_answers == 0


def test_unwatched_endpoint_becomes_cold_when_response_ends() -> None:
    endpoint_admission = warm_admission()
    running = admission.start(endpoint_admission)
    admission.set_watched(endpoint_admission, watched=False)
    assert endpoint_admission.limit == 8
    admission.finish(endpoint_admission, running, admission.Outcome.whole, 1000)
    assert endpoint_admission.limit == 2


def test_repeated_slow_first_chunks_reset_limit_to_cold() -> None:
    endpoint_admission = warm_admission()
    for limit in (8, 2):
        generation = admission.start(endpoint_admission)
        admission.record_first_part(endpoint_admission, generation, 2)
        assert endpoint_admission.limit == limit


def test_a_change_of_rules_does_not_end_the_cold_limit() -> None:
    endpoint_admission = warm_admission()
    admission.become_cold(endpoint_admission)
    admission.set_limits(endpoint_admission, 8, 4)
    assert endpoint_admission.limit == 4
    admission.set_limits(endpoint_admission, 8, 1)
    assert endpoint_admission.limit == 1


def test_a_leaving_endpoint_refuses() -> None:
    endpoint_admission = admission.Admission(8, 2, 8, leaving=True)
    assert admission.refusal(endpoint_admission) == 'leaving'


@pytest.mark.parametrize(
    ('verdict', 'idempotent', 'allowed'),
    [
        (verdicts.Verdict.not_run, False, True),
        (verdicts.Verdict.may_have_run, False, False),
        (verdicts.Verdict.may_have_run, True, True),
        (verdicts.Verdict.ran, False, False),
    ],
)
def test_retry_requires_not_run_verdict_or_idempotent_request(
    verdict: verdicts.Verdict,
    idempotent: bool,
    allowed: bool,
) -> None:
    assert verdicts.may_retry(verdict, idempotent=idempotent) is allowed


def test_parts_of_other_requests_are_dropped() -> None:
    progress = answers.AnswerProgress('mine', 1)
    other_request = messages.ResponseChunk('other', 1, 1, 0, b'x')
    older_attempt = messages.ResponseChunk('mine', 0, 1, 0, b'x')
    assert not answers.belongs_to_attempt(progress, other_request)
    assert not answers.belongs_to_attempt(progress, older_attempt)
    assert progress.dropped == 2


def test_response_with_missing_chunks_is_an_error() -> None:
    progress = answers.AnswerProgress('mine', 1)
    answers.accept_chunk(
        progress, messages.ResponseChunk('mine', 1, 1, 0, b'x')
    )
    end = messages.ResponseEnd('mine', 1, 2, messages.LoadReport())
    with pytest.raises(errors.RequestError, match='1 of 2 parts came'):
        answers.accept_end(progress, end)


def test_older_configuration_revision_is_ignored() -> None:
    holder = configuration.ConfigurationHolder()
    newer = configuration.Configuration(2, 'b', sites.LEVIS_RULES)
    older = configuration.Configuration(1, 'a', sites.LEVIS_RULES)
    assert configuration.apply_if_newer(holder, newer)
    assert not configuration.apply_if_newer(holder, older)
    assert holder.revision() == 2


def test_invalid_rules_keep_last_valid_rules_in_force() -> None:
    holder = configuration.ConfigurationHolder()
    valid = configuration.Configuration(1, 'a', sites.LEVIS_RULES)
    invalid = configuration.Configuration(2, 'b', 'nonsense')
    assert configuration.apply_if_newer(holder, valid)
    assert not configuration.apply_if_newer(holder, invalid)
    assert holder.revision() == 1
    assert 'revision 2' in holder.refused
