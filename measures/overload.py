"""Useful answers and fairness under overload.

The production choice, retry budget and admission run in simulated time. An
endpoint runs up to ``LIMIT`` requests at full speed; with more, they share its
capacity. An answer is useful if it is complete by its deadline.
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
RECOVERY_S = 15.0
RECOVERY_FACTOR = 0.8
LARGE_ORGANISATIONS = 3
SMALL_ORGANISATIONS = 12
SMALL_DEMAND_SHARE = 0.02
CAPACITY = AGENTS * simulated_fleet.LIMIT / SERVICE_S
FACTORS = (0.5, 1.0, 2.0, 4.0)


@attrs.define(eq=False)
class SimulatedRequest:
    """A request and its progress.

    :ivar organisation: Number of the organisation that sent it.
    :ivar deadline_s: Time by which its answer must be complete.
    :ivar remaining_s: Remaining service time at full speed.
    :ivar entry: The entry that received it; unused in the baseline.
    :ivar criteria: Its requirements on the endpoint.
    :ivar assigned_endpoint: The endpoint that it was last sent to; None in
        the baseline.
    :ivar waiter: Its waiter in the queue of that endpoint's agent.
    """

    organisation: int
    deadline_s: float
    remaining_s: float
    entry: simulated_fleet.Entry
    criteria: choice.EndpointCriteria
    assigned_endpoint: endpoints.Endpoint | None = None
    waiter: queueing.Waiter | None = None


@attrs.define
class Agent:
    """An agent and its endpoint.

    :ivar gate: The agent's admission control.
    :ivar queue: The agent's queue.
    :ivar running: Requests that the endpoint is running.
    :ivar waiting: Requests in the queue, by the number of their waiter.
    """

    gate: admission.Admission
    queue: queueing.Queue = attrs.field(factory=queueing.Queue)
    running: list[SimulatedRequest] = attrs.field(factory=list)
    waiting: dict[int, SimulatedRequest] = attrs.field(factory=dict)


@attrs.define
class Fleet:
    """The simulated fleet.

    :ivar generator: Draws arrivals, entries, choices and service times.
    :ivar limited: Whether admission and choice are on; otherwise requests go
        to the endpoints in round robin.
    :ivar entries: The entries.
    :ivar agents: The agents by VM name.
    :ivar turn: VM names in round robin order.
    :ivar now_s: Simulated time.
    :ivar useful: Number of useful answers of each organisation.
    """

    generator: random.Random
    limited: bool
    entries: list[simulated_fleet.Entry]
    agents: dict[str, Agent]
    turn: abc.Iterator[str]
    now_s: float = 0
    useful: dict[int, int] = attrs.field(factory=dict)

    def arrive(self, organisation: int) -> None:
        """Deliver a new request to a random entry.

        :param organisation: Number of the organisation that sends it.
        """
        request = SimulatedRequest(
            organisation,
            self.now_s + DEADLINE_S,
            self.generator.uniform(0.5, 1.5) * SERVICE_S,
            self.generator.choice(self.entries),
            choice.EndpointCriteria(simulated_fleet.SERVICE),
        )
        if not self.limited:
            self.agents[next(self.turn)].running.append(request)
            return
        known_endpoints = request.entry.table.rows.values()
        in_flight = sum(endpoint.own_in_flight for endpoint in known_endpoints)
        retries.record_request(request.entry.budget, in_flight)
        self._forward(request)

    def tick(self) -> None:
        """Advance the simulated time and all endpoints by one tick."""
        self.now_s += TICK_S
        for agent in self.agents.values():
            running_requests = agent.running
            speed = min(
                1, simulated_fleet.LIMIT / max(1, len(running_requests))
            )
            for request in running_requests:
                request.remaining_s -= TICK_S * speed
            agent.running = [
                unfinished
                for unfinished in running_requests
                if unfinished.remaining_s > 0
            ]
            for completed in filter(_is_complete, running_requests):
                self._finish(agent, completed)
            self._advance_queue(agent)

    def _forward(self, request: SimulatedRequest) -> None:
        while len(request.criteria.tried) < retries.MAX_ATTEMPTS:
            endpoint = request.entry.choose(
                request.criteria, self.now_s, self.generator
            )
            if endpoint is None or self._offer(endpoint, request):
                return
            request.criteria.tried.add(endpoint.vm.name)
            if not retries.try_spend(request.entry.budget):
                return

    def _offer(
        self, endpoint: endpoints.Endpoint, request: SimulatedRequest
    ) -> bool:
        """Offer a request to an agent.

        :returns: Whether the agent admitted or queued it.
        """
        agent = self.agents[endpoint.vm.name]
        waiter, changed_waiters = queueing.arrive(
            agent.queue,
            agent.gate,
            str(request.organisation),
            rules.Priority.normal,
            request.deadline_s,
            self.now_s,
        )
        taken = waiter.turn is not queueing.AdmissionState.refused
        if taken:
            endpoint.own_in_flight += 1
            request.assigned_endpoint = endpoint
            request.waiter = waiter
            agent.waiting[waiter.number] = request
        if waiter.turn is queueing.AdmissionState.admitted:
            self._run_or_retry(agent, waiter)
        for changed_waiter in changed_waiters:
            self._run_or_retry(agent, changed_waiter)
        endpoints.record_load(endpoint, agent.gate.load(), self.now_s)
        return taken

    def _advance_queue(self, agent: Agent) -> None:
        for waiter in queueing.advance(agent.queue, agent.gate, self.now_s):
            self._run_or_retry(agent, waiter)

    def _run_or_retry(self, agent: Agent, waiter: queueing.Waiter) -> None:
        """Run a request that was admitted; retry one that was refused."""
        request = agent.waiting.pop(waiter.number)
        if waiter.turn is queueing.AdmissionState.admitted:
            agent.running.append(request)
            return
        self._release_endpoint(request)
        if retries.try_spend(request.entry.budget):
            self._forward(request)

    def _release_endpoint(self, request: SimulatedRequest) -> None:
        if request.assigned_endpoint is not None:
            request.assigned_endpoint.own_in_flight -= 1
            request.criteria.tried.add(request.assigned_endpoint.vm.name)

    def _finish(self, agent: Agent, request: SimulatedRequest) -> None:
        if self.now_s <= request.deadline_s:
            count = self.useful.get(request.organisation, 0)
            self.useful[request.organisation] = count + 1
        if request.assigned_endpoint is None or request.waiter is None:
            return
        queueing.record_end(agent.queue, request.waiter)
        admission.finish(
            agent.gate,
            request.waiter.generation,
            admission.Outcome.whole,
            self.now_s,
        )
        self._release_endpoint(request)
        endpoints.record_load(
            request.assigned_endpoint, agent.gate.load(), self.now_s
        )


def measure(seed: int) -> reports.Report:
    """Measure useful answers per second and fairness at several loads.

    The baseline has neither admission nor choice.

    :param seed: Seed of the simulation.
    """
    figures = _figures(seed, limited=True)
    baseline = _figures(seed, limited=False)
    targets = [
        reports.Target('useful_share_2x', at_least=0.95),
        reports.Target('useful_share_4x', at_least=0.95),
        reports.Target('fairness_2x', at_least=0.95),
        reports.Target('fairness_4x', at_least=0.95),
    ]
    return reports.Report('overload', seed, figures, baseline, targets)


def _is_complete(request: SimulatedRequest) -> bool:
    return request.remaining_s <= 0


def jain(shares: list[float]) -> float:
    """Return Jain's fairness index of some shares; 0 if all are 0."""
    squares = sum(share * share for share in shares)
    if not squares:
        return 0
    return sum(shares) ** 2 / (len(shares) * squares)


def fair_shares(demands: list[float], capacity: float) -> list[float]:
    """Return the max-min fair shares of a capacity.

    :param demands: Demand of each organisation.
    :param capacity: Capacity to divide, in the same unit.
    """
    shares = list(demands)
    left = capacity
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for divided_count, index in enumerate(order):
        shares[index] = min(
            demands[index], left / (len(demands) - divided_count)
        )
        left -= shares[index]
    return shares


def _figures(seed: int, *, limited: bool) -> dict[str, float]:
    figures = {}
    useful = {}
    for factor in FACTORS:
        fleet = _make_fleet(seed, limited=limited)
        name = f'{factor:g}x'
        rates = _run_phase(fleet, factor, WARM_UP_S, PHASE_S)
        useful[name] = sum(rates)
        figures[f'useful_per_s_{name}'] = useful[name]
        fair_rates = fair_shares(_demands(factor), CAPACITY)
        ratios = [
            achieved / fair_rate
            for achieved, fair_rate in zip(rates, fair_rates, strict=True)
        ]
        figures[f'fairness_{name}'] = jain(ratios)
        after = sum(_run_phase(fleet, RECOVERY_FACTOR, WARM_UP_S, RECOVERY_S))
        share = after / (RECOVERY_FACTOR * CAPACITY)
        figures[f'useful_share_after_{name}'] = share
    for name, useful_per_s in useful.items():
        figures[f'useful_share_{name}'] = useful_per_s / useful['1x']
    return figures


def _make_fleet(seed: int, *, limited: bool) -> Fleet:
    listed = simulated_fleet.vm_list(ENTRIES, AGENTS)
    names = [vm.name for vm in listed if vm.service]
    return Fleet(
        random.Random(seed),
        limited,
        simulated_fleet.make_entries(listed),
        {name: Agent(simulated_fleet.warm_admission()) for name in names},
        itertools.cycle(names),
    )


def _demands(factor: float) -> list[float]:
    """Return the requests per second of each organisation, small ones last.

    :param factor: Total demand as a multiple of the capacity.
    """
    small = SMALL_DEMAND_SHARE * CAPACITY
    total = factor * CAPACITY
    large = (total - small * SMALL_ORGANISATIONS) / LARGE_ORGANISATIONS
    return [
        *(large for _ in range(LARGE_ORGANISATIONS)),
        *(small for _ in range(SMALL_ORGANISATIONS)),
    ]


def _run_phase(
    fleet: Fleet,
    factor: float,
    warm_up_s: float,
    phase_s: float,
) -> list[float]:
    """Run a warm-up and a measured phase.

    :returns: Useful answers per second of each organisation in the phase.
    """
    demands = _demands(factor)
    for _ in range(round(warm_up_s / TICK_S)):
        _run_tick(fleet, demands)
    fleet.useful.clear()
    for _ in range(round(phase_s / TICK_S)):
        _run_tick(fleet, demands)
    return [
        fleet.useful.get(organisation, 0) / phase_s
        for organisation in range(len(demands))
    ]


def _run_tick(fleet: Fleet, demands: list[float]) -> None:
    wait_s = fleet.generator.expovariate(sum(demands))
    while wait_s < TICK_S:
        organisation = fleet.generator.choices(range(len(demands)), demands)
        fleet.arrive(organisation[0])
        wait_s += fleet.generator.expovariate(sum(demands))
    fleet.tick()
