"""Admission, answers, configuration and verdicts."""

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


def test_unknown_is_cold() -> None:
    gate = admission.Admission()
    assert admission.refusal(gate) == 'overloaded'
    admission.set_limits(gate, 8, 2)
    assert gate.limit == 2


def test_the_limit_rises_with_whole_answers_only() -> None:
    gate = admission.Admission()
    admission.set_limits(gate, 8, 2)
    admission.set_watched(gate, watched=True)
    needed = admission.WARM_ANSWERS + admission.RAMP_ANSWERS
    limits = []
    for number in range(1, needed + 1):
        for outcome in (
            admission.Outcome.given_up,
            admission.Outcome.whole,
        ):
            generation = admission.start(gate)
            now_s = number * admission.COLD_HOLD_S
            admission.finish(gate, generation, outcome, now_s)
        limits.append(gate.limit)
    assert set(limits[:-1]) == {2}
    assert limits[-1] == 3


def warm_gate() -> admission.Admission:
    """Return the admission of an endpoint at its full limit."""
    gate = admission.Admission()
    admission.set_limits(gate, 8, 2)
    admission.set_watched(gate, watched=True)
    answers_needed = admission.WARM_ANSWERS + 6 * admission.RAMP_ANSWERS
    for number in range(1, answers_needed + 1):
        generation = admission.start(gate)
        admission.record_first_part(gate, generation, 0.1)
        now_s = number * admission.COLD_HOLD_S
        admission.finish(gate, generation, admission.Outcome.whole, now_s)
    assert gate.limit == 8
    return gate


def test_a_broken_answer_means_cold() -> None:
    gate = warm_gate()
    older = admission.start(gate)
    broken = admission.start(gate)
    admission.finish(gate, broken, admission.Outcome.broken, 1000)
    assert gate.limit == 2
    admission.finish(gate, older, admission.Outcome.whole, 1000)
    assert gate.warm_answers == 0


def test_an_unseen_restart_means_cold() -> None:
    gate = warm_gate()
    running = admission.start(gate)
    admission.set_watched(gate, watched=False)
    assert gate.limit == 8
    admission.finish(gate, running, admission.Outcome.whole, 1000)
    assert gate.limit == 2


def test_slow_first_parts_mean_cold() -> None:
    gate = warm_gate()
    for limit in (8, 2):
        generation = admission.start(gate)
        admission.record_first_part(gate, generation, 2)
        assert gate.limit == limit


def test_a_change_of_rules_does_not_end_the_cold_limit() -> None:
    gate = warm_gate()
    admission.become_cold(gate)
    admission.set_limits(gate, 8, 4)
    assert gate.limit == 4
    admission.set_limits(gate, 8, 1)
    assert gate.limit == 1


def test_a_leaving_endpoint_refuses() -> None:
    gate = admission.Admission(8, 2, 8, leaving=True)
    assert admission.refusal(gate) == 'leaving'


@pytest.mark.parametrize(
    ('verdict', 'idempotent', 'allowed'),
    [
        (verdicts.Verdict.not_run, False, True),
        (verdicts.Verdict.may_have_run, False, False),
        (verdicts.Verdict.may_have_run, True, True),
        (verdicts.Verdict.ran, False, False),
    ],
)
def test_only_what_did_not_run_is_repeated(
    verdict: verdicts.Verdict,
    idempotent: bool,
    allowed: bool,
) -> None:
    assert verdicts.may_retry(verdict, idempotent=idempotent) is allowed


def test_parts_of_other_requests_are_dropped() -> None:
    progress = answers.AnswerProgress('mine', 1)
    crossed = messages.ResponseChunk('other', 1, 1, 0, b'x')
    late = messages.ResponseChunk('mine', 0, 1, 0, b'x')
    assert not answers.belongs_to_attempt(progress, crossed)
    assert not answers.belongs_to_attempt(progress, late)
    assert progress.dropped == 2


def test_a_short_answer_is_an_error() -> None:
    progress = answers.AnswerProgress('mine', 1)
    answers.accept_chunk(
        progress, messages.ResponseChunk('mine', 1, 1, 0, b'x')
    )
    end = messages.ResponseEnd('mine', 1, 2, messages.LoadReport())
    with pytest.raises(errors.RequestError, match='1 of 2 parts came'):
        answers.accept_end(progress, end)


def test_a_revision_never_goes_down() -> None:
    holder = configuration.ConfigurationHolder()
    newer = configuration.Configuration(2, 'b', sites.LEVIS_RULES)
    older = configuration.Configuration(1, 'a', sites.LEVIS_RULES)
    assert configuration.apply_if_newer(holder, newer)
    assert not configuration.apply_if_newer(holder, older)
    assert holder.revision() == 2


def test_faulty_rules_leave_the_last_good_ones_in_force() -> None:
    holder = configuration.ConfigurationHolder()
    good = configuration.Configuration(1, 'a', sites.LEVIS_RULES)
    bad = configuration.Configuration(2, 'b', 'nonsense')
    assert configuration.apply_if_newer(holder, good)
    assert not configuration.apply_if_newer(holder, bad)
    assert holder.revision() == 1
    assert 'revision 2' in holder.refused
