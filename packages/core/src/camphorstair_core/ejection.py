"""Outlier ejection: excludes failing or slow endpoints for a limited time.

At most a share of the endpoints of a service is ejected at once.
"""

import statistics

from camphorstair_core import endpoints, subsets

EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.5
SLOW_FACTOR = 3.0
SLOW_FLOOR_S = 0.2
MIN_SAMPLES = 8
_NEW_WEIGHT = 0.2


def record_failure(
    endpoint: endpoints.Endpoint,
    peers: list[endpoints.Endpoint],
    now_s: float,
) -> bool:
    """Record a failed attempt and eject the endpoint if allowed.

    :param endpoint: The endpoint.
    :param peers: All endpoints of its service, including this one.
    :param now_s: The current time.
    :returns: Whether the endpoint was ejected.
    """
    endpoint.failures += 1
    return _eject(endpoint, peers, now_s)


def record_success(endpoint: endpoints.Endpoint, first_part_s: float) -> None:
    """Record a complete response.

    :param endpoint: The endpoint, whose moving average is updated.
    :param first_part_s: Time to the first part of the response.
    """
    endpoint.failures = 0
    if endpoint.samples:
        difference_s = first_part_s - endpoint.first_part_s
        endpoint.first_part_s += difference_s * _NEW_WEIGHT
    else:
        endpoint.first_part_s = first_part_s
    endpoint.samples += 1


def eject_slow(
    endpoint: endpoints.Endpoint,
    peers: list[endpoints.Endpoint],
    now_s: float,
) -> bool:
    """Eject an endpoint that is much slower than the median of its peers.

    :param endpoint: The endpoint.
    :param peers: All endpoints of its service, including this one.
    :param now_s: The current time.
    :returns: Whether the endpoint was ejected.
    """
    if endpoint.samples < MIN_SAMPLES:
        return False
    first_parts_s = [
        row.first_part_s for row in peers if row.samples >= MIN_SAMPLES
    ]
    median_s = statistics.median_low(first_parts_s)
    if endpoint.first_part_s <= max(SLOW_FLOOR_S, median_s * SLOW_FACTOR):
        return False
    endpoint.samples = 0
    return _eject(endpoint, peers, now_s)


def record_result(
    endpoint: endpoints.Endpoint,
    subset: subsets.Subset | None,
    first_part_s: float | None,
    now_s: float,
) -> bool:
    """Record how an attempt ended and eject the endpoint if necessary.

    :param endpoint: The endpoint.
    :param subset: The subset of its service, or None if there is none.
    :param first_part_s: Time to the first part, or None after a failure.
    :param now_s: The current time.
    :returns: Whether the endpoint was ejected.
    """
    peers = subset.rows() if subset else [endpoint]
    if first_part_s is None:
        return record_failure(endpoint, peers, now_s)
    record_success(endpoint, first_part_s)
    return eject_slow(endpoint, peers, now_s)


def _eject(
    endpoint: endpoints.Endpoint,
    peers: list[endpoints.Endpoint],
    now_s: float,
) -> bool:
    """Eject the endpoint unless too many of its peers are ejected.

    The duration doubles with each consecutive failure, up to a maximum.
    """
    ejected = sum(
        row.ejected_deadline_s > now_s for row in peers if row is not endpoint
    )
    if ejected + 1 > len(peers) * MAX_EJECTED_SHARE:
        return False
    doublings = max(0, endpoint.failures - 1)
    duration_s = min(EJECTION_S * 2**doublings, MAX_EJECTION_S)
    endpoint.ejected_deadline_s = now_s + duration_s
    return True
