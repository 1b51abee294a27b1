"""The short queue for an endpoint, shared fairly between organisations."""

import enum

import attrs

from camphorstair_core import admission

WAIT_LIMIT_S = 0.25
CAPACITY_SHARE = 2
WEIGHTS = (1, 2, 4)


class AdmissionState(enum.StrEnum):
    """State of a queued request."""

    waiting = 'waiting'
    admitted = 'admitted'
    refused = 'refused'


@attrs.define(eq=False)
class Waiter:
    """A request that was put into the queue.

    :ivar organisation: The caller's organisation.
    :ivar priority: The priority, an index into ``WEIGHTS``.
    :ivar number: Sequence number, in order of arrival.
    :ivar deadline_s: When the request is refused if it is still waiting.
    :ivar turn: Whether the request is waiting, admitted or refused.
    :ivar generation: Once admitted, the generation that ``admission.start``
        returned.
    """

    organisation: str
    priority: int
    number: int
    deadline_s: float
    turn: AdmissionState = AdmissionState.waiting
    generation: int = 0


@attrs.define
class Queue:
    """The waiting and the admitted requests of one endpoint.

    :ivar waiters: The waiting requests.
    :ivar in_flight: Number of admitted requests in flight, by organisation.
    :ivar arrivals: Number of requests that have arrived so far.
    """

    waiters: list[Waiter] = attrs.field(factory=list)
    in_flight: dict[str, int] = attrs.field(factory=dict)
    arrivals: int = 0


def arrive(
    queue: Queue,
    limiter: admission.Admission,
    organisation: str,
    priority: int,
    deadline_s: float,
    now_s: float,
) -> tuple[Waiter, list[Waiter]]:
    """Admit a new request, put it into the queue, or refuse it.

    If the queue is too long, the request of the organisation with the highest
    weighted use is refused. A request is refused at once if the endpoint's
    smoothed time to the first part would exceed the caller's timeout, or if the
    endpoint is leaving or out of service.

    :param queue: The queue, which is updated.
    :param limiter: The admission state of the endpoint.
    :param organisation: The caller's organisation.
    :param priority: The priority; a higher one gets a larger share.
    :param deadline_s: When the caller's timeout expires.
    :param now_s: The current time.
    :returns: The new request, and all others that were admitted or refused by
        this call.
    """
    queue.arrivals += 1
    wait_deadline_s = min(deadline_s, now_s + WAIT_LIMIT_S)
    waiter = Waiter(organisation, priority, queue.arrivals, wait_deadline_s)
    if (
        limiter.leaving
        or limiter.out
        or now_s + limiter.first_part_s >= deadline_s
    ):
        waiter.turn = AdmissionState.refused
        return waiter, []
    queue.waiters.append(waiter)
    changed = advance(queue, limiter, now_s)
    if len(queue.waiters) > CAPACITY_SHARE * limiter.full_limit:
        displaced = _first_to_displace(queue)
        _remove(queue, displaced, AdmissionState.refused)
        changed.append(displaced)
    return waiter, [other for other in changed if other is not waiter]


def advance(
    queue: Queue,
    limiter: admission.Admission,
    now_s: float,
) -> list[Waiter]:
    """Refuse expired requests and admit others while the limit allows.

    If the endpoint is leaving or out of service, all waiting requests are
    refused.

    :param queue: The queue, which is updated.
    :param limiter: The admission state of the endpoint.
    :param now_s: The current time.
    :returns: All requests that were admitted or refused by this call.
    """
    closed = limiter.leaving or limiter.out
    changed = [
        waiter
        for waiter in queue.waiters
        if closed or now_s >= waiter.deadline_s
    ]
    for expired in changed:
        _remove(queue, expired, AdmissionState.refused)
    while queue.waiters and admission.refusal(limiter) is None:
        changed.append(_admit_next(queue, limiter))
    return changed


def give_up(queue: Queue, waiter: Waiter) -> None:
    """Remove a request from the queue if it is still waiting."""
    if waiter.turn is AdmissionState.waiting:
        _remove(queue, waiter, AdmissionState.refused)


def record_end(queue: Queue, waiter: Waiter) -> None:
    """Record that an admitted request has ended."""
    in_flight = queue.in_flight[waiter.organisation] - 1
    queue.in_flight[waiter.organisation] = in_flight
    if not in_flight:
        queue.in_flight.pop(waiter.organisation)


def _admit_next(queue: Queue, limiter: admission.Admission) -> Waiter:
    """Admit the waiting request with the lowest sort key."""
    waiter = min(queue.waiters, key=lambda queued: _sort_key(queue, queued))
    _remove(queue, waiter, AdmissionState.admitted)
    waiter.generation = admission.start(limiter)
    in_flight = queue.in_flight.get(waiter.organisation, 0)
    queue.in_flight[waiter.organisation] = in_flight + 1
    return waiter


def _sort_key(queue: Queue, waiter: Waiter) -> tuple[float, int]:
    """Return the weighted use that admission would lead to, then the age.

    The use is the number of requests that the organisation would have in
    flight, divided by the weight of the request's priority.
    """
    in_flight = queue.in_flight.get(waiter.organisation, 0)
    return (in_flight + 1) / WEIGHTS[waiter.priority], waiter.number


def _first_to_displace(queue: Queue) -> Waiter:
    """Return the waiting request to refuse when the queue is too long.

    This is the newest request among those with the highest weighted use,
    where requests in flight and waiting requests count.
    """
    demand = dict(queue.in_flight)
    for queued in queue.waiters:
        demand[queued.organisation] = demand.get(queued.organisation, 0) + 1

    def share(waiter: Waiter) -> tuple[float, int]:
        weight = WEIGHTS[waiter.priority]
        return demand[waiter.organisation] / weight, waiter.number

    return max(queue.waiters, key=share)


def _remove(queue: Queue, waiter: Waiter, turn: AdmissionState) -> None:
    queue.waiters.remove(waiter)
    waiter.turn = turn
