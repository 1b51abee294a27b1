"""The terms on which an endpoint takes requests, as its answers state them."""

import heapq
from collections import abc

import attrs

from camphorstair_core.fleet import request_limits

# Longest time for which an endpoint that wants no requests is left alone.
MAX_HOLD_S = 600.0


@attrs.frozen
class Statement:
    """What one answer of an endpoint says of the endpoint itself.

    :ivar limit_per_s: How many requests a second it takes from all entries
        together; None if it names no limit.
    :ivar leaving: Whether it is about to end and takes no new requests.
    :ivar retry_after_s: For how long it wants no requests of this entry, as it
        has turned one away; None if it does not say.
    :ivar unreadable: Names of the headers with values that can't be read; what
        they state is unknown.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    unreadable: tuple[str, ...] = ()


@attrs.define(eq=False)
class Terms:
    """The terms of one start of an endpoint, from all its answers.

    :ivar leaving: Whether some answer has said that it leaves. Answers without
        it may be older, so it stays set until the endpoint's next start.
    :ivar resume_s: When it takes requests of this entry again.
    :ivar limit: The limit of requests that it names.
    """

    leaving: bool = False
    resume_s: float = 0
    limit: request_limits.RequestLimit = attrs.field(
        factory=request_limits.RequestLimit
    )


def record(
    terms: Terms,
    statement: Statement,
    sharing: request_limits.Sharing,
    now_s: float,
) -> bool:
    """Record what an answer states.

    :param terms: The terms to update.
    :param statement: The statement.
    :param sharing: How this entry shares the endpoint.
    :param now_s: The current time.
    :returns: Whether the terms have changed.
    """
    before = (terms.leaving, now_s < terms.resume_s, terms.limit.per_s)
    terms.leaving = terms.leaving or statement.leaving
    if statement.retry_after_s is not None:
        hold_s = min(statement.retry_after_s, MAX_HOLD_S)
        terms.resume_s = max(terms.resume_s, now_s + hold_s)
    if not statement.unreadable:
        request_limits.record(
            terms.limit, statement.limit_per_s, sharing, now_s
        )
    return before != (
        terms.leaving,
        now_s < terms.resume_s,
        terms.limit.per_s,
    )


def wants_nothing(terms: Terms, now_s: float) -> bool:
    """Return whether the endpoint wants no requests of this entry now."""
    return terms.leaving or now_s < terms.resume_s


def may_send(terms: Terms, now_s: float) -> bool:
    """Return whether this entry may send the endpoint a request now."""
    if wants_nothing(terms, now_s):
        return False
    return request_limits.may_send(terms.limit, now_s)


def start_s(
    endpoints: abc.Iterable[tuple[Terms, request_limits.Sharing]],
    queued: int,
    now_s: float,
) -> float:
    """Return when a request that is queued now may be sent.

    :param endpoints: The terms of the endpoints that it may use.
    :param queued: Number of requests that go first.
    :param now_s: The current time.
    :returns: The current time if the terms of some endpoint do not hold the
        request up.
    """
    turns = []
    for terms, sharing in endpoints:
        turn_s = max(now_s, terms.resume_s)
        step_s: float = 0
        if terms.limit.per_s is not None:
            turn_s = max(turn_s, terms.limit.next_send_s)
            step_s = request_limits.interval_s(terms.limit.per_s, sharing)
        elif turn_s == now_s:
            return now_s
        turns.append((turn_s, step_s))
    return _turn_s(turns, queued) if turns else now_s


def _turn_s(turns: list[tuple[float, float]], queued: int) -> float:
    """Return the turn after a number of others.

    :param turns: The next turn of each endpoint and the time between two.
    """
    heapq.heapify(turns)
    for _ in range(queued):
        turn_s, step_s = turns[0]
        heapq.heapreplace(turns, (turn_s + step_s, step_s))
    return turns[0][0]
