"""Chooses the engines that an entry asks for idle slots of other entries.

The entry's requests wait although reports show slots that are free. It may not
use these slots, as other entries own them, so it asks the agents of some of the
engines. An agent that grants a slot replies; a refusal has no reply.

The rounds bound the messages: an entry sends at most ``MAX_ASKED`` requests
every ``ROUND_S``, which is 200 a second of about 110 bytes with their headers,
22 KB/s while many reports show slots of others, and none while no request
waits. An agent receives at most 20 a second from each of 8 entries, 18 KB/s.
"""

import random

import attrs

from camphorstair_core.fleet import placement, ranked_order, waiting

# Engines that an entry asks in one round.
MAX_ASKED = 4
# Engines asked beyond the number of waiting requests: a report may be out of
# date, and an agent that refuses does not reply.
SPARE_ASKED = 1
# Shortest time between two rounds of an entry. Several rounds fit into the two
# report intervals for which a request may wait beside a free slot.
ROUND_S = 0.02
# Shortest time between two requests to the same engine.
ENGINE_INTERVAL_S = 0.05
# After this wait of a request, as many engines are asked as a round allows.
LONG_WAIT_S = 0.1


@attrs.frozen
class Asked:
    """A request for a slot that has no reply yet.

    :ivar number: Number of the request, which its grant repeats.
    :ivar candidate: The endpoint whose slot was asked for.
    :ivar sent_s: When the request was sent.
    """

    number: int
    candidate: placement.Candidate
    sent_s: float


@attrs.define(eq=False)
class SlotRequests:
    """The requests for slots that an entry has sent.

    :ivar last_number: Number of the last request. The first one should be
        random, so that a grant to an earlier process matches no request.
    :ivar next_round_s: When engines may be asked again.
    :ivar next_ask_s: When each engine may be asked again, by its address.
    :ivar asked: The last request to each engine that has no reply, by the
        engine's address.
    :ivar granted: Endpoints with a grant whose outcome is not counted yet.
    """

    last_number: int
    next_round_s: float = 0
    next_ask_s: dict[str, float] = attrs.field(factory=dict)
    asked: dict[str, Asked] = attrs.field(factory=dict)
    granted: list[placement.Candidate] = attrs.field(factory=list)


def lends_slot(candidate: placement.Candidate, now_s: float) -> bool:
    """Return whether a report shows a free slot that the entry may not use.

    Only the entries that the endpoint selected ask for its slots.
    """
    load = candidate.load
    if candidate.place is None or load.reported_s <= 0:
        return False
    if now_s - load.reported_s >= placement.REPORT_MAX_AGE_S:
        return False
    return _free_slots(candidate, now_s) >= 1 and not placement.has_free_slot(
        candidate, now_s
    )


def ask(
    requests: SlotRequests,
    candidates: list[placement.Candidate],
    waiters: list[waiting.Waiter],
    now_s: float,
    generator: random.Random,
) -> list[Asked]:
    """Return the requests to send in a round that begins now.

    Until a request has waited for long, hardly more are sent than requests
    wait, because an unused grant keeps a slot idle. The endpoints with the most
    free slots are asked first.

    :param requests: The sent requests, to which those returned are added.
    :param candidates: Endpoints that lend slots and may be sent a request.
    :param waiters: The waiting requests.
    :param now_s: The current time.
    :param generator: Breaks ties, so that entries ask different endpoints.
    """
    requests.next_round_s = now_s + ROUND_S
    useful = [
        row
        for row in candidates
        if _is_useful(row, waiters)
        and now_s >= requests.next_ask_s.get(_address(row), 0)
    ]
    generator.shuffle(useful)
    useful.sort(key=lambda row: _free_slots(row, now_s), reverse=True)
    sent = []
    for candidate in useful[: _wanted_replies(waiters, now_s)]:
        requests.last_number += 1
        asked = Asked(requests.last_number, candidate, now_s)
        # A grant for an earlier request to this endpoint comes too late: the
        # agent replaces it by the grant for this request.
        address = _address(candidate)
        requests.asked[address] = asked
        requests.next_ask_s[address] = now_s + ENGINE_INTERVAL_S
        sent.append(asked)
    return sent


def record_grant(
    requests: SlotRequests,
    address: str,
    number: int,
    valid_s: float,
    now_s: float,
) -> placement.Candidate | None:
    """Record a grant at the load of its endpoint.

    The validity counts from the sending of the request, so that the grant never
    lapses later here than at its agent.

    :param requests: The sent requests.
    :param address: Address of the engine.
    :param number: Number of the request that the grant is for.
    :param valid_s: For how long the agent keeps the slot.
    :param now_s: The current time.
    :returns: The endpoint; None if the grant answers no request, or is late.
    """
    asked = requests.asked.get(address)
    if asked is None or asked.number != number:
        return None
    requests.asked.pop(address)
    deadline_s = asked.sent_s + min(valid_s, placement.GRANT_VALID_S)
    if not now_s < deadline_s:
        return None
    asked.candidate.load.grant_deadline_s = deadline_s
    requests.granted.append(asked.candidate)
    return asked.candidate


def remove_expired(requests: SlotRequests, now_s: float) -> int:
    """Remove the grants that have ended; return how many were not used."""
    expired = 0
    in_force = []
    for candidate in requests.granted:
        if placement.has_grant(candidate.load, now_s):
            in_force.append(candidate)
        elif candidate.load.grant_deadline_s:
            candidate.load.grant_deadline_s = 0
            expired += 1
    requests.granted = in_force
    requests.next_ask_s = {
        address: next_s
        for address, next_s in requests.next_ask_s.items()
        if now_s < next_s
    }
    requests.asked = {
        address: asked
        for address, asked in requests.asked.items()
        if now_s - asked.sent_s < placement.GRANT_VALID_S
    }
    return expired


def most_urgent_tier(waiters: list[waiting.Waiter], now_s: float) -> int:
    """Return the lowest tier of the waiting requests; 0 is the most urgent."""
    return min(ranked_order.tier(waiter, now_s) for waiter in waiters)


def _wanted_replies(waiters: list[waiting.Waiter], now_s: float) -> int:
    """Return how many engines to ask in a round."""
    oldest_s = min(waiter.arrived_s for waiter in waiters)
    if now_s >= oldest_s + LONG_WAIT_S:
        return MAX_ASKED
    return min(MAX_ASKED, len(waiters) + SPARE_ASKED)


def _address(candidate: placement.Candidate) -> str:
    return candidate.endpoint.registration.address


def _free_slots(candidate: placement.Candidate, now_s: float) -> float:
    slots = candidate.endpoint.registration.slots
    return slots - placement.estimated_work(candidate.load, now_s)


def _is_useful(
    candidate: placement.Candidate, waiters: list[waiting.Waiter]
) -> bool:
    """Return whether any of the waiting requests may use an endpoint."""
    name = candidate.endpoint.registration.endpoint
    return any(name not in waiter.excluded for waiter in waiters)
