"""Chooses the endpoint of a request."""

import random

import attrs

from camphorstair_core import affinity, endpoints, returning, subsets

SPILL_ABOVE = 0.9
SPILL_UNTIL = 0.7


@attrs.define
class Wish:
    """What a request needs of its endpoint.

    :ivar service: The service that it is for.
    :ivar tried: Names of endpoints that did not answer it.
    :ivar prefix: Number of its prompt's first part; 0 for none.
    """

    service: str
    tried: set[str] = attrs.field(factory=set)
    prefix: int = 0


def choose(
    table: subsets.SubsetTable,
    hints: affinity.CacheHints,
    wish: Wish,
    now_s: float,
    generator: random.Random,
) -> endpoints.Endpoint | None:
    """Choose an endpoint, near ones first.

    An ejected endpoint is chosen only when no other is left.

    :param table: The subsets of this entry.
    :param hints: Where prefixes are thought to be cached.
    :param wish: What the request needs.
    :param now_s: The time.
    :param generator: Source of the two picks.
    :returns: The endpoint, or None if none is left.
    """
    subset = table.rows.get(wish.service)
    if subset is None:
        return None
    candidates = _candidates(subset, wish.tried, now_s, generator)
    if not candidates:
        return _last_resort(subset, wish.tried)
    if wish.prefix:
        kept = affinity.preferred(hints, wish.prefix, candidates, now_s)
        if kept is not None:
            return kept
    return _less_loaded(candidates, generator)


def _candidates(
    subset: subsets.Subset,
    tried: set[str],
    now_s: float,
    generator: random.Random,
) -> list[endpoints.Candidate]:
    near = _available(subset.near, now_s)
    _note_pressure(subset, near)
    if tried:
        near = [one for one in near if one.row.vm.name not in tried]
    usual = not subset.near or returning.admits(
        subset.near[0].ramp_deadline_s,
        now_s,
        generator,
    )
    if near and usual and not subset.spilling:
        return near
    far = [
        one
        for one in _available(subset.far, now_s)
        if one.row.vm.name not in tried
    ]
    return _admitted(near + far, now_s, generator)


def _admitted(
    candidates: list[endpoints.Candidate],
    now_s: float,
    generator: random.Random,
) -> list[endpoints.Candidate]:
    """Leave out endpoints of data centres that return, but never all."""
    admitted = [
        one
        for one in candidates
        if returning.admits(one.row.ramp_deadline_s, now_s, generator)
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


def _note_pressure(
    subset: subsets.Subset,
    near: list[endpoints.Candidate],
) -> None:
    """Begin to spill above one mean pressure and end below a lower one.

    Endpoints that have not reported a limit do not count.
    """
    if not near:
        subset.spilling = True
        return
    known = [one.pressure for one in near if one.row.load.limit]
    mean = sum(known) / (len(known) or 1)
    bound = SPILL_UNTIL if subset.spilling else SPILL_ABOVE
    subset.spilling = mean > bound


def _last_resort(
    subset: subsets.Subset,
    tried: set[str],
) -> endpoints.Endpoint | None:
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
    count = len(candidates)
    place = int(generator.random() * count)
    distance = 1 + int(generator.random() * (count - 1))
    first = candidates[place]
    second = candidates[(place + distance) % count]
    return second.row if second.pressure < first.pressure else first.row
