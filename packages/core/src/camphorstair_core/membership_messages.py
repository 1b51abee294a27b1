"""Messages about the liveness of processes: heartbeats and shutdowns."""

import attrs


@attrs.define
class DownMember:
    """A process that missed its heartbeats.

    :ivar node: Name of the process's VM.
    :ivar remaining_ms: How long the process still counts as down.
    """

    node: str
    remaining_ms: int


@attrs.define
class Heartbeat:
    """Heartbeat of the sender; the reply is a heartbeat as well.

    :ivar node: The sender's name.
    :ivar revision: The configuration revision in force at the sender.
    :ivar leaving: Whether the sender shuts down.
    :ivar down: Processes that the sender counts as down.
    """

    node: str
    revision: int = 0
    leaving: bool = False
    down: list[DownMember] = attrs.field(factory=list)


@attrs.define
class Leaving:
    """Announces that the sender shuts down.

    :ivar node: The sender's name.
    :ivar remaining_ms: How long the announcement is valid unless a later
        message replaces it.
    :ivar named_ms: Time until the last directory answer of the sender that
        names the receiver expires.
    :ivar last: Whether the sender answers no more callers.
    """

    node: str
    remaining_ms: int
    named_ms: int = 0
    last: bool = False


@attrs.define
class LeavingReply:
    """Confirms that the replying process has recorded the announcement.

    From then on its directory answers name the leaving process only if no
    entry in a better state is left.

    :ivar node: Name of the process that replies.
    :ivar named_ms: Time until its last directory answer that names the
        leaving process expires.
    """

    node: str
    named_ms: int = 0
