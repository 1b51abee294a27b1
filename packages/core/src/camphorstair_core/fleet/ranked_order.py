"""The order in which waiting requests of a ranked service are started.

The order is designed for overload by requests of different priorities. The
requests that are delayed are those that lose least by it: the less urgent ones,
and those that have missed their latency target already and have time left
before their deadline. A request of priority p has one of these tiers:

- 2p while it can meet its latency target,
- 2p + 3 when it is late: after the timely requests of the next priority,
- 2p + 1 when it is late and soon can't be answered by its deadline.

A reserved share of the starts keeps less urgent requests from starving.
"""

import attrs

from camphorstair_core.fleet import waiting

# A late request with less time than this before its latest useful start goes
# before the other late ones of its priority.
LAST_CHANCE_S = 0.5
TIERS_PER_PRIORITY = 2
LAST_CHANCE_TIERS = 1
LATE_TIERS = 3
# An organisation with more than this multiple of its fair share of the running
# requests goes after the others of the same tier.
FAIR_SHARES = 2
# While several priorities wait, each gets one start after this number of others,
# so the least urgent one gets 1 of 10.
MAX_PASSED_OVER = 9

Rank = tuple[int, bool, bool, float]


@attrs.define
class Turn:
    """The reserved share of the starts of each priority that waits.

    It covers all waiting priorities, not only the least urgent one: otherwise
    endless requests of priority 0 would leave starts to priority 2 and none to
    priority 1.

    :ivar passed_over: Number of starts of other priorities since the last start
        of this one, for each priority that waited at the last start. It does
        not exceed ``MAX_PASSED_OVER``.
    """

    passed_over: dict[int, int] = attrs.field(factory=dict)


def is_late(waiter: waiting.Waiter, now_s: float) -> bool:
    """Return whether a request can no longer meet its latency target."""
    return now_s > waiter.latest_timely_start_s


def tier(waiter: waiting.Waiter, now_s: float) -> int:
    """Return the tier of a request; requests of lower tiers go first."""
    first = TIERS_PER_PRIORITY * waiter.priority
    if not is_late(waiter, now_s):
        return first
    if waiter.latest_useful_start_s - now_s <= LAST_CHANCE_S:
        return first + LAST_CHANCE_TIERS
    return first + LATE_TIERS


def sorted_by_cost(
    queue: waiting.Queue,
    now_s: float,
    turn: Turn,
) -> list[waiting.Waiter]:
    """Return the waiting requests in the order in which they are to be sent.

    :param queue: The waiting requests.
    :param now_s: The current time.
    :param turn: The reserved share; it decides only which request is the
        first, so requests that start together have one reserved start.
    """
    ordered = ranked(queue.waiters, queue.in_progress, now_s)
    position = _reserved_position(ordered, turn)
    if position:
        ordered.insert(0, ordered.pop(position))
    return ordered


def ranked(
    waiters: list[waiting.Waiter],
    in_progress: dict[str, int],
    now_s: float,
) -> list[waiting.Waiter]:
    """Return requests by tier, without regard to the reserved share.

    :param waiters: The requests.
    :param in_progress: Number of requests at endpoints, by organisation.
    :param now_s: The current time.
    """
    above_share = _above_share(waiters, in_progress)

    def rank(waiter: waiting.Waiter) -> Rank:
        level = tier(waiter, now_s)
        due_s = waiter.latest_timely_start_s
        if level > TIERS_PER_PRIORITY * waiter.priority:
            due_s = waiter.latest_useful_start_s
        is_above = waiter.organisation in above_share
        return level, waiter.came_early, is_above, due_s

    return sorted(waiters, key=rank)


def record_start(
    turn: Turn,
    queue: waiting.Queue,
    started: waiting.Waiter,
) -> None:
    """Count a start towards the reserved share.

    :param turn: The reserved share to update.
    :param queue: The waiting requests, before or after the start.
    :param started: The request that is started.
    """
    priorities = {waiter.priority for waiter in queue.waiters}
    priorities.discard(started.priority)
    turn.passed_over = {
        priority: min(turn.passed_over.get(priority, 0) + 1, MAX_PASSED_OVER)
        for priority in priorities
    }


def _above_share(
    waiters: list[waiting.Waiter],
    in_progress: dict[str, int],
) -> set[str]:
    """Return the organisations with far more than their fair share.

    Of two organisations none can have more than twice its fair share, which is
    half of all. So the limit is at most midway between the fair share and all.
    """
    names = {waiter.organisation for waiter in waiters}
    total = sum(in_progress.values())
    fair = total / max(1, len(names.union(in_progress)))
    limit = min(FAIR_SHARES * fair, (total + fair) / 2)
    return {name for name, running in in_progress.items() if running > limit}


def _reserved_position(ordered: list[waiting.Waiter], turn: Turn) -> int:
    """Return the position of the request that gets the next start.

    :returns: 0 if no priority has been passed over long enough.
    """
    due = {
        priority
        for priority, count in turn.passed_over.items()
        if count >= MAX_PASSED_OVER
    }
    if not due:
        return 0
    positions: dict[int, int] = {}
    for position, waiter in enumerate(ordered):
        if waiter.priority in due:
            positions.setdefault(waiter.priority, position)
    # The least urgent one first, so that it gets its share in any case.
    return positions[max(positions)] if positions else 0
