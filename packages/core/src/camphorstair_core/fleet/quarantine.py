"""The parts of prompts that no engine is sent, as they crash engines."""

from collections import abc

import attrs

# How long a part is refused. An engine that was repaired is used for it again
# afterwards, at the risk of one more crash.
QUARANTINE_S = 600.0
# The same for a part that is only one of several that may be the cause. The
# next crash tells them apart.
DOUBTFUL_QUARANTINE_S = 20.0


@attrs.frozen
class QuarantinedPart:
    """A part that must not be sent to engines.

    :ivar part: Identifier of the part.
    :ivar remaining_s: Time for which it is still refused.
    """

    part: str
    remaining_s: float


@attrs.define
class Quarantine:
    """The quarantined parts.

    :ivar deadline_s: Until when each part is refused.
    """

    deadline_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, part: str, deadline_s: float) -> None:
        """Quarantine a part until a deadline, or until a later one it has."""
        before_s = self.deadline_s.get(part, 0)
        self.deadline_s[part] = max(before_s, deadline_s)

    def release(self, part: str) -> None:
        """Release a part, if it is quarantined."""
        self.deadline_s.pop(part, None)

    def expire(self, now_s: float) -> list[str]:
        """Release the parts whose deadlines have passed and return them."""
        released = [
            part
            for part, deadline_s in self.deadline_s.items()
            if deadline_s <= now_s
        ]
        for part in released:
            self.release(part)
        return released

    def find(
        self,
        parts: abc.Iterable[str],
        now_s: float,
    ) -> QuarantinedPart | None:
        """Return the first quarantined part of a prompt, or None."""
        if not self.deadline_s:
            return None
        for part in parts:
            remaining_s = self.deadline_s.get(part, 0) - now_s
            if remaining_s > 0:
                return QuarantinedPart(part, remaining_s)
        return None
