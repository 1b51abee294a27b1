"""Remembers what engines have answered without a crash.

These are parts of prompts, and requests by their identity.
"""

from collections import abc

import attrs

from camphorstair_core.fleet import suspect_kinds

# Parts that one entry remembers. Prompts of the same kind share most of theirs.
MAX_PARTS = 20_000
# Requests that one entry remembers. Hardly any comes again, and those that do
# come soon.
MAX_REQUESTS = 4_000


@attrs.define
class AnsweredPart:
    """A part of prompts, or a request, that was answered.

    :ivar answers: Number of answers.
    :ivar last_s: Time of the last one.
    """

    answers: int
    last_s: float


@attrs.define
class AnsweredParts:
    """What was answered, the least recently answered first.

    :ivar by_part: What is known of each part.
    :ivar by_request: What is known of each request, by its identity.
    """

    by_part: dict[str, AnsweredPart] = attrs.field(factory=dict)
    by_request: dict[str, AnsweredPart] = attrs.field(factory=dict)

    def record(self, suspects: abc.Iterable[str], now_s: float) -> None:
        """Record an answer to a request.

        :param suspects: Its identity and the parts of its prompt.
        """
        for suspect in suspects:
            known = self._known(suspect)
            answered = known.pop(suspect, None)
            answers = answered.answers + 1 if answered else 1
            known[suspect] = AnsweredPart(answers, now_s)
        _limit(self.by_part, MAX_PARTS)
        _limit(self.by_request, MAX_REQUESTS)

    def count(self, suspect: str) -> int:
        """Return how many answers to a part or a request are remembered."""
        answered = self._known(suspect).get(suspect)
        return answered.answers if answered else 0

    def last_s(self, suspect: str) -> float | None:
        """Return when a part or a request was answered last.

        :returns: None if no answer is known.
        """
        answered = self._known(suspect).get(suspect)
        return answered.last_s if answered else None

    def _known(self, suspect: str) -> dict[str, AnsweredPart]:
        if suspect_kinds.is_request(suspect):
            return self.by_request
        return self.by_part


def _limit(known: dict[str, AnsweredPart], count: int) -> None:
    while len(known) > count:
        known.pop(next(iter(known)))
