"""Tests of how many steps ahead a rank group is held for a switch."""

import pytest

from camphorstair_core.experts import step_margins


def _pace(per_step_s: float, switch_s: float) -> step_margins.GroupPace:
    """Return the pace of a group after many equal steps and switches."""
    pace = step_margins.GroupPace()
    for step in range(1, 30):
        step_margins.record_step(pace, step, step * per_step_s)
        step_margins.record_switch(pace, 1, 1 + switch_s)
    return pace


@pytest.mark.parametrize('per_step_s', [0.02, 0.06, 0.2])
@pytest.mark.parametrize('switch_s', [0.02, 0.1, 0.3])
def test_a_group_does_not_reach_the_held_step_during_a_usual_switch(
    per_step_s: float, switch_s: float
) -> None:
    """The step that has begun counts as over, so one step is left out."""
    margin = step_margins.margin(_pace(per_step_s, switch_s))
    assert (margin - 1) * per_step_s > switch_s


def test_idle_time_does_not_count_as_a_long_step() -> None:
    pace = _pace(0.05, 0.1)
    step_margins.record_step(pace, 31, 60)
    assert pace.per_step_s == pytest.approx(0.05)


def test_margin_is_bounded_and_small_for_a_group_that_makes_no_steps() -> None:
    assert step_margins.margin(step_margins.GroupPace()) == (
        step_margins.MIN_MARGIN
    )
    assert step_margins.margin(_pace(0.001, 5)) == step_margins.MAX_MARGIN
