"""Tells whether an endpoint gets on with an answer.

One that crashes under a request does so as it begins to run it, or to write.
One that goes on writing has answered the request and the parts of its prompt.
"""

import attrs

from camphorstair.fleet import crash_state, preempted_streams
from camphorstair_runtime import clocks

# An engine that writes on for this long after its first event has not crashed
# under the request.
PROGRESS_S = 0.25


@attrs.define(eq=False)
class AnswerProgress:
    """The progress of one answer.

    :ivar crashes: Where the suspects are recorded as answered.
    :ivar suspects: What in the request may crash endpoints.
    :ivar pauses: Watches the pauses of a stream; None if they don't matter.
    :ivar first_event_s: When the first event of a stream came; None before.
    :ivar proven: Whether the engine has answered for ``PROGRESS_S``, or
        completely.
    """

    crashes: crash_state.CrashState
    suspects: tuple[str, ...]
    pauses: preempted_streams.PauseWatch | None = None
    first_event_s: float | None = None
    proven: bool = False

    def note_events(self) -> None:
        """Note that events have come; the first ones prove nothing yet."""
        now_s = clocks.monotonic_s()
        if self.pauses is not None:
            self.pauses.note_events(now_s)
        if self.first_event_s is None:
            self.first_event_s = now_s
        elif now_s - self.first_event_s >= PROGRESS_S:
            self.note_complete()

    def note_complete(self) -> None:
        """Note that the engine has answered the prompt."""
        if not self.proven:
            self.proven = True
            self.crashes.answered.record(self.suspects, clocks.monotonic_s())
