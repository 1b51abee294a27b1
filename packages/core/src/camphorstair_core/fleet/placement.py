"""Chooses the endpoint of a request by the expected time to its first token.

The policy is designed for full load, when all slots are in use. An endpoint
has one slot for each request that it can run concurrently. Every entry sees a
freed slot at the same time; if all of them filled it, their requests would
queue behind each other at the endpoint. Therefore each entry owns some of the
slots of each endpoint, which it refills when its own requests end. It uses the
slots of other entries only while several slots are free.

An entry knows its own requests at once, but sees those of other entries only
in the endpoint's last report. The number of requests at an endpoint is
estimated as the reported number, plus this entry's requests sent since then,
minus this entry's requests that ended since then.
"""

import random

import attrs

from camphorstair_core.fleet import (
    ejection,
    endpoint_terms,
    request_limits,
    roster,
)

REMOTE_PENALTY = 0.5
EJECTED_PENALTY = 1000.0
REPORT_MAX_AGE_S = 1.0
# A rank that is slower than the fastest rank of its group by more than this
# factor receives no requests.
SLOW_FACTOR = 1.4
# Beyond this factor a rank makes the gaps in all streams of its group too long.
STALLING_FACTOR = 2.5
MAX_SLOW_SHARE = 0.5
# With at least this many free slots, or more than half of all, an entry may use
# any of them.
AMPLE_FREE_SLOTS = 3
# For how long an entry may use a slot that an agent has granted it. It covers
# two report intervals, so that a report shows the request before the end.
GRANT_VALID_S = 0.25


@attrs.define(eq=False)
class Load:
    """The load of an endpoint: this entry's requests and the last report.

    :ivar running: Requests of this entry at the endpoint now.
    :ivar reported: Requests of all entries in the last report, running and
        waiting.
    :ivar reported_own: Requests of this entry at the time of that report.
    :ivar reported_s: When the last report arrived; 0 if none has.
    :ivar waiting: Waiting requests in the last report.
    :ivar is_open: Whether the endpoint's rank group worked, by that report.
    :ivar pace: The endpoint's slowdown factor in that report; 1 is its usual
        speed.
    :ivar grant_deadline_s: Until when this entry may send one request more, as
        the agent has granted it a slot; 0 if it has not.
    :ivar kv_reported: Tokens in the engine's memory, by the last report that
        states them.
    :ivar kv_reported_s: When that report arrived; 0 if none has.
    :ivar kv_sent: For each request sent since that report, when it was sent
        and the tokens that it needs.
    """

    running: int = 0
    reported: int = 0
    reported_own: int = 0
    reported_s: float = 0
    waiting: int = 0
    is_open: bool = True
    pace: float = 1.0
    grant_deadline_s: float = 0
    kv_reported: int = 0
    kv_reported_s: float = 0
    kv_sent: list[tuple[float, float]] = attrs.field(factory=list)


@attrs.define(eq=False)
class Candidate:
    """An endpoint that a request may be sent to.

    :ivar endpoint: The endpoint.
    :ivar load: Its load.
    :ivar health: Its health, derived from its latest answers.
    :ivar terms: The terms on which it takes requests.
    :ivar own_slots: How many of its slots this entry owns.
    :ivar place: The place of this entry among those that use the endpoint;
        None if the endpoint did not select it.
    :ivar users: Number of entries that use the endpoint.
    """

    endpoint: roster.Endpoint
    load: Load
    health: ejection.Health
    terms: endpoint_terms.Terms = attrs.field(factory=endpoint_terms.Terms)
    own_slots: int = 0
    place: int | None = None
    users: int = 1

    def sharing(self) -> request_limits.Sharing:
        """Return how this entry shares the endpoint with others."""
        return request_limits.Sharing(self.users, self.place)


def record_report(load: Load, running: int, waiting: int, now_s: float) -> None:
    """Update a load from an endpoint's report.

    :param load: The load to update.
    :param running: Running requests of all callers.
    :param waiting: Waiting requests of all callers.
    :param now_s: The current time.
    """
    load.reported = running + waiting
    load.waiting = waiting
    load.reported_own = load.running
    load.reported_s = now_s


def reported_closed(load: Load, now_s: float) -> bool:
    """Return whether a recent report says that the rank group does not work."""
    return not load.is_open and now_s - load.reported_s < REPORT_MAX_AGE_S


def estimated_work(load: Load, now_s: float) -> float:
    """Return the estimated number of requests at an endpoint, of all callers.

    Without a recent report, only this entry's requests are counted.
    """
    if load.reported_s and now_s - load.reported_s < REPORT_MAX_AGE_S:
        changed = load.running - load.reported_own
        return max(load.reported + changed, load.running)
    return load.running


def has_grant(load: Load, now_s: float) -> bool:
    """Return whether a slot that an agent granted may be used now."""
    return now_s < load.grant_deadline_s


def has_free_slot(candidate: Candidate, now_s: float) -> bool:
    """Return whether this entry may send an endpoint one more request."""
    load = candidate.load
    if has_grant(load, now_s):
        return True
    slots = candidate.endpoint.registration.slots
    free = slots - estimated_work(load, now_s)
    if free >= min(AMPLE_FREE_SLOTS, slots // 2 + 1):
        return True
    return free >= 1 and load.running < candidate.own_slots


def slow_ranks(
    candidates: list[Candidate],
    factor: float,
    now_s: float,
) -> list[Candidate]:
    """Return the ranks that slow down their whole group.

    All ranks of a group run each pass together, so each request at a slow rank
    delays the requests of all ranks. A slow rank without requests of its own
    delays the group only little.

    :param candidates: Usable endpoints of one service.
    :param factor: A rank is slow if its slowdown factor exceeds that of the
        fastest rank by more than this factor.
    :param now_s: The current time.
    :returns: The slow ranks; empty if there are so many of them that the
        others could not handle the load.
    """
    limit = factor * min(
        (_rank_pace(candidate, now_s) for candidate in candidates), default=1
    )
    slow = [
        candidate
        for candidate in candidates
        if _rank_pace(candidate, now_s) > limit
    ]
    return slow if len(slow) <= MAX_SLOW_SHARE * len(candidates) else []


def _rank_pace(candidate: Candidate, now_s: float) -> float:
    """Return the slowdown factor of a rank.

    The factor is 1 for an endpoint that is not a rank, and without a recent
    report.
    """
    if candidate.endpoint.registration.membership is None:
        return 1
    load = candidate.load
    return load.pace if now_s - load.reported_s < REPORT_MAX_AGE_S else 1


def choose(
    candidates: list[Candidate],
    data_centre: str,
    now_s: float,
    generator: random.Random,
) -> Candidate | None:
    """Return the candidate with the shortest expected wait.

    Endpoints in other data centres are penalised. Ties are broken at random,
    so that entries that do not know of each other's choices spread their
    requests.

    :param candidates: Usable endpoints; shuffled as a side effect.
    :param data_centre: The data centre of this entry.
    :param now_s: The current time.
    :param generator: The random numbers that break ties.
    :returns: None if there are no candidates.
    """
    if not candidates:
        return None
    generator.shuffle(candidates)
    return min(
        candidates,
        key=lambda candidate: _cost(candidate, data_centre, now_s),
    )


def _cost(candidate: Candidate, data_centre: str, now_s: float) -> float:
    registration = candidate.endpoint.registration
    load = candidate.load
    # Counting the new request makes a slow endpoint cost more even when idle.
    requests = (estimated_work(load, now_s) + 1) * max(1, load.pace)
    if registration.data_centre != data_centre:
        requests += REMOTE_PENALTY
    cost = requests / max(1, registration.slots)
    if ejection.is_ejected(candidate.health, now_s):
        cost += EJECTED_PENALTY
    return cost
