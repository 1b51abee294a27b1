"""The short queue before an endpoint, shared fairly between organisations."""

import enum

import attrs

from camphorstair_core import admission

WAIT_LIMIT_S = 0.25
CAPACITY_SHARE = 2
WEIGHTS = (1, 2, 4)


class Turn(enum.StrEnum):
    """Where a waiting request stands."""

    waiting = 'waiting'
    admitted = 'admitted'
    refused = 'refused'


@attrs.define(eq=False)
class Waiter:
    """A request that waits for its turn.

    :ivar number: Order of arrival.
    :ivar deadline_s: When it is refused.
    :ivar generation: The generation of the admission, once admitted.
    """

    organisation: str
    priority: int
    number: int
    deadline_s: float
    turn: Turn = Turn.waiting
    generation: int = 0


@attrs.define
class Queue:
    """All that wait, and what each organisation has at the endpoint.

    :ivar waiters: Those that wait.
    :ivar in_flight: Admitted requests by organisation.
    :ivar arrivals: Requests so far.
    """

    waiters: list[Waiter] = attrs.field(factory=list)
    in_flight: dict[str, int] = attrs.field(factory=dict)
    arrivals: int = 0


def arrive(
    queue: Queue,
    gate: admission.Admission,
    organisation: str,
    priority: int,
    deadline_s: float,
    now_s: float,
) -> tuple[Waiter, list[Waiter]]:
    """Admit a request, let it wait, or refuse it.

    :param queue: The queue.
    :param gate: The admission.
    :param organisation: The caller's organisation.
    :param priority: The priority; a higher one gets a larger share.
    :param deadline_s: When the caller gives up.
    :param now_s: The time.
    :returns: The request, and all others whose turn has come or is lost.
    """
    queue.arrivals += 1
    wait_deadline_s = min(deadline_s, now_s + WAIT_LIMIT_S)
    waiter = Waiter(organisation, priority, queue.arrivals, wait_deadline_s)
    if gate.leaving or gate.out or now_s + gate.first_part_s >= deadline_s:
        waiter.turn = Turn.refused
        return waiter, []
    queue.waiters.append(waiter)
    changed = advance(queue, gate, now_s)
    if len(queue.waiters) > CAPACITY_SHARE * gate.full_limit:
        displaced = _least_entitled(queue)
        _leave(queue, displaced, Turn.refused)
        changed.append(displaced)
    return waiter, [one for one in changed if one is not waiter]


def advance(
    queue: Queue,
    gate: admission.Admission,
    now_s: float,
) -> list[Waiter]:
    """Give free places to those whose turn it is.

    :returns: All whose turn has come or is lost.
    """
    closed = gate.leaving or gate.out
    changed = [
        waiter
        for waiter in queue.waiters
        if closed or now_s >= waiter.deadline_s
    ]
    for lost in changed:
        _leave(queue, lost, Turn.refused)
    while queue.waiters and admission.refusal(gate) is None:
        changed.append(_admit_next(queue, gate))
    return changed


def give_up(queue: Queue, waiter: Waiter) -> None:
    """Take a request that waits out of the queue."""
    if waiter.turn is Turn.waiting:
        _leave(queue, waiter, Turn.refused)


def note_end(queue: Queue, waiter: Waiter) -> None:
    """Note that an admitted request has ended."""
    held = queue.in_flight[waiter.organisation] - 1
    queue.in_flight[waiter.organisation] = held
    if not held:
        queue.in_flight.pop(waiter.organisation)


def _admit_next(queue: Queue, gate: admission.Admission) -> Waiter:
    waiter = min(queue.waiters, key=lambda one: _order(queue, one))
    _leave(queue, waiter, Turn.admitted)
    waiter.generation = admission.start(gate)
    held = queue.in_flight.get(waiter.organisation, 0)
    queue.in_flight[waiter.organisation] = held + 1
    return waiter


def _order(queue: Queue, waiter: Waiter) -> tuple[float, int]:
    """Order by the share that the organisation would have, then by age."""
    held = queue.in_flight.get(waiter.organisation, 0)
    return (held + 1) / WEIGHTS[waiter.priority], waiter.number


def _least_entitled(queue: Queue) -> Waiter:
    """Return the last of the organisation that has and waits for the most."""
    wanted = dict(queue.in_flight)
    for one in queue.waiters:
        wanted[one.organisation] = wanted.get(one.organisation, 0) + 1

    def share(waiter: Waiter) -> tuple[float, int]:
        weight = WEIGHTS[waiter.priority]
        return wanted[waiter.organisation] / weight, waiter.number

    return max(queue.waiters, key=share)


def _leave(queue: Queue, waiter: Waiter, turn: Turn) -> None:
    queue.waiters.remove(waiter)
    waiter.turn = turn
