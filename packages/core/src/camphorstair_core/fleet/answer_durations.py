"""How long the latest answers of each route took.

An entry that stops accepts a request only if its answer can be expected to end
in time. The longest of the latest answers is what is expected: a request that
is refused goes elsewhere at once, one that is cut off may be lost.
"""

import collections

import attrs

# Answers of each route that are remembered.
MAX_ANSWERS = 64


@attrs.define
class AnswerDurations:
    """The times that the latest answers took, each from its request's arrival.

    :ivar recent_s: The times in seconds by route, the latest ones last.
    """

    recent_s: dict[str, collections.deque[float]] = attrs.field(factory=dict)


def record(durations: AnswerDurations, route: str, answer_s: float) -> None:
    """Record how long a complete answer of a route took."""
    recent_s = durations.recent_s.get(route)
    if recent_s is None:
        recent_s = collections.deque(maxlen=MAX_ANSWERS)
        durations.recent_s[route] = recent_s
    recent_s.append(answer_s)


def expected_s(durations: AnswerDurations, route: str, limit_s: float) -> float:
    """Return how long the answer to a request may take.

    :param durations: Those of earlier answers.
    :param route: The route of the request.
    :param limit_s: The time limit of the request, which is returned if no
        answer is remembered.
    """
    recent_s = durations.recent_s.get(route)
    return min(limit_s, max(recent_s)) if recent_s else limit_s
