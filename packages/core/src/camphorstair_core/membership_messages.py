"""Messages about which processes are there, and which shut down."""

import attrs


@attrs.define
class DownMember:
    """A process that missed its heartbeats.

    :ivar node: Its name.
    :ivar remaining_ms: How long it still counts as down.
    """

    node: str
    remaining_ms: int


@attrs.define
class Heartbeat:
    """Shows that the sender is there; the reply is one as well.

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
    """Tells that the sender shuts down.

    :ivar node: The sender's name.
    :ivar remaining_ms: How long this counts if nothing else is heard.
    :ivar named_ms: Time until the last directory answer of the sender that
        names the receiver passes its deadline.
    :ivar last: Whether the sender answers no more callers.
    """

    node: str
    remaining_ms: int
    named_ms: int = 0
    last: bool = False


@attrs.define
class LeavingReply:
    """Confirms that the receiver names the sender no more.

    :ivar node: The name of the process that replies.
    :ivar named_ms: Time until its last directory answer that names the
        leaving process passes its deadline.
    """

    node: str
    named_ms: int = 0
