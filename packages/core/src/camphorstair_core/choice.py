"""Chooses the endpoint for a request.

Endpoints in the entry's data centre come first; under high load, requests
spill over to other data centres.
"""

import random

import attrs

from camphorstair_core import affinity, endpoints, outage_recovery, subsets

SPILL_ABOVE = 0.9
SPILL_UNTIL = 0.7


@attrs.define
class EndpointCriteria:
    """Criteria for choosing the endpoint for a request.

    :ivar service: Name of the service that the request is for.
    :ivar tried: Names of endpoints at which an attempt has already failed.
    :ivar prefix: Hash of the start of the prompt; 0 if there is no prompt.
    """

    service: str
    tried: set[str] = attrs.field(factory=set)
    prefix: int = 0


def choose(
    table: subsets.SubsetTable,
    hints: affinity.CacheHints,
    criteria: EndpointCriteria,
    now_s: float,
    generator: random.Random,
) -> endpoints.Endpoint | None:
    """Choose an endpoint, preferring those in the entry's data centre.

    Of the candidates, the one with affinity to the prompt's prefix is chosen,
    or else the less loaded of two random ones. An ejected endpoint is chosen
    only if there is no other.

    :param table: The subsets of this entry.
    :param hints: Hints about cached prefixes.
    :param criteria: The criteria for the endpoint.
    :param now_s: The current time.
    :param generator: Random source.
    :returns: The endpoint, or None if none can be used.
    """
    subset = table.rows.get(criteria.service)
    if subset is None:
        return None
    candidates = _candidates(subset, criteria.tried, now_s, generator)
    if not candidates:
        return _first_to_return(subset, criteria.tried)
    if criteria.prefix:
        cached = affinity.preferred_endpoint(
            hints, criteria.prefix, candidates, now_s
        )
        if cached is not None:
            return cached
    return _less_loaded(candidates, generator)


def _candidates(
    subset: subsets.Subset,
    tried: set[str],
    now_s: float,
    generator: random.Random,
) -> list[endpoints.Candidate]:
    """Return the endpoints to choose from; far ones only when necessary.

    Far endpoints are added if no near one is left, if the near ones are under
    high load, or if the ramp of the entry's data centre does not admit the
    request.
    """
    near = _available(subset.near, now_s)
    _update_spilling(subset, near)
    if tried:
        near = [
            candidate
            for candidate in near
            if candidate.row.vm.name not in tried
        ]
    usual = not subset.near or outage_recovery.admits(
        subset.near[0].ramp_deadline_s,
        now_s,
        generator,
    )
    if near and usual and not subset.spilling:
        return near
    far = [
        candidate
        for candidate in _available(subset.far, now_s)
        if candidate.row.vm.name not in tried
    ]
    return _admitted(near + far, now_s, generator)


def _admitted(
    candidates: list[endpoints.Candidate],
    now_s: float,
    generator: random.Random,
) -> list[endpoints.Candidate]:
    """Return the candidates that the ramps of their data centres admit.

    Returns all candidates if the ramps admit none.
    """
    admitted = [
        candidate
        for candidate in candidates
        if outage_recovery.admits(
            candidate.row.ramp_deadline_s, now_s, generator
        )
    ]
    return admitted or candidates


def _available(
    rows: list[endpoints.Endpoint],
    now_s: float,
) -> list[endpoints.Candidate]:
    return [
        endpoints.Candidate(row, row.pressure(now_s))
        for row in rows
        if row.available(now_s)
    ]


def _update_spilling(
    subset: subsets.Subset,
    near: list[endpoints.Candidate],
) -> None:
    """Start or stop spilling to other data centres.

    Starts above a mean pressure of ``SPILL_ABOVE`` and stops at
    ``SPILL_UNTIL``, so that spilling does not flap. Endpoints that have not
    reported a limit don't count.
    """
    if not near:
        subset.spilling = True
        return
    pressures = [
        candidate.pressure for candidate in near if candidate.row.load.limit
    ]
    mean = sum(pressures) / (len(pressures) or 1)
    bound = SPILL_UNTIL if subset.spilling else SPILL_ABOVE
    subset.spilling = mean > bound


def _first_to_return(
    subset: subsets.Subset,
    tried: set[str],
) -> endpoints.Endpoint | None:
    """Return the ejected endpoint whose ejection ends first, if any."""
    ejected = [
        row
        for row in subset.rows()
        if not (row.leaving or row.out or row.vm.name in tried)
    ]
    return min(ejected, key=lambda row: row.ejected_deadline_s, default=None)


def _less_loaded(
    candidates: list[endpoints.Candidate],
    generator: random.Random,
) -> endpoints.Endpoint:
    """Return the less loaded of two different random candidates."""
    count = len(candidates)
    position = int(generator.random() * count)
    distance = 1 + int(generator.random() * (count - 1))
    first = candidates[position]
    second = candidates[(position + distance) % count]
    return second.row if second.pressure < first.pressure else first.row
