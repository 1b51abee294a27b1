"""Remembers the parts of prompts that engines have answered without a crash."""

from collections import abc

import attrs

# Parts that one entry remembers. Prompts of the same kind share most of theirs.
MAX_PARTS = 20_000


@attrs.define
class AnsweredPart:
    """A part of prompts that were answered.

    :ivar answers: Number of answers.
    :ivar last_s: Time of the last one.
    """

    answers: int
    last_s: float


@attrs.define
class AnsweredParts:
    """The parts that were answered, the least recently answered one first.

    :ivar by_part: What is known of each part.
    """

    by_part: dict[str, AnsweredPart] = attrs.field(factory=dict)

    def record(self, parts: abc.Iterable[str], now_s: float) -> None:
        """Record an answer to a prompt with some parts."""
        for part in parts:
            answered = self.by_part.pop(part, None)
            answers = answered.answers + 1 if answered else 1
            self.by_part[part] = AnsweredPart(answers, now_s)
        while len(self.by_part) > MAX_PARTS:
            self.by_part.pop(next(iter(self.by_part)))

    def count(self, part: str) -> int:
        """Return how many answers with a part are remembered."""
        answered = self.by_part.get(part)
        return answered.answers if answered else 0

    def last_s(self, part: str) -> float | None:
        """Return when a part was answered last; None if it is not known."""
        answered = self.by_part.get(part)
        return answered.last_s if answered else None
