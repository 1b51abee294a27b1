"""The order in which requests of one service get an endpoint.

Written for the load in which more requests come than the endpoints can start
in time. Requests that can still be timely go first: one that is late already
loses little by waiting longer, and would make the next ones late too. Late
requests use what is left, oldest first. Within each class the organisation's
priority decides before the route's, then how little the organisation has in
progress. A request whose answer can't be whole by its deadline is given up.
"""

import attrs

from camphorstair_core.fleet import catalogue

AGING_S = 1.0
# Callers leave a stream without an event after the longest of these.
PATIENCE_S = 2.0
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
# Part of a short time limit that is kept for the answer itself.
LAST_PART_SHARE = 0.25


@attrs.define(eq=False)
class Waiter:
    """A request that needs an endpoint.

    :ivar organisation: Who sent it.
    :ivar priority: Its rank; 0 is the most urgent.
    :ivar arrived_s: When it came.
    :ivar timely_until_s: Latest start of a timely answer.
    :ivar useful_until_s: Latest start of a whole answer.
    :ivar excluded: Endpoints that it may not be sent to.
    """

    organisation: str
    priority: int
    arrived_s: float
    timely_until_s: float = 0
    useful_until_s: float = 0
    excluded: set[str] = attrs.field(factory=set)


@attrs.define
class Queue:
    """What waits, and what each organisation has in progress.

    :ivar waiters: Those that wait.
    :ivar in_progress: Requests at endpoints, by organisation.
    """

    waiters: list[Waiter] = attrs.field(factory=list)
    in_progress: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class CallerTimes:
    """How long callers wait, which tells whether a request came back.

    A caller that comes back after a refusal has less time left than others.

    :ivar longest_s: The longest time that callers of a route gave.
    """

    longest_s: dict[str, float] = attrs.field(factory=dict)

    def elapsed_s(self, route: catalogue.Route, limit_s: float) -> float:
        """Return how long ago a caller first sent a request.

        :param limit_s: The time that it gives now.
        """
        longest_s = max(limit_s, self.longest_s.get(route.name, 0))
        self.longest_s[route.name] = longest_s
        return max(0, min(route.timeout_s, longest_s) - limit_s)


def patience_s(route: catalogue.Route) -> float:
    """Return how long a caller waits for the first part of an answer."""
    if route.kind is not catalogue.RequestKind.streaming:
        return route.timeout_s
    return max(
        PATIENCE_S,
        PATIENCE_TARGETS * route.target_s,
        PATIENCE_GAPS * route.gap_target_s,
    )


def set_deadlines(
    waiter: Waiter,
    route: catalogue.Route,
    now_s: float,
    deadline_s: float,
    elapsed_s: float = 0,
) -> None:
    """Set how long a request may wait for its next attempt.

    The caller's patience begins anew with each part of a stream that it gets.

    :param now_s: The time of its arrival, or of the end of an attempt.
    :param deadline_s: When its final answer is due.
    :param elapsed_s: How long ago the caller first sent it, if it came back.
    """
    limit_s = min(deadline_s - now_s, patience_s(route))
    answer_s = min(route.target_s, limit_s * LAST_PART_SHARE)
    waiter.timely_until_s = now_s + route.target_s / 2 - elapsed_s
    waiter.useful_until_s = now_s + limit_s - answer_s


def in_order(queue: Queue, now_s: float) -> list[Waiter]:
    """Return those that wait, the next one first."""

    def rank(waiter: Waiter) -> tuple[bool, int, int, float]:
        aged = int((now_s - waiter.arrived_s) / AGING_S)
        held = queue.in_progress.get(waiter.organisation, 0)
        late = now_s > waiter.timely_until_s
        return late, waiter.priority - aged, held, waiter.arrived_s

    return sorted(queue.waiters, key=rank)


def given_up(queue: Queue, now_s: float) -> list[Waiter]:
    """Take out and return those whose answer can't be whole in time."""
    lost = [one for one in queue.waiters if now_s >= one.useful_until_s]
    for waiter in lost:
        queue.waiters.remove(waiter)
    return lost


def start(queue: Queue, waiter: Waiter) -> None:
    """Note that a request got an endpoint."""
    queue.waiters.remove(waiter)
    held = queue.in_progress.get(waiter.organisation, 0)
    queue.in_progress[waiter.organisation] = held + 1


def finish(queue: Queue, organisation: str) -> None:
    """Note that a request has left its endpoint."""
    held = queue.in_progress.get(organisation, 0) - 1
    if held > 0:
        queue.in_progress[organisation] = held
    else:
        queue.in_progress.pop(organisation, None)
