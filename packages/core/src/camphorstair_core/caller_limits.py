"""Size limits and timeouts for the connections of callers."""

import attrs


@attrs.frozen
class CallerLimits:
    """Limits of one connection of a caller.

    :ivar head_bytes: Maximum size of a request line with its headers.
    :ivar body_bytes: Maximum size of a request body.
    :ivar head_limit_s: Maximum time between the first and the last byte of
        the request line and headers.
    :ivar request_limit_s: Maximum time between the first and the last byte of
        a whole request.
    :ivar idle_limit_s: Maximum time for which a connection may stay idle.
    """

    head_bytes: int = 32768
    body_bytes: int = 4194304
    head_limit_s: float = 20.0
    request_limit_s: float = 20.0
    idle_limit_s: float = 75.0
