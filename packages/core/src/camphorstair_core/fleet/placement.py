"""Chooses the endpoint of a request by the time until its first token.

Written for the load in which all places are taken: a place that becomes free
shows to every entry at once, and if all of them fill it, their requests wait
one behind the other at the endpoint. So each entry has places of its own at
each endpoint, which it fills again when its own requests end, and uses those of
others only while several are free.

What this entry has sent is known at once; what others have sent shows in the
endpoint's last report. An endpoint's work is estimated as what it reported,
plus what was sent since, less what ended since.
"""

import random

import attrs

from camphorstair_core.fleet import ejection, roster

FAR_PENALTY = 0.5
EJECTED_PENALTY = 1000.0
REPORT_LIFE_S = 1.0
# A rank this much slower than the fastest one of its group gets no requests.
SLOW_FACTOR = 1.4
# One this much slower makes the pauses of all streams too long.
STALLING_FACTOR = 2.5
LARGEST_SLOW_SHARE = 0.5
# With this many free places an entry need not ask whose they are.
PLENTY = 3


@attrs.define(eq=False)
class Load:
    """The work of an endpoint.

    :ivar running: Requests of this entry at it.
    :ivar reported: Requests of all that it reported, running and waiting.
    :ivar reported_own: Requests of this entry when it reported.
    :ivar reported_s: When it reported; 0 if it never has.
    :ivar waiting: Waiting requests that it reported.
    :ivar is_open: Whether its rank group worked when it reported.
    :ivar pace: How much slower than usual it was when it reported.
    """

    running: int = 0
    reported: int = 0
    reported_own: int = 0
    reported_s: float = 0
    waiting: int = 0
    is_open: bool = True
    pace: float = 1.0


@attrs.define(eq=False)
class Candidate:
    """An endpoint with its work and its health.

    :ivar endpoint: The endpoint.
    :ivar load: Its work.
    :ivar health: How its last answers went.
    :ivar own_places: How many of its places belong to this entry.
    """

    endpoint: roster.Endpoint
    load: Load
    health: ejection.Health
    own_places: int = 0


def note_report(load: Load, running: int, waiting: int, now_s: float) -> None:
    """Take over what an endpoint reported of its work.

    :param running: Requests of all callers that run.
    :param waiting: Requests of all callers that wait.
    """
    load.reported = running + waiting
    load.waiting = waiting
    load.reported_own = load.running
    load.reported_s = now_s


def reported_closed(load: Load, now_s: float) -> bool:
    """Tell whether a fresh report says that the rank group does not work."""
    return not load.is_open and now_s - load.reported_s < REPORT_LIFE_S


def estimated_work(load: Load, now_s: float) -> float:
    """Return how many requests an endpoint has, of all callers."""
    if load.reported_s and now_s - load.reported_s < REPORT_LIFE_S:
        changed = load.running - load.reported_own
        return max(load.reported + changed, load.running)
    return load.running


def share_places(
    candidates: list[Candidate],
    place: int,
    entries: int,
) -> None:
    """Set which places belong to an entry.

    Where there are fewer places than entries, those without any may use all.

    :param candidates: All endpoints of a service.
    :param place: The entry's place among the entries.
    :param entries: Number of entries.
    """
    candidates.sort(key=_name)
    for turn, candidate in enumerate(candidates, place):
        slots = candidate.endpoint.registration.slots
        candidate.own_places = own_places(slots, turn, entries)
    if not any(one.own_places for one in candidates):
        for shared in candidates:
            shared.own_places = shared.endpoint.registration.slots


def own_places(slots: int, turn: int, entries: int) -> int:
    """Return how many places of an endpoint belong to one entry.

    The shares of all entries add up to the places, and those of an entry at
    successive endpoints differ by one at most.

    :param slots: Places of the endpoint.
    :param turn: The sum of the entry's place among the entries and the
        endpoint's place among those of the service.
    :param entries: Number of entries.
    """
    turn %= entries
    return slots * (turn + 1) // entries - slots * turn // entries


def has_place(candidate: Candidate, now_s: float) -> bool:
    """Tell whether an entry may send an endpoint one more request."""
    load = candidate.load
    slots = candidate.endpoint.registration.slots
    free = slots - estimated_work(load, now_s)
    if free >= min(PLENTY, slots):
        return True
    return free >= 1 and load.running < candidate.own_places


def slow_ranks(
    candidates: list[Candidate],
    factor: float,
    now_s: float,
) -> list[Candidate]:
    """Return the ranks that hold up their whole group.

    All ranks make a pass together, so each request at a slow rank slows the
    requests of all. A rank without requests of its own holds up little.

    :param candidates: Endpoints of one service that may be used.
    :param factor: How much slower than the fastest one a slow rank is.
    :returns: Nothing if so many are slow that the others could not do.
    """
    limit = factor * min(
        (_rank_pace(one, now_s) for one in candidates), default=1
    )
    slow = [one for one in candidates if _rank_pace(one, now_s) > limit]
    return slow if len(slow) <= LARGEST_SLOW_SHARE * len(candidates) else []


def _rank_pace(candidate: Candidate, now_s: float) -> float:
    """Return how much slower than usual a rank is; 1 if it is no rank."""
    if candidate.endpoint.registration.membership is None:
        return 1
    load = candidate.load
    return load.pace if now_s - load.reported_s < REPORT_LIFE_S else 1


def choose(
    candidates: list[Candidate],
    data_centre: str,
    now_s: float,
    generator: random.Random,
) -> Candidate | None:
    """Return the candidate with the least expected wait, near ones first.

    Ties are broken at random, so that entries that do not see each other
    spread out.

    :param candidates: Endpoints that may be used.
    :param data_centre: The data centre of this entry.
    """
    if not candidates:
        return None
    generator.shuffle(candidates)
    return min(candidates, key=lambda one: _cost(one, data_centre, now_s))


def _cost(candidate: Candidate, data_centre: str, now_s: float) -> float:
    registration = candidate.endpoint.registration
    load = candidate.load
    # The request itself counts, so that a slow endpoint costs more when idle.
    work = (estimated_work(load, now_s) + 1) * max(1, load.pace)
    if registration.data_centre != data_centre:
        work += FAR_PENALTY
    cost = work / max(1, registration.slots)
    if ejection.is_ejected(candidate.health, now_s):
        cost += EJECTED_PENALTY
    return cost


def _name(candidate: Candidate) -> str:
    return candidate.endpoint.registration.endpoint
