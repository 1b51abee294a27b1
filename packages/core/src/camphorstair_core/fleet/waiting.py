"""The order in which waiting requests of a service are sent to endpoints.

Services that are ranked have the order of ``ranked_order`` instead.

The order is designed for overload, when more requests arrive than the endpoints
can start in time. Requests that can still meet their latency target go first: a
request that is already late loses little by waiting longer, and would make the
next ones late too. Late requests use the remaining capacity, oldest first.
Within each of the two classes, the organisation's priority takes precedence
over the route's, then the organisation with fewer requests in progress goes
first. A request that can't be answered completely by its deadline is dropped
from the queue.
"""

import attrs

from camphorstair_core.fleet import catalogue, quarantine

AGING_S = 1.0
# Callers abort a stream that sends no event for the longest of these times:
# a fixed time, and multiples of the route's targets for the first part and for
# the gaps.
MIN_CALLER_WAIT_S = 2.0
CALLER_WAIT_TARGETS = 4
CALLER_WAIT_GAPS = 8
# Fraction of a short time limit that is reserved for the answer itself.
LAST_PART_SHARE = 0.25


@attrs.define(eq=False)
class Waiter:
    """A request that waits for an endpoint.

    :ivar organisation: The organisation that sent it.
    :ivar priority: Its priority; 0 is the most urgent.
    :ivar arrived_s: When it arrived, or from when on its position counts if
        it comes again after a refusal.
    :ivar latest_timely_start_s: Latest start at which the answer meets its
        latency target.
    :ivar latest_useful_start_s: Latest start at which the answer can be
        complete by its deadline.
    :ivar excluded: Endpoints that it must not be sent to.
    :ivar request: Identifier of the attempt, for the log.
    :ivar suspects: What in it may crash endpoints: its identity and the parts
        of its prompt that other prompts share.
    :ivar trials: Those in spite of which it is sent, as a trial.
    :ivar work_s: Estimated time for which it occupies a slot; 0 if unknown.
    :ivar kv_tokens: Estimated KV cache that it needs, in tokens; 0 if unknown.
    :ivar identity: Digest that identifies the request when it comes again.
    :ivar expected_answer_s: How long its answer may take, from its start.
    :ivar came_early: Whether it came back before the time that the refusal of
        its earlier attempt named.
    """

    organisation: str
    priority: int
    arrived_s: float
    latest_timely_start_s: float = 0
    latest_useful_start_s: float = 0
    excluded: set[str] = attrs.field(factory=set)
    request: str = ''
    suspects: tuple[str, ...] = ()
    trials: set[str] = attrs.field(factory=set)
    work_s: float = 0
    kv_tokens: int = 0
    identity: str = ''
    came_early: bool = False
    expected_answer_s: float = 0

    def untried(self) -> list[str]:
        """Return the suspects for which it is no trial."""
        return [
            suspect for suspect in self.suspects if suspect not in self.trials
        ]


@attrs.define
class Queue:
    """The waiting requests, and the number in progress per organisation.

    :ivar waiters: The waiting requests.
    :ivar in_progress: Number of requests at endpoints, by organisation.
    :ivar is_ranked: Whether its service is ranked; see ``catalogue``.
    """

    waiters: list[Waiter] = attrs.field(factory=list)
    in_progress: dict[str, int] = attrs.field(factory=dict)
    is_ranked: bool = False


@attrs.define
class CallerTimes:
    """The time limits of callers, used to estimate the age of a request.

    A caller that repeats a refused request sends it with the time that it has
    left, which is shorter than the limit of a first request.

    :ivar longest_s: The longest time limit that callers sent, by route.
    """

    longest_s: dict[str, float] = attrs.field(factory=dict)

    def elapsed_s(self, route: catalogue.Route, limit_s: float) -> float:
        """Return how long ago a caller presumably first sent a request.

        :param route: The route of the request.
        :param limit_s: The time limit that the caller sent now.
        """
        longest_s = max(limit_s, self.longest_s.get(route.name, 0))
        self.longest_s[route.name] = longest_s
        return max(0, min(route.timeout_s, longest_s) - limit_s)


def caller_wait_s(route: catalogue.Route) -> float:
    """Return how long a caller waits for the next part of an answer."""
    if route.kind is not catalogue.RequestKind.streaming:
        return route.timeout_s
    return max(
        MIN_CALLER_WAIT_S,
        CALLER_WAIT_TARGETS * route.target_s,
        CALLER_WAIT_GAPS * route.gap_target_s,
    )


def set_deadlines(
    waiter: Waiter,
    route: catalogue.Route,
    now_s: float,
    deadline_s: float,
    elapsed_s: float = 0,
) -> None:
    """Set how long a request may wait for its next attempt.

    The time that a caller waits starts anew with each part of a stream that
    the caller receives.

    :param waiter: The request to update.
    :param route: The route of the request.
    :param now_s: The time of its arrival, or of the end of an attempt.
    :param deadline_s: When its whole answer is due.
    :param elapsed_s: How long ago the caller first sent the request, if this
        is a repetition.
    """
    limit_s = min(deadline_s - now_s, caller_wait_s(route))
    answer_s = min(route.target_s, limit_s * LAST_PART_SHARE)
    waiter.latest_timely_start_s = now_s + route.target_s / 2 - elapsed_s
    waiter.latest_useful_start_s = now_s + limit_s - answer_s


def limit_start(waiter: Waiter, stop_s: float) -> None:
    """Let a request start only if its answer may be expected to end in time.

    :param waiter: The request to update.
    :param stop_s: When the process ends.
    """
    waiter.latest_useful_start_s = min(
        waiter.latest_useful_start_s, stop_s - waiter.expected_answer_s
    )


def sorted_waiters(queue: Queue, now_s: float) -> list[Waiter]:
    """Return the waiting requests in the order in which they are to be sent."""

    def rank(waiter: Waiter) -> tuple[bool, int, int, float]:
        age_bonus = int((now_s - waiter.arrived_s) / AGING_S)
        running = queue.in_progress.get(waiter.organisation, 0)
        late = now_s > waiter.latest_timely_start_s
        return late, waiter.priority - age_bonus, running, waiter.arrived_s

    return sorted(queue.waiters, key=rank)


def given_up(queue: Queue, now_s: float) -> list[Waiter]:
    """Remove the requests that can't be answered in time and return them."""
    expired = [
        waiter
        for waiter in queue.waiters
        if now_s >= waiter.latest_useful_start_s
    ]
    _remove(queue, expired)
    return expired


def quarantined(
    queue: Queue,
    known: quarantine.Quarantine,
    now_s: float,
) -> list[Waiter]:
    """Remove the quarantined requests and return them."""
    if not known.holds:
        return []
    found = [
        waiter
        for waiter in queue.waiters
        if known.find(waiter.untried(), now_s) is not None
    ]
    _remove(queue, found)
    return found


def start(queue: Queue, waiter: Waiter) -> None:
    """Move a request from the waiting ones to those in progress."""
    queue.waiters.remove(waiter)
    count_started(queue, waiter.organisation)


def count_started(queue: Queue, organisation: str) -> None:
    """Count a request of an organisation as in progress."""
    running = queue.in_progress.get(organisation, 0)
    queue.in_progress[organisation] = running + 1


def hopeless(queue: Queue, first_turn_s: float) -> list[Waiter]:
    """Remove the requests that the first possible start is too late for.

    :param first_turn_s: When some endpoint takes a request again.
    :returns: The removed requests.
    """
    found = [
        waiter
        for waiter in queue.waiters
        if waiter.latest_useful_start_s <= first_turn_s
    ]
    _remove(queue, found)
    return found


def _remove(queue: Queue, waiters: list[Waiter]) -> None:
    for waiter in waiters:
        queue.waiters.remove(waiter)


def finish(queue: Queue, organisation: str) -> None:
    """Count a request of an organisation as no longer in progress."""
    running = queue.in_progress.get(organisation, 0) - 1
    if running > 0:
        queue.in_progress[organisation] = running
    else:
        queue.in_progress.pop(organisation, None)
