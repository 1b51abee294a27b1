"""The requests and prompt parts that are not sent, as endpoints crash on them.

A conclusion may be wrong, so after a while one request in the whole fleet is
sent as a trial. If it is answered, the quarantine ends. Each further trial
waits longer.
"""

from collections import abc

import attrs

from camphorstair_core import decoding

# How long a suspect stays quarantined after the conclusion or the last trial.
QUARANTINE_S = 600.0
# Time before the first trial, and the same for a suspect that is only one of
# several that may be the cause.
FIRST_TRIAL_S = 60.0
DOUBTFUL_TRIAL_S = 20.0
# Each trial waits this many times as long as the one before.
TRIAL_DELAY_FACTOR = 4
MAX_TRIAL_DELAY_S = 540.0
# Trials after which the delay does not grow any more.
MAX_DELAY_STEPS = 8


@attrs.frozen
class QuarantinedSuspect:
    """A suspect that must not be sent to endpoints, as the store has it.

    :ivar part: Identifier of the request, the part or the order. The name is
        that of the stored format.
    :ivar remaining_s: Time until a trial may be made.
    :ivar trials: Number of trials made so far.
    """

    part: str
    remaining_s: decoding.Duration
    trials: decoding.Amount = 0


@attrs.define
class Hold:
    """A quarantine as one entry knows it.

    :ivar trial_s: When a trial may be made.
    :ivar end_s: When the quarantine ends.
    :ivar trials: Number of trials made so far.
    :ivar revision: Revision of the store's key; 0 if it was not read.
    :ivar era: Era of the store in which the key was read last.
    """

    trial_s: float
    end_s: float
    trials: int = 0
    revision: int = 0
    era: int = 0


@attrs.define
class Quarantine:
    """What is quarantined.

    :ivar holds: The quarantines by part or request.
    """

    holds: dict[str, Hold] = attrs.field(factory=dict)

    def add(self, suspect: str, delay_s: float, now_s: float) -> Hold:
        """Quarantine a suspect, or extend its quarantine.

        :param delay_s: Time until a trial; an earlier trial is put off.
        """
        hold = self.holds.setdefault(suspect, Hold(now_s, now_s))
        hold.trial_s = max(hold.trial_s, now_s + delay_s)
        hold.end_s = max(hold.end_s, now_s + QUARANTINE_S)
        return hold

    def release(self, suspect: str) -> None:
        """Release a suspect, if it is quarantined."""
        self.holds.pop(suspect, None)

    def expire(self, now_s: float) -> list[str]:
        """Release the suspects whose quarantine has ended and return them."""
        released = [
            suspect
            for suspect, hold in self.holds.items()
            if hold.end_s <= now_s
        ]
        for suspect in released:
            self.release(suspect)
        return released

    def find(
        self,
        suspects: abc.Iterable[str],
        now_s: float,
    ) -> QuarantinedSuspect | None:
        """Return the quarantined suspect whose trial comes last, or None."""
        if not self.holds:
            return None
        found = [
            QuarantinedSuspect(
                suspect, max(0, hold.trial_s - now_s), hold.trials
            )
            for suspect in suspects
            if (hold := self.holds.get(suspect)) and now_s < hold.end_s
        ]
        return max(found, key=lambda row: row.remaining_s, default=None)


def trial_delay_s(trials: int, *, sole: bool = True) -> float:
    """Return how long to wait before the next trial.

    :param trials: Number of trials made so far.
    :param sole: Whether nothing else may be the cause.
    """
    first_s = FIRST_TRIAL_S if sole else DOUBTFUL_TRIAL_S
    delay_factor = TRIAL_DELAY_FACTOR ** min(trials, MAX_DELAY_STEPS)
    return min(first_s * delay_factor, MAX_TRIAL_DELAY_S)
