"""The agent's admission: an exact limit that starts cold and ramps up."""

import enum

import attrs

from camphorstair_core import messages

WARM_ANSWERS = 16
COLD_HOLD_S = 5.0
RAMP_ANSWERS = 4
RETRY_AFTER_S = 0.5
SLOW_FACTOR = 4.0
SLOW_FLOOR_S = 0.25
SLOW_ANSWERS = 2
SMOOTHING = 0.1


class Outcome(enum.StrEnum):
    """How a request at the endpoint ended."""

    whole = 'whole'
    given_up = 'given_up'
    broken = 'broken'


@attrs.define
class Admission:
    """State of one endpoint's admission.

    :ivar full_limit: Requests in flight that the warm endpoint may have.
    :ivar cold_limit: Requests in flight that the cold endpoint may have.
    :ivar limit: Requests in flight that it may have now.
    :ivar in_flight: Requests that it works on.
    :ivar answers: Whole answers since the limit last rose.
    :ivar leaving: Whether the agent shuts down.
    :ivar out: Whether the rules take the endpoint out.
    :ivar generation: Rises each time the endpoint is taken for cold.
    :ivar warm_answers: Whole answers in this generation.
    :ivar hold_deadline_s: Until when the limit does not rise.
    :ivar watched: Whether a connection is open that a restart would close.
    :ivar first_part_s: Smoothed time to the first part of an answer.
    :ivar slow_answers: Slow first parts since the last that was not.
    """

    full_limit: int = 0
    cold_limit: int = 0
    limit: int = 0
    in_flight: int = 0
    answers: int = 0
    leaving: bool = False
    out: bool = False
    generation: int = 0
    warm_answers: int = 0
    hold_deadline_s: float | None = None
    watched: bool = False
    first_part_s: float = 0
    slow_answers: int = 0

    def load(self) -> messages.LoadReport:
        """Return the load to report."""
        cold = self.limit < self.full_limit
        return messages.LoadReport(self.in_flight, self.limit, 0, cold)


def set_limits(admission: Admission, full_limit: int, cold_limit: int) -> None:
    """Take over the limits of the rules; the current limit never jumps up.

    :param admission: The state.
    :param full_limit: Limit of the warm endpoint.
    :param cold_limit: Limit of the cold endpoint.
    """
    was_cold = admission.limit <= admission.cold_limit
    admission.full_limit = full_limit
    admission.cold_limit = cold_limit
    limit = cold_limit if was_cold else admission.limit
    admission.limit = min(max(limit, cold_limit), full_limit)


def refusal(admission: Admission) -> str | None:
    """Tell why a new request is refused.

    :returns: The code of the error, or None if the request is admitted.
    """
    if admission.leaving or admission.out:
        return 'leaving'
    if admission.in_flight >= admission.limit:
        return 'overloaded'
    return None


def start(admission: Admission) -> int:
    """Count a request that was admitted.

    :returns: The generation that it belongs to.
    """
    admission.in_flight += 1
    return admission.generation


def note_first_part(
    admission: Admission,
    generation: int,
    waited_s: float,
) -> None:
    """Judge the endpoint by the time to the first part of an answer.

    :param admission: The state.
    :param generation: The generation of the request.
    :param waited_s: The time from the request to the first part.
    """
    if generation != admission.generation:
        return
    usual_s = admission.first_part_s
    slow = bool(usual_s) and waited_s > SLOW_FACTOR * usual_s + SLOW_FLOOR_S
    if not slow:
        admission.slow_answers = 0
        step_s = SMOOTHING * (waited_s - usual_s)
        admission.first_part_s = usual_s + step_s if usual_s else waited_s
        return
    admission.slow_answers += 1
    if admission.slow_answers >= SLOW_ANSWERS:
        become_cold(admission)


def finish(
    admission: Admission,
    generation: int,
    outcome: Outcome,
    now_s: float,
) -> None:
    """Count the end of a request and move the limit.

    :param admission: The state.
    :param generation: The generation that ``start`` gave.
    :param outcome: How it ended.
    :param now_s: The time.
    """
    admission.in_flight -= 1
    if generation == admission.generation:
        if outcome is Outcome.broken:
            become_cold(admission)
        elif outcome is Outcome.whole:
            _note_whole(admission, now_s)
    if not admission.in_flight and not admission.watched:
        become_cold(admission)


def note_watched(admission: Admission, *, watched: bool) -> None:
    """Note that the watching connection was opened, or was closed.

    While requests are in flight, their own connections tell of a restart.
    With nothing in flight and no connection a restart goes unseen.
    """
    admission.watched = watched
    if not watched and not admission.in_flight:
        become_cold(admission)


def become_cold(admission: Admission) -> None:
    """Drop to the cold limit; what runs goes on, and shows nothing new."""
    admission.generation += 1
    admission.limit = min(admission.limit, admission.cold_limit)
    admission.answers = 0
    admission.warm_answers = 0
    admission.slow_answers = 0
    admission.first_part_s = 0
    admission.hold_deadline_s = None


def _note_whole(admission: Admission, now_s: float) -> None:
    """Raise the limit step by step, after the endpoint has had time to warm."""
    admission.warm_answers += 1
    if admission.hold_deadline_s is None:
        admission.hold_deadline_s = now_s + COLD_HOLD_S
    held = now_s < admission.hold_deadline_s
    if held or admission.warm_answers <= WARM_ANSWERS:
        return
    admission.answers += 1
    if admission.answers >= RAMP_ANSWERS:
        admission.answers = 0
        admission.limit = min(admission.limit + 1, admission.full_limit)
