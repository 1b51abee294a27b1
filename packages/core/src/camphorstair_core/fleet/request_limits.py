"""The limits of requests a second that endpoints in need name.

An endpoint names its limit in its answers, for all entries together, for as
long as it needs it.
"""

import attrs

# Smallest limit that is kept. Some request must reach an endpoint to learn that
# its limit has ended.
MIN_PER_S = 0.05
# A larger limit binds no endpoint.
MAX_PER_S = 100_000.0


@attrs.define(eq=False)
class RequestLimit:
    """The limit that an endpoint names.

    :ivar per_s: Requests a second that it takes from all entries together;
        None while it names no limit.
    """

    per_s: float | None = None


def record(limit: RequestLimit, per_s: float | None) -> bool:
    """Record the limit that an answer names.

    :param limit: The limit to update.
    :param per_s: The named limit; None if the answer names none.
    :returns: Whether the limit is another than before.
    """
    before = limit.per_s
    limit.per_s = None
    if per_s is not None and per_s <= MAX_PER_S:
        limit.per_s = max(per_s, MIN_PER_S)
    return limit.per_s != before
