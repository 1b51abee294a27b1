"""The terms on which an endpoint takes requests, as its answers state them."""

import attrs

from camphorstair_core.fleet import request_limits


@attrs.frozen
class Statement:
    """What one answer of an endpoint says of the endpoint itself.

    :ivar limit_per_s: How many requests a second it takes from all entries
        together; None if it names no limit.
    :ivar leaving: Whether it is about to end and takes no new requests.
    :ivar unreadable: Names of the headers with values that can't be read; what
        they state is unknown.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    unreadable: tuple[str, ...] = ()


@attrs.define(eq=False)
class Terms:
    """The terms of one start of an endpoint, from all its answers.

    :ivar leaving: Whether some answer has said that it leaves. Answers without
        it may be older, so it stays set until the endpoint's next start.
    :ivar limit: The limit of requests that it names.
    """

    leaving: bool = False
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
    left = statement.leaving and not terms.leaving
    terms.leaving = terms.leaving or statement.leaving
    if statement.unreadable:
        return left
    limited = request_limits.record(
        terms.limit, statement.limit_per_s, sharing, now_s
    )
    return left or limited


def may_send(terms: Terms, now_s: float) -> bool:
    """Return whether this entry may send the endpoint a request now."""
    return not terms.leaving and request_limits.may_send(terms.limit, now_s)
