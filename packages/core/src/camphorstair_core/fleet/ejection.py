"""Ejects endpoints whose answers fail, as an outlier detector does.

An ejected endpoint receives no requests for a time that doubles with each
consecutive ejection, up to a maximum. At most a fixed share of a service is
ejected at once.
"""

import attrs

FAILURES_TO_EJECT = 2
EJECTION_S = 2.0
MAX_EJECTION_S = 10.0
MAX_EJECTED_SHARE = 0.5
# A request that got no part of an answer for this long may hang.
HANG_S = 1.0


@attrs.define(eq=False)
class Health:
    """The health of an endpoint, derived from its latest answers.

    :ivar failures: Consecutive failed answers.
    :ivar ejections: Ejections since the last successful answer.
    :ivar ejected_deadline_s: End of the current or latest ejection.
    :ivar answered_began_s: When the newest request that the endpoint has
        answered was sent.
    """

    failures: int = 0
    ejections: int = 0
    ejected_deadline_s: float = 0
    answered_began_s: float = 0


def is_ejected(health: Health, now_s: float) -> bool:
    """Return whether an endpoint is ejected at present."""
    return now_s < health.ejected_deadline_s


def is_recovering(health: Health) -> bool:
    """Return whether an endpoint was ejected and has not answered since.

    Each entry sends such an endpoint only one request at a time.
    """
    return health.ejections > 0


def record_success(health: Health, began_s: float) -> None:
    """Record a complete answer; reset the counts of failures and ejections.

    :param health: The health of the endpoint.
    :param began_s: When the request was sent.
    """
    health.failures = 0
    health.ejections = 0
    health.answered_began_s = max(health.answered_began_s, began_s)


def hangs(peers: list[Health], began_s: float, now_s: float) -> bool:
    """Return whether an unanswered request indicates a faulty endpoint.

    Endpoints that all wait for the same dependency are not at fault, so at
    least one peer must have answered a request that was sent later.

    :param peers: The endpoints to compare with.
    :param began_s: When the request was sent.
    :param now_s: The current time.
    """
    if now_s - began_s < HANG_S:
        return False
    return any(peer.answered_began_s > began_s for peer in peers)


def record_failure(health: Health, peers: list[Health], now_s: float) -> bool:
    """Record a failed answer; eject the endpoint after consecutive failures.

    The endpoint is not ejected if the ejected share of its service would then
    exceed the allowed share.

    :param health: The health of the endpoint.
    :param peers: The health of all endpoints of its service, including itself.
    :param now_s: The current time.
    :returns: Whether the endpoint was ejected by this call.
    """
    health.failures += 1
    if health.failures < FAILURES_TO_EJECT:
        return False
    ejected = sum(
        is_ejected(peer, now_s) for peer in peers if peer is not health
    )
    if ejected + 1 > len(peers) * MAX_EJECTED_SHARE:
        return False
    duration_s = min(EJECTION_S * 2**health.ejections, MAX_EJECTION_S)
    health.ejections += 1
    health.failures = 0
    health.ejected_deadline_s = now_s + duration_s
    return True
