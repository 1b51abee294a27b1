"""Ejects endpoints whose answers fail, up to a share of a service."""

import attrs

FAILURES_TO_EJECT = 2
EJECTION_S = 2.0
LONGEST_EJECTION_S = 10.0
LARGEST_SHARE = 0.5
# A request without any answer for this long may hang.
HANG_S = 1.0


@attrs.define(eq=False)
class Health:
    """What the last answers of an endpoint show.

    :ivar failures: Failed answers in a row.
    :ivar ejections: Ejections in a row.
    :ivar ejected_deadline_s: Until when it gets no requests.
    :ivar answered_began_s: When the latest request that it answered was sent.
    """

    failures: int = 0
    ejections: int = 0
    ejected_deadline_s: float = 0
    answered_began_s: float = 0


def is_ejected(health: Health, now_s: float) -> bool:
    """Tell whether an endpoint gets no requests for now."""
    return now_s < health.ejected_deadline_s


def on_trial(health: Health) -> bool:
    """Tell whether an endpoint was ejected and has not answered since.

    It then gets one request of each entry at a time.
    """
    return health.ejections > 0


def note_success(health: Health, began_s: float) -> None:
    """Note a whole answer.

    :param began_s: When the request was sent.
    """
    health.failures = 0
    health.ejections = 0
    health.answered_began_s = max(health.answered_began_s, began_s)


def hangs(peers: list[Health], began_s: float, now_s: float) -> bool:
    """Tell whether a request without any answer shows a fault of its endpoint.

    Endpoints that all wait for the same thing are not at fault: one must have
    answered a request that was sent later.

    :param peers: The endpoints to which it is compared.
    :param began_s: When the request was sent.
    :param now_s: The time.
    """
    if now_s - began_s < HANG_S:
        return False
    return any(one.answered_began_s > began_s for one in peers)


def note_failure(health: Health, peers: list[Health], now_s: float) -> bool:
    """Count a failed answer, and eject the endpoint after a few in a row.

    :param health: The endpoint.
    :param peers: All endpoints of its service, this one among them.
    :param now_s: The time.
    :returns: Whether it was ejected.
    """
    health.failures += 1
    if health.failures < FAILURES_TO_EJECT:
        return False
    ejected = sum(is_ejected(one, now_s) for one in peers if one is not health)
    if ejected + 1 > len(peers) * LARGEST_SHARE:
        return False
    duration_s = min(EJECTION_S * 2**health.ejections, LONGEST_EJECTION_S)
    health.ejections += 1
    health.failures = 0
    health.ejected_deadline_s = now_s + duration_s
    return True
