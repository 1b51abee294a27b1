"""Recognises refused requests that come again, to keep their positions.

A refusal names the time after which the caller should send the request again.
A request that returns in time counts from its first arrival, so that a refusal
does not cost it its position. One that returns early does not, as callers that
ignore the time would otherwise get ahead of those that wait.
"""

import collections

import attrs

MAX_REFUSED = 2000
# A refused request is remembered for this time after the time that the
# refusal named; one that comes later is a new request.
RETENTION_S = 10.0
# More than the longest time that a refusal names, so that a faulty one can't
# keep a refusal for ever.
MAX_DELAY_S = 10.0
# Timers of callers and the rounding of the named time may be off by this.
EARLY_TOLERANCE_S = 0.01


@attrs.frozen
class Arrival:
    """How the arrival of a request counts.

    :ivar first_arrived_s: From when on its position in the queue counts.
    :ivar early: Whether it came before the time that a refusal named.
    """

    first_arrived_s: float
    early: bool


@attrs.define
class Refusal:
    """The refusal of a request that may come again.

    :ivar first_arrived_s: From when on its position in the queue counted.
    :ivar not_before_s: The time that the refusal named.
    :ivar came_early: Whether the request has come again before that time.
    """

    first_arrived_s: float
    not_before_s: float
    came_early: bool = False


@attrs.define
class Returns:
    """The latest refusals.

    :ivar refusals: Refusals by the identity of the request, oldest first.
    """

    # Finding the first key of a dict is slow after many removals in front.
    refusals: collections.OrderedDict[str, Refusal] = attrs.field(
        factory=collections.OrderedDict
    )


def note_refused(
    returns: Returns,
    identity: str,
    arrived_s: float,
    not_before_s: float,
    now_s: float,
) -> None:
    """Remember that a request is refused.

    Copies of one request that are refused at the same time share an entry.
    The earlier time applies then, so that no copy that waits as told is taken
    for early, and the later arrival, so that copies gain no position.

    :param returns: The refusals to update.
    :param identity: The identity of the request; empty if it has none.
    :param arrived_s: From when on its position in the queue counted.
    :param not_before_s: The time that the refusal names.
    :param now_s: The current time.
    """
    _forget_old(returns.refusals, now_s)
    if not identity:
        return
    bounded_s = min(not_before_s, now_s + MAX_DELAY_S)
    refusal = Refusal(arrived_s, bounded_s)
    earlier = returns.refusals.pop(identity, None)
    if earlier is not None:
        refusal.first_arrived_s = max(arrived_s, earlier.first_arrived_s)
        waits = now_s < earlier.not_before_s and not earlier.came_early
        if waits:
            refusal.not_before_s = min(bounded_s, earlier.not_before_s)
    returns.refusals[identity] = refusal
    if len(returns.refusals) > MAX_REFUSED:
        returns.refusals.popitem(last=False)


def arrival(returns: Returns, identity: str, now_s: float) -> Arrival:
    """Return how the arrival of a request counts.

    The refusal of a request that returns in time is forgotten. That of one
    that returns early is kept, so that it stays early if it comes once more,
    but its position counts from now on.

    :param returns: The refusals to update.
    :param identity: The identity of the request; empty if it has none.
    :param now_s: The current time.
    """
    refusals = returns.refusals
    _forget_old(refusals, now_s)
    refusal = refusals.get(identity)
    if refusal is None:
        return Arrival(now_s, early=False)
    if now_s < refusal.not_before_s - EARLY_TOLERANCE_S:
        refusal.came_early = True
        refusal.first_arrived_s = now_s
        return Arrival(now_s, early=True)
    refusals.pop(identity)
    if now_s >= _forget_s(refusal):
        return Arrival(now_s, early=False)
    return Arrival(refusal.first_arrived_s, early=False)


def _forget_s(refusal: Refusal) -> float:
    return refusal.not_before_s + RETENTION_S


def _forget_old(
    refusals: collections.OrderedDict[str, Refusal], now_s: float
) -> None:
    """Forget refusals that are too old, as far as they come first.

    Refusals are in the order of their making, which is almost that of their
    times, so a few may stay for ``MAX_DELAY_S`` longer.
    """
    while refusals:
        identity = next(iter(refusals))
        if now_s < _forget_s(refusals[identity]):
            return
        refusals.pop(identity)
