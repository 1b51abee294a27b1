"""Useful answers and fairness when more comes than the endpoints bear.

Simulated time over the real choice, retry budget and admission. An endpoint
runs ``LIMIT`` requests at full speed; more share that speed.
"""

import itertools
import random
from collections import abc

import attrs

from camphorstair_core import (
    admission,
    choice,
    endpoints,
    queueing,
    retries,
    rules,
)
from measures import reports, simulated_fleet

ENTRIES = 4
AGENTS = 12
SERVICE_S = 1.0
DEADLINE_S = 4.0
TICK_S = 0.02
WARM_UP_S = 5.0
PHASE_S = 20.0
AFTER_S = 15.0
AFTER_FACTOR = 0.8
LARGE = 3
SMALL = 12
SMALL_SHARE = 0.02
CAPACITY = AGENTS * simulated_fleet.LIMIT / SERVICE_S
FACTORS = (0.5, 1.0, 2.0, 4.0)


@attrs.define(eq=False)
class Work:
    """A request and where it stands.

    :ivar left_s: Work that is left, at full speed.
    :ivar entry: The entry that it came to, if choice is on.
    :ivar criteria: What its entry needs of an endpoint.
    :ivar row: The endpoint that has it.
    :ivar waiter: Its place at that endpoint's agent.
    """

    organisation: int
    deadline_s: float
    left_s: float
    entry: simulated_fleet.Entry
    criteria: choice.EndpointCriteria
    row: endpoints.Endpoint | None = None
    waiter: queueing.Waiter | None = None


@attrs.define
class Agent:
    """An agent and its endpoint.

    :ivar running: What the endpoint works on.
    :ivar waiting: Requests in the queue, by the number of their place.
    """

    gate: admission.Admission
    queue: queueing.Queue = attrs.field(factory=queueing.Queue)
    running: list[Work] = attrs.field(factory=list)
    waiting: dict[int, Work] = attrs.field(factory=dict)


@attrs.define
class Fleet:
    """The simulated fleet.

    :ivar limited: Whether admission and choice are on; else round robin.
    """

    generator: random.Random
    limited: bool
    entries: list[simulated_fleet.Entry]
    agents: dict[str, Agent]
    turn: abc.Iterator[str]
    now_s: float = 0
    useful: dict[int, int] = attrs.field(factory=dict)

    def arrive(self, organisation: int) -> None:
        """Let a request come to some entry."""
        work = Work(
            organisation,
            self.now_s + DEADLINE_S,
            self.generator.uniform(0.5, 1.5) * SERVICE_S,
            self.generator.choice(self.entries),
            choice.EndpointCriteria(simulated_fleet.SERVICE),
        )
        if not self.limited:
            self.agents[next(self.turn)].running.append(work)
            return
        rows = work.entry.table.rows.values()
        in_flight = sum(row.own_in_flight for row in rows)
        retries.record_request(work.entry.budget, in_flight)
        self._forward(work)

    def tick(self) -> None:
        """Let all endpoints work for one tick."""
        self.now_s += TICK_S
        for agent in self.agents.values():
            works = agent.running
            speed = min(1, simulated_fleet.LIMIT / max(1, len(works)))
            for work in works:
                work.left_s -= TICK_S * speed
            agent.running = [one for one in works if one.left_s > 0]
            for done in filter(_is_done, works):
                self._finish(agent, done)
            self._advance(agent)

    def _forward(self, work: Work) -> None:
        while len(work.criteria.tried) < retries.MAX_ATTEMPTS:
            row = work.entry.choose(work.criteria, self.now_s, self.generator)
            if row is None or self._offer(row, work):
                return
            work.criteria.tried.add(row.vm.name)
            if not retries.try_spend(work.entry.budget):
                return

    def _offer(self, row: endpoints.Endpoint, work: Work) -> bool:
        """Offer a request to an agent; tell whether it took or queued it."""
        agent = self.agents[row.vm.name]
        waiter, changed = queueing.arrive(
            agent.queue,
            agent.gate,
            str(work.organisation),
            rules.Priority.normal,
            work.deadline_s,
            self.now_s,
        )
        taken = waiter.turn is not queueing.AdmissionState.refused
        if taken:
            row.own_in_flight += 1
            work.row = row
            work.waiter = waiter
            agent.waiting[waiter.number] = work
        if waiter.turn is queueing.AdmissionState.admitted:
            self._settle(agent, waiter)
        for other in changed:
            self._settle(agent, other)
        endpoints.record_load(row, agent.gate.load(), self.now_s)
        return taken

    def _advance(self, agent: Agent) -> None:
        for waiter in queueing.advance(agent.queue, agent.gate, self.now_s):
            self._settle(agent, waiter)

    def _settle(self, agent: Agent, waiter: queueing.Waiter) -> None:
        """Run a request whose turn has come, or try it elsewhere."""
        work = agent.waiting.pop(waiter.number)
        if waiter.turn is queueing.AdmissionState.admitted:
            agent.running.append(work)
            return
        self._leave(work)
        if retries.try_spend(work.entry.budget):
            self._forward(work)

    def _leave(self, work: Work) -> None:
        if work.row is not None:
            work.row.own_in_flight -= 1
            work.criteria.tried.add(work.row.vm.name)

    def _finish(self, agent: Agent, work: Work) -> None:
        if self.now_s <= work.deadline_s:
            count = self.useful.get(work.organisation, 0)
            self.useful[work.organisation] = count + 1
        if work.row is None or work.waiter is None:
            return
        queueing.record_end(agent.queue, work.waiter)
        admission.finish(
            agent.gate,
            work.waiter.generation,
            admission.Outcome.whole,
            self.now_s,
        )
        self._leave(work)
        endpoints.record_load(work.row, agent.gate.load(), self.now_s)


def measure(seed: int) -> reports.Report:
    """Measure useful answers a second at several loads."""
    figures = _figures(seed, limited=True)
    baseline = _figures(seed, limited=False)
    targets = [
        reports.Target('useful_share_2x', at_least=0.95),
        reports.Target('useful_share_4x', at_least=0.95),
        reports.Target('fairness_2x', at_least=0.95),
        reports.Target('fairness_4x', at_least=0.95),
    ]
    return reports.Report('overload', seed, figures, baseline, targets)


def _is_done(work: Work) -> bool:
    return work.left_s <= 0


def jain(shares: list[float]) -> float:
    """Return Jain's index of fairness."""
    squares = sum(share * share for share in shares)
    if not squares:
        return 0
    return sum(shares) ** 2 / (len(shares) * squares)


def fair_shares(demands: list[float], capacity: float) -> list[float]:
    """Return the max-min fair shares of a capacity."""
    shares = list(demands)
    left = capacity
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for done, place in enumerate(order):
        shares[place] = min(demands[place], left / (len(demands) - done))
        left -= shares[place]
    return shares


def _figures(seed: int, *, limited: bool) -> dict[str, float]:
    figures = {}
    useful = {}
    for factor in FACTORS:
        fleet = _make(seed, limited=limited)
        name = f'{factor:g}x'
        rates = _run(fleet, factor, WARM_UP_S, PHASE_S)
        useful[name] = sum(rates)
        figures[f'useful_per_s_{name}'] = useful[name]
        fair = fair_shares(_demands(factor), CAPACITY)
        ratios = [got / due for got, due in zip(rates, fair, strict=True)]
        figures[f'fairness_{name}'] = jain(ratios)
        after = sum(_run(fleet, AFTER_FACTOR, WARM_UP_S, AFTER_S))
        share = after / (AFTER_FACTOR * CAPACITY)
        figures[f'useful_share_after_{name}'] = share
    for name, per_s in useful.items():
        figures[f'useful_share_{name}'] = per_s / useful['1x']
    return figures


def _make(seed: int, *, limited: bool) -> Fleet:
    listed = simulated_fleet.vm_list(ENTRIES, AGENTS)
    names = [vm.name for vm in listed if vm.service]
    return Fleet(
        random.Random(seed),
        limited,
        simulated_fleet.make_entries(listed),
        {name: Agent(simulated_fleet.warm_gate()) for name in names},
        itertools.cycle(names),
    )


def _demands(factor: float) -> list[float]:
    """Return the requests a second of each organisation, small ones last."""
    small = SMALL_SHARE * CAPACITY
    total = factor * CAPACITY
    large = (total - small * SMALL) / LARGE
    return [*(large for _ in range(LARGE)), *(small for _ in range(SMALL))]


def _run(
    fleet: Fleet,
    factor: float,
    warm_up_s: float,
    phase_s: float,
) -> list[float]:
    """Return the useful answers a second by organisation after a warm-up."""
    demands = _demands(factor)
    for _ in range(round(warm_up_s / TICK_S)):
        _step(fleet, demands)
    fleet.useful.clear()
    for _ in range(round(phase_s / TICK_S)):
        _step(fleet, demands)
    return [fleet.useful.get(one, 0) / phase_s for one in range(len(demands))]


def _step(fleet: Fleet, demands: list[float]) -> None:
    wait_s = fleet.generator.expovariate(sum(demands))
    while wait_s < TICK_S:
        organisation = fleet.generator.choices(range(len(demands)), demands)
        fleet.arrive(organisation[0])
        wait_s += fleet.generator.expovariate(sum(demands))
    fleet.tick()
