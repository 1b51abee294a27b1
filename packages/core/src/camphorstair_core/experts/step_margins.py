"""Chooses how many steps ahead a rank group is held for a switch of its map.

The hold has to be reported, all ranks have to be armed, and the hold has to be
released. If the group gets to the held step earlier, all its streams pause.
"""

import math

import attrs

MIN_MARGIN = 2
# Bounds the delay of a switch in a group that makes steps fast.
MAX_MARGIN = 40
# Duration that is assumed for the first switch.
FIRST_SWITCH_S = 0.15
# A switch may take longer than the last one did.
SAFETY_FACTOR = 1.5
# A longer time without a new step means that the group had no work.
MAX_STEP_S = 1.0
# Weight of the latest duration in the moving averages.
LATEST_WEIGHT = 0.5


@attrs.define
class GroupPace:
    """How fast a group makes steps and how long its switches take.

    :ivar step: The last step that was seen.
    :ivar step_seen_s: When it was seen.
    :ivar per_step_s: Mean time between steps; infinite while it is not known.
    :ivar switch_s: Mean time from the order to hold to the release.
    """

    step: int = 0
    step_seen_s: float = -math.inf
    per_step_s: float = math.inf
    switch_s: float = FIRST_SWITCH_S


def record_step(pace: GroupPace, step: int, now_s: float) -> None:
    """Update the time between steps from the last step that began.

    A group without work makes no steps; its earlier pace stays in use.
    """
    seen_for_s = now_s - pace.step_seen_s
    if step > pace.step and seen_for_s < MAX_STEP_S:
        latest_s = seen_for_s / (step - pace.step)
        pace.per_step_s = _average(pace.per_step_s, latest_s)
    if step != pace.step:
        pace.step = step
        pace.step_seen_s = now_s


def record_switch(pace: GroupPace, hold_sent_s: float, now_s: float) -> None:
    """Update the duration of switches when a hold was released."""
    if hold_sent_s:
        pace.switch_s = _average(pace.switch_s, now_s - hold_sent_s)


def margin(pace: GroupPace) -> int:
    """Return how many steps after the current one the held step is."""
    steps = SAFETY_FACTOR * pace.switch_s / pace.per_step_s
    return min(MAX_MARGIN, MIN_MARGIN + math.ceil(steps))


def _average(mean_s: float, latest_s: float) -> float:
    if math.isinf(mean_s):
        return latest_s
    return mean_s + LATEST_WEIGHT * (latest_s - mean_s)
