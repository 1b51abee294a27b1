"""Admission control of an agent: an exact concurrency limit with slow start.

A cold endpoint starts at a low limit, which rises one by one to the full limit
while the endpoint completes responses.
"""

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
    """How a request to the endpoint ended.

    ``whole`` is a complete response and ``broken`` a failure of the endpoint.
    ``given_up`` is any other end, which says nothing about the endpoint.
    """

    whole = 'whole'
    given_up = 'given_up'
    broken = 'broken'


@attrs.define
class Admission:
    """State of admission control for one endpoint.

    :ivar full_limit: Concurrency limit of the warm endpoint, in requests.
    :ivar cold_limit: Concurrency limit of the cold endpoint, in requests.
    :ivar limit: Current concurrency limit, in requests.
    :ivar in_flight: Number of requests that the endpoint is processing.
    :ivar answers: Complete responses since the limit last rose.
    :ivar leaving: Whether the agent is shutting down.
    :ivar out: Whether the rules take the endpoint out of service.
    :ivar generation: Incremented each time the endpoint is treated as cold.
        Requests of an earlier generation don't affect the limit.
    :ivar warm_answers: Complete responses in this generation.
    :ivar hold_deadline_s: Time before which the limit does not rise; None
        until the first complete response of this generation.
    :ivar watched: Whether the monitoring connection is open, which a restart
        of the endpoint closes.
    :ivar first_part_s: Exponentially smoothed time to the first part of a
        response; 0 before the first measurement.
    :ivar slow_answers: Consecutive responses with a slow first part.
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
        """Return a load report with the current load and limit."""
        cold = self.limit < self.full_limit
        return messages.LoadReport(self.in_flight, self.limit, 0, cold)


def set_limits(admission: Admission, full_limit: int, cold_limit: int) -> None:
    """Apply the limits from the rules.

    The current limit of a cold endpoint becomes the new cold limit; that of a
    warming or warm one is only clamped to the new range. So a higher full
    limit does not raise it at once.

    :param admission: The admission state.
    :param full_limit: Concurrency limit of the warm endpoint.
    :param cold_limit: Concurrency limit of the cold endpoint.
    """
    was_cold = admission.limit <= admission.cold_limit
    admission.full_limit = full_limit
    admission.cold_limit = cold_limit
    limit = cold_limit if was_cold else admission.limit
    admission.limit = min(max(limit, cold_limit), full_limit)


def refusal(admission: Admission) -> str | None:
    """Return the error code with which a new request would be refused.

    :returns: The name of the error code, or None if the endpoint can accept
        the request.
    """
    if admission.leaving or admission.out:
        return 'leaving'
    if admission.in_flight >= admission.limit:
        return 'overloaded'
    return None


def start(admission: Admission) -> int:
    """Count an admitted request as in flight.

    :returns: The current generation, to be passed to ``finish``.
    """
    admission.in_flight += 1
    return admission.generation


def record_first_part(
    admission: Admission,
    generation: int,
    waited_s: float,
) -> None:
    """Record the time to the first part of a response.

    Consecutive slow first parts, compared to the smoothed time, make the
    endpoint cold. Requests of an earlier generation are ignored.

    :param admission: The admission state.
    :param generation: The generation that ``start`` returned.
    :param waited_s: The time from the request to the first part.
    """
    if generation != admission.generation:
        return
    usual_s = admission.first_part_s
    slow = bool(usual_s) and waited_s > SLOW_FACTOR * usual_s + SLOW_FLOOR_S
    if not slow:
        admission.slow_answers = 0
        correction_s = SMOOTHING * (waited_s - usual_s)
        admission.first_part_s = usual_s + correction_s if usual_s else waited_s
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
    """Record the end of a request and adjust the limit.

    A failure makes the endpoint cold; a complete response may raise the limit.
    When the last request ends and the monitoring connection is closed, the
    endpoint is treated as cold, because a restart would go undetected.

    :param admission: The admission state.
    :param generation: The generation that ``start`` returned.
    :param outcome: How the request ended.
    :param now_s: The current time.
    """
    admission.in_flight -= 1
    if generation == admission.generation:
        if outcome is Outcome.broken:
            become_cold(admission)
        elif outcome is Outcome.whole:
            _record_complete_response(admission, now_s)
    if not admission.in_flight and not admission.watched:
        become_cold(admission)


def set_watched(admission: Admission, *, watched: bool) -> None:
    """Record that the monitoring connection was opened or closed.

    While requests are in flight, a restart of the endpoint breaks their
    connections. Without requests in flight and without the monitoring
    connection, a restart would go undetected, so the endpoint is treated as
    cold.

    :param admission: The admission state.
    :param watched: Whether the monitoring connection is open.
    """
    admission.watched = watched
    if not watched and not admission.in_flight:
        become_cold(admission)


def become_cold(admission: Admission) -> None:
    """Lower the limit to the cold limit and start a new generation.

    Requests in flight continue, but their results no longer affect the limit.
    """
    admission.generation += 1
    admission.limit = min(admission.limit, admission.cold_limit)
    admission.answers = 0
    admission.warm_answers = 0
    admission.slow_answers = 0
    admission.first_part_s = 0
    admission.hold_deadline_s = None


def _record_complete_response(admission: Admission, now_s: float) -> None:
    """Count a complete response and raise the limit by one if it is due.

    The limit rises only ``COLD_HOLD_S`` after the first complete response of
    the generation, after ``WARM_ANSWERS`` responses, and then once every
    ``RAMP_ANSWERS`` responses.
    """
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
