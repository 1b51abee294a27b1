"""Plays the queue of a ranked service under a given load."""

import heapq
import itertools
import random
from collections import abc

import attrs

from camphorstair_core.fleet import (
    catalogue,
    ranked_order,
    ranked_refusals,
    waiting,
)

SLOTS = 360
WORK_S = 1.2
QUEUE_LIMIT = 400
TICK_S = 0.01
TICKS_PER_CHECK = 10
TARGETS_S = (0.4, 0.4, 1.0)
LARGE_FACTOR = 4


@attrs.frozen
class Flow:
    """Requests of one kind.

    :ivar priority: Their priority.
    :ivar load: Slots that they occupy if all are served, as a share of all.
    :ivar begin_s: When they begin.
    :ivar end_s: When they end.
    :ivar organisation: Who sends them.
    :ivar large: Share of them with several times the usual work.
    """

    priority: int
    load: float
    begin_s: float
    end_s: float
    organisation: str = 'usual'
    large: float = 0


@attrs.define
class Outcomes:
    """What callers got.

    :ivar arrived: All requests.
    :ivar started: The started ones, with the time of the start.
    :ivar refused: The refused ones.
    :ivar refused_beside_free_slot: Number of refusals while a slot was free.
    """

    arrived: list[waiting.Waiter] = attrs.field(factory=list)
    started: dict[waiting.Waiter, float] = attrs.field(factory=dict)
    refused: list[waiting.Waiter] = attrs.field(factory=list)
    refused_beside_free_slot: int = 0

    def on_time(self, priority: int, begin_s: float = 0) -> float:
        """Return the share of a priority that started on time.

        :param priority: The priority.
        :param begin_s: Earlier arrivals don't count.
        """
        return _share(
            self.started.get(waiter, 1e9) <= waiter.latest_timely_start_s
            for waiter in self.arrived
            if waiter.priority == priority and waiter.arrived_s >= begin_s
        )

    def share_of_starts(self, priority: int) -> float:
        """Return the share of all starts that a priority got."""
        return _share(waiter.priority == priority for waiter in self.started)

    def served(self, chosen: abc.Callable[[waiting.Waiter], bool]) -> float:
        """Return the share of the chosen requests that were started."""
        return _share(
            waiter in self.started for waiter in self.arrived if chosen(waiter)
        )

    def served_by_priority(self) -> list[float]:
        """Return the share that was started of each priority that arrived."""
        outcomes: dict[int, list[bool]] = {}
        for waiter in self.arrived:
            is_started = waiter in self.started
            outcomes.setdefault(waiter.priority, []).append(is_started)
        return [_share(outcomes[priority]) for priority in sorted(outcomes)]


def _share(outcomes: abc.Iterable[bool]) -> float:
    found = list(outcomes)
    return sum(found) / len(found)


def _arrivals(flows: list[Flow], slots: int, seed: int) -> list[waiting.Waiter]:
    generator = random.Random(seed)
    numbers = itertools.count()
    arrivals = []
    for flow in flows:
        mean_s = WORK_S * (1 + flow.large * (LARGE_FACTOR - 1))
        now_s = flow.begin_s
        while True:
            now_s += generator.expovariate(slots * flow.load / mean_s)
            if now_s >= flow.end_s:
                break
            work_s = WORK_S * generator.uniform(0.5, 1.5)
            if generator.random() < flow.large:
                work_s *= LARGE_FACTOR
            waiter = waiting.Waiter(
                flow.organisation,
                flow.priority,
                now_s,
                request=f'play-{next(numbers)}',
                work_s=work_s,
            )
            waiting.set_deadlines(
                waiter, _route(flow.priority), now_s, now_s + 30
            )
            arrivals.append(waiter)
    return sorted(arrivals, key=lambda waiter: waiter.arrived_s)


def _route(priority: int) -> catalogue.Route:
    return catalogue.Route(
        f'p{priority}',
        'play.example',
        '/',
        catalogue.RequestKind.streaming,
        30,
        TARGETS_S[priority],
        0.1,
        priority,
        (),
        1,
        public=True,
        resumable=False,
    )


@attrs.define
class Play:
    """The state of a play.

    :ivar is_ranked: Whether the ranked order and its refusals are in use.
    :ivar slots: Number of slots.
    :ivar queue: The waiting requests.
    :ivar running: Ends of the running requests and their organisations.
    """

    is_ranked: bool
    slots: int
    queue: waiting.Queue = attrs.field(factory=waiting.Queue)
    running: list[tuple[float, str]] = attrs.field(factory=list)
    turn: ranked_order.Turn = attrs.field(factory=ranked_order.Turn)
    outcomes: Outcomes = attrs.field(factory=Outcomes)

    def arrive(self, waiter: waiting.Waiter, now_s: float) -> None:
        """Enqueue a request; refuse one if the queue is full."""
        self.outcomes.arrived.append(waiter)
        self.queue.waiters.append(waiter)
        if len(self.queue.waiters) <= QUEUE_LIMIT:
            return
        self.queue.waiters.pop()
        refused = waiter
        if self.is_ranked:
            refused = ranked_refusals.displaced(self.queue, waiter, now_s)
        self.queue.waiters.append(waiter)
        self.refuse([refused])

    def refuse(self, waiters: list[waiting.Waiter]) -> None:
        """Remove requests from the queue for good."""
        for waiter in waiters:
            self.queue.waiters.remove(waiter)
        self.outcomes.refused += waiters
        if len(self.running) < self.slots:
            self.outcomes.refused_beside_free_slot += len(waiters)

    def start(self, now_s: float) -> None:
        """Start requests while slots are free."""
        while len(self.running) < self.slots and self.queue.waiters:
            waiter = self._ordered(now_s)[0]
            if self.is_ranked:
                ranked_order.record_start(self.turn, self.queue, waiter)
            waiting.start(self.queue, waiter)
            end_s = now_s + waiter.work_s
            heapq.heappush(self.running, (end_s, waiter.organisation))
            self.outcomes.started[waiter] = now_s

    def check(self, now_s: float) -> None:
        """Refuse what can't start in time."""
        if self.is_ranked and len(self.running) == self.slots:
            self.refuse(
                ranked_refusals.to_refuse(
                    self._ordered(now_s),
                    lambda work_s: work_s / self.slots,
                    now_s,
                )
            )

    def end(self, now_s: float) -> None:
        """End the requests whose work is done."""
        while self.running and self.running[0][0] <= now_s:
            waiting.finish(self.queue, heapq.heappop(self.running)[1])

    def _ordered(self, now_s: float) -> list[waiting.Waiter]:
        if self.is_ranked:
            return ranked_order.sorted_by_cost(self.queue, now_s, self.turn)
        return waiting.sorted_waiters(self.queue, now_s)


def play(
    flows: list[Flow],
    *,
    is_ranked: bool,
    slots: int = SLOTS,
    seed: int = 1,
) -> Outcomes:
    """Play a load and return what callers got.

    :param flows: The load.
    :param is_ranked: Whether the ranked order and its refusals are in use.
    :param slots: Number of slots.
    :param seed: Seed of the arrivals and the work.
    """
    state = Play(is_ranked, slots)
    arrivals = _arrivals(flows, slots, seed)
    arrivals.reverse()
    tick = 0
    while arrivals or state.queue.waiters:
        now_s = tick * TICK_S
        state.end(now_s)
        state.start(now_s)
        waiting.given_up(state.queue, now_s)
        while arrivals and arrivals[-1].arrived_s <= now_s:
            state.arrive(arrivals.pop(), now_s)
            state.start(now_s)
        if tick % TICKS_PER_CHECK == 0:
            state.check(now_s)
        tick += 1
    return state.outcomes
