"""The limits of requests a second that endpoints in need name.

An endpoint names its limit in its answers, for all entries together, for as
long as it needs it. The entries that use the endpoint share the limit without
messages between them: each sends one request, then none for an interval that
grows with the number of these entries. An entry that has just heard of a limit
waits as well, by its place among them, so that they do not all send at once.
"""

import math

import attrs

# Smallest limit that is kept, and largest one that binds an endpoint.
MIN_PER_S = 0.05
MAX_PER_S = 100_000.0
# Part of a limit that the entries share.
USED_SHARE = 0.9
# Longest time without a request of an entry that shares a limit, by which it
# learns that the limit has ended.
MAX_INTERVAL_S = 30.0
# Entries that may share a limit: each may send one request at the same moment.
MIN_SHARING = 5
SHARING_PER_LIMIT = 2.0


@attrs.define(eq=False)
class RequestLimit:
    """The limit that an endpoint names.

    :ivar per_s: Requests a second that it takes from all entries together;
        None while it names no limit.
    :ivar next_send_s: When this entry may send it the next request.
    """

    per_s: float | None = None
    next_send_s: float = 0


@attrs.frozen
class Sharing:
    """How an entry shares an endpoint with others.

    :ivar users: Number of entries that use the endpoint.
    :ivar place: The place of this entry among them, starting at 0; None if the
        endpoint did not select it.
    """

    users: int = 1
    place: int | None = None


def record(
    limit: RequestLimit,
    per_s: float | None,
    sharing: Sharing,
    now_s: float,
) -> bool:
    """Record the limit that an answer names.

    :param limit: The limit to update.
    :param per_s: The named limit; None if the answer names none.
    :param sharing: How this entry shares the endpoint.
    :param now_s: The current time.
    :returns: Whether the limit is another than before.
    """
    before = limit.per_s
    limit.per_s = None
    if per_s is not None and per_s <= MAX_PER_S:
        limit.per_s = max(per_s, MIN_PER_S)
    if before is None and limit.per_s is not None:
        turn = ((sharing.place or 0) + 1) / max(1, sharing.users)
        limit.next_send_s = now_s + turn * interval_s(limit.per_s, sharing)
    return limit.per_s != before


def may_send(limit: RequestLimit, now_s: float) -> bool:
    """Return whether this entry may send the endpoint a request now."""
    return limit.per_s is None or now_s >= limit.next_send_s


def count_sent(limit: RequestLimit, sharing: Sharing, now_s: float) -> None:
    """Count a request that is sent to the endpoint."""
    if limit.per_s is not None:
        limit.next_send_s = now_s + interval_s(limit.per_s, sharing)


def interval_s(per_s: float, sharing: Sharing) -> float:
    """Return the time between two requests of one entry.

    If there are too many entries for a small limit, only the first ones share
    it; the others learn only whether it still holds.

    :param per_s: The limit of the endpoint.
    :param sharing: How the entry shares the endpoint.
    """
    most = math.floor(MIN_SHARING + SHARING_PER_LIMIT * per_s)
    if sharing.place is None or sharing.place >= most:
        return MAX_INTERVAL_S * max(1, sharing.users / most)
    users = min(sharing.users, most)
    return min(users / (per_s * USED_SHARE), MAX_INTERVAL_S)
