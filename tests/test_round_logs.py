"""Tests of the log lines about rounds of a planner without a new map."""

import logging

import pytest

from camphorstair_agent.fleet import round_logs

Reason = round_logs.Reason


def _reasons(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage().partition(': ')[2] for record in caplog.records]


def test_a_reason_is_logged_at_once_and_then_each_second(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rounds = round_logs.RoundLog()
    with caplog.at_level(logging.INFO):
        for tenth in range(11):
            rounds.note(Reason.silent, 5 + tenth / 10)
    assert _reasons(caplog) == [Reason.silent, Reason.silent]
    assert [record.__dict__['rounds'] for record in caplog.records] == [1, 10]


def test_a_change_of_the_reason_is_logged_at_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rounds = round_logs.RoundLog()
    with caplog.at_level(logging.INFO):
        for reason in (Reason.silent, Reason.mixed_maps, Reason.silent):
            rounds.note(reason, 5)
    assert len(_reasons(caplog)) == 3


def test_details_are_computed_only_for_a_line() -> None:
    rounds = round_logs.RoundLog()
    computed: list[int] = []

    def details() -> dict[str, object]:
        computed.append(1)
        return {'skew': 1.2}

    for _ in range(3):
        rounds.note(Reason.small_gain, 5, details)
    assert len(computed) == 1
