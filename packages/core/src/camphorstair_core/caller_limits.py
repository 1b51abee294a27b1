"""What a caller may send, and how long it may take."""

import attrs


@attrs.frozen
class CallerLimits:
    """Limits of one connection of a caller.

    :ivar head_bytes: Longest head of a request.
    :ivar body_bytes: Longest body of a request.
    :ivar head_limit_s: Longest time from the first byte of a head to its last.
    :ivar request_limit_s: The same for the whole request.
    :ivar idle_limit_s: How long a connection may stay without a request.
    """

    head_bytes: int = 32768
    body_bytes: int = 4194304
    head_limit_s: float = 20.0
    request_limit_s: float = 20.0
    idle_limit_s: float = 75.0
