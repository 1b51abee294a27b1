"""Simulated entries, agents and engines for ``data_centre_change``.

All events of a fleet run in one process, from one queue in simulated time.
"""

import heapq
import itertools
import random
from collections import abc

import attrs

from camphorstair_core import (
    admission,
    affinity,
    choice,
    ejection,
    endpoints,
    messages,
    outage_recovery,
    retries,
    rules,
    subsets,
    vms,
)

DATA_CENTRES = ('levis-nord', 'levis-sud', 'charny')
SERVICE = 'redacteur'
COLD_LIMIT_DIVISOR = 8
ANSWERS_PER_STEP = 3
PREFILL_S = 0.2
LOAD_SLOWDOWN = 0.5
COLD_SLOWDOWN = 2.0
TOKENS_MEAN = 200
TOKEN_S = 0.03
LINK_S = 0.001
RESTART_S = 5.0
IDLE_COOLDOWN_S = 30.0
CRASH_OVERLOAD_FACTOR = 1.5

Event = abc.Callable[[], None]


@attrs.define
class Queue:
    """A queue of events, run in the order of their simulated time.

    :ivar now_s: Time of the event that is running or ran last.
    :ivar events: Heap of pending events by time and number.
    :ivar numbers: Numbers that order events of the same time.
    """

    now_s: float = 0
    events: list[tuple[float, int, Event]] = attrs.field(factory=list)
    numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, delay_s: float, event: Event) -> None:
        """Schedule an event.

        :param delay_s: Delay from the current simulated time.
        :param event: Function to call.
        """
        at_s = self.now_s + delay_s
        heapq.heappush(self.events, (at_s, next(self.numbers), event))

    def run(self, until_s: float) -> None:
        """Run all events up to and including a simulated time."""
        while self.events and self.events[0][0] <= until_s:
            at_s, _number, event = heapq.heappop(self.events)
            self.now_s = at_s
            event()


@attrs.define
class Request:
    """A caller's request.

    :ivar idempotent: Whether it may be run a second time.
    :ivar sent_s: Time when the caller first sent it.
    :ivar first_token_s: Time of its first token; 0 before.
    :ivar ended: Whether the caller has received the whole answer.
    :ivar broken: Whether a run was aborted by a crash of the engine.
    :ivar refusals: Number of times that an entry refused it.
    """

    idempotent: bool
    sent_s: float
    first_token_s: float = 0
    ended: bool = False
    broken: bool = False
    refusals: int = 0


@attrs.define
class Engine:
    """A simulated model engine.

    Its capacity rises by one request with every ``ANSWERS_PER_STEP`` answers
    until it is warm. It is cold again after a crash, or after
    ``IDLE_COOLDOWN_S`` without work.

    :ivar full_limit: Concurrent requests that it sustains when warm.
    :ivar answers: Whole answers since it was last cold.
    :ivar idle_deadline_s: Time at which it is cold again unless a request
        starts or ends before.
    :ivar down_deadline_s: Time until which it is down after a crash.
    :ivar running: Callbacks that end the running requests, by the number of
        the run; the argument says whether the answer is whole.
    """

    full_limit: int
    answers: int
    idle_deadline_s: float = IDLE_COOLDOWN_S
    down_deadline_s: float = 0
    running: dict[int, abc.Callable[[bool], None]] = attrs.field(factory=dict)

    def current_capacity(self) -> int:
        """Return the concurrent requests that it sustains now."""
        capacity = (
            self.full_limit // COLD_LIMIT_DIVISOR
            + self.answers // ANSWERS_PER_STEP
        )
        return min(self.full_limit, capacity)

    def slowdown(self) -> float:
        """Return the factor by which load and cold caches slow the prefill."""
        cold = 1 - self.current_capacity() / self.full_limit
        load = len(self.running) / self.full_limit
        return 1 + LOAD_SLOWDOWN * load + COLD_SLOWDOWN * cold


@attrs.define
class Agent:
    """An agent and its engine.

    :ivar vm: The agent's VM.
    :ivar gate: The agent's admission control.
    :ivar engine: The engine.
    :ivar outage: Whether the rules exclude the data centre, as the agent
        tracks it.
    :ivar last_admission_s: Time when it last admitted a request.
    """

    vm: vms.Vm
    gate: admission.Admission
    engine: Engine
    outage: outage_recovery.Outage = attrs.field(factory=outage_recovery.Outage)
    last_admission_s: float = 0


@attrs.define
class Entry:
    """An entry with the production state that its choices depend on."""

    table: endpoints.EndpointTable = attrs.field(
        factory=endpoints.EndpointTable,
    )
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    subset_table: subsets.SubsetTable = attrs.field(factory=subsets.SubsetTable)
    hints: affinity.CacheHints = attrs.field(factory=affinity.CacheHints)

    def in_flight(self) -> int:
        """Return the number of its requests in progress."""
        return sum(row.own_in_flight for row in self.table.rows.values())


@attrs.define
class Fleet:
    """Entries and agents in three data centres.

    :ivar gradual_return: Whether a data centre that returns gets its traffic
        in a ramp and its agents start with the cold limit.
    :ivar generator: Draws choices, delays and lengths of answers.
    :ivar queue: Events of the whole fleet.
    :ivar entries: The entries.
    :ivar agents: The agents by VM name.
    :ivar numbers: Numbers of the runs.
    """

    gradual_return: bool
    generator: random.Random
    queue: Queue = attrs.field(factory=Queue)
    entries: list[Entry] = attrs.field(factory=list)
    agents: dict[str, Agent] = attrs.field(factory=dict)
    numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    def apply_at_entry(self, entry: Entry, rule_set: rules.RuleSet) -> None:
        """Apply rules at an entry."""
        endpoints.apply_rules(entry.table, rule_set, self.queue.now_s)
        if not self.gradual_return:
            for endpoint in entry.table.rows.values():
                endpoint.ramp_deadline_s = 0

    def apply_at_agent(self, agent: Agent, rule_set: rules.RuleSet) -> None:
        """Apply rules at an agent."""
        agent.gate.out = agent.vm.data_centre in rule_set.data_centres_out
        begins_cold = outage_recovery.update_outage(
            agent.outage,
            out=agent.gate.out,
            now_s=self.queue.now_s,
        )
        if begins_cold and self.gradual_return:
            admission.become_cold(agent.gate)

    def send(self, entry: Entry, request: Request) -> None:
        """Send a request through an entry.

        The entry attempts it at several endpoints within its retry budget. If
        none admits it, the caller sends it again after a delay.
        """
        retries.record_request(entry.budget, entry.in_flight())
        tried: set[str] = set()
        endpoint = self._choose(entry, tried)
        while endpoint is not None:
            if self._attempt(entry, endpoint, request):
                return
            tried.add(endpoint.vm.name)
            endpoint = self._choose_for_retry(entry, tried)
        self._refuse(entry, request)

    def _choose_for_retry(
        self,
        entry: Entry,
        tried: set[str],
    ) -> endpoints.Endpoint | None:
        if len(tried) == retries.MAX_ATTEMPTS:
            return None
        if not retries.try_spend(entry.budget):
            return None
        return self._choose(entry, tried)

    def _choose(
        self,
        entry: Entry,
        tried: set[str],
    ) -> endpoints.Endpoint | None:
        return choice.choose(
            entry.subset_table,
            entry.hints,
            choice.EndpointCriteria(SERVICE, tried),
            self.queue.now_s,
            self.generator,
        )

    def _refuse(self, entry: Entry, request: Request) -> None:
        """Refuse a request; the caller sends it again after a delay."""
        request.refusals += 1
        wait_s = self.generator.uniform(1, 1.5)
        self.queue.after(wait_s, lambda: self.send(entry, request))

    def _attempt(
        self,
        entry: Entry,
        endpoint: endpoints.Endpoint,
        request: Request,
    ) -> bool:
        """Offer a request to an agent; return whether it was admitted."""
        agent = self.agents[endpoint.vm.name]
        now_s = self.queue.now_s
        if now_s < agent.engine.down_deadline_s:
            _record_failure(entry, endpoint, now_s)
            return False
        if admission.refusal(agent.gate) is not None:
            endpoints.record_load(endpoint, agent.gate.load(), now_s)
            return False
        self._start(entry, endpoint, agent, request)
        return True

    def _start(
        self,
        entry: Entry,
        endpoint: endpoints.Endpoint,
        agent: Agent,
        request: Request,
    ) -> None:
        generation = admission.start(agent.gate)
        endpoint.own_in_flight += 1
        agent.last_admission_s = self.queue.now_s
        endpoints.record_load(endpoint, agent.gate.load(), self.queue.now_s)
        run_number = next(self.numbers)

        def end_run(whole: bool) -> None:
            endpoint.own_in_flight -= 1
            outcome = admission.Outcome.broken
            if whole:
                outcome = admission.Outcome.whole
            now_s = self.queue.now_s
            admission.finish(agent.gate, generation, outcome, now_s)
            endpoints.record_load(endpoint, agent.gate.load(), self.queue.now_s)
            request.ended = request.ended or whole
            if not whole:
                self._handle_abort(entry, endpoint, request)

        agent.engine.running[run_number] = end_run
        self._run(agent.engine, run_number, request)

    def _handle_abort(
        self,
        entry: Entry,
        endpoint: endpoints.Endpoint,
        request: Request,
    ) -> None:
        """Handle an aborted request: eject the endpoint, perhaps retry."""
        request.broken = True
        _record_failure(entry, endpoint, self.queue.now_s)
        if request.idempotent and retries.try_spend(entry.budget):
            self.queue.after(LINK_S, lambda: self.send(entry, request))

    def _run(self, engine: Engine, run_number: int, request: Request) -> None:
        now_s = self.queue.now_s
        if now_s > engine.idle_deadline_s:
            engine.answers = 0
        engine.idle_deadline_s = now_s + IDLE_COOLDOWN_S
        if (
            len(engine.running)
            > CRASH_OVERLOAD_FACTOR * engine.current_capacity()
        ):
            self._crash(engine)
            return
        noise = self.generator.lognormvariate(0, 0.3)
        first_token_delay_s = 2 * LINK_S + PREFILL_S * engine.slowdown() * noise
        tokens = self.generator.expovariate(1 / TOKENS_MEAN)
        self.queue.after(
            first_token_delay_s,
            lambda: self._record_first_token(engine, run_number, request),
        )
        whole_s = first_token_delay_s + tokens * TOKEN_S
        self.queue.after(whole_s, lambda: self._finish(engine, run_number))

    def _record_first_token(
        self, engine: Engine, run_number: int, request: Request
    ) -> None:
        if run_number in engine.running and not request.first_token_s:
            request.first_token_s = self.queue.now_s

    def _finish(self, engine: Engine, run_number: int) -> None:
        end_run = engine.running.pop(run_number, None)
        if end_run is not None:
            engine.answers += 1
            engine.idle_deadline_s = self.queue.now_s + IDLE_COOLDOWN_S
            end_run(True)

    def _crash(self, engine: Engine) -> None:
        """Crash an engine, which aborts its requests and restarts it."""
        engine.answers = 0
        engine.down_deadline_s = self.queue.now_s + RESTART_S
        end_callbacks = list(engine.running.values())
        engine.running.clear()
        for end_run in end_callbacks:
            end_run(False)


@attrs.define
class Size:
    """Size of a fleet.

    :ivar entries: Number of entries.
    :ivar endpoint_count: Number of endpoints.
    :ivar full_limit: Concurrent requests that each endpoint sustains when
        warm.
    """

    entries: int
    endpoint_count: int
    full_limit: int


def build(seed: int, size: Size, *, gradual_return: bool) -> Fleet:
    """Return a fleet whose engines are warm.

    :param seed: Seed of its random generator.
    :param size: Numbers of entries and endpoints, and their limit when warm.
    :param gradual_return: Whether a data centre that returns gets its traffic
        in a ramp and its agents start with the cold limit.
    """
    fleet = Fleet(gradual_return, random.Random(seed))
    limit = size.full_limit
    for number in range(size.endpoint_count):
        vm = _make_agent_vm(number)
        gate = admission.Admission(watched=True)
        admission.set_limits(gate, limit, limit // COLD_LIMIT_DIVISOR)
        gate.limit = limit
        engine = Engine(limit, limit * ANSWERS_PER_STEP)
        fleet.agents[vm.name] = Agent(vm, gate, engine)
    listed = [agent.vm for agent in fleet.agents.values()]
    entries = [
        _make_entry_vm(entry_number) for entry_number in range(size.entries)
    ]
    for entry_vm in entries:
        entry = _make_entry(entry_vm, [*listed, *entries], limit)
        fleet.entries.append(entry)
    return fleet


def _make_entry(vm: vms.Vm, listed: list[vms.Vm], limit: int) -> Entry:
    entry = Entry()
    entry.subset_table.entry = vm.name
    entry.subset_table.data_centre = vm.data_centre
    endpoints.update_vms(entry.table, listed)
    subsets.update(entry.subset_table, entry.table, listed)
    for endpoint in entry.table.rows.values():
        endpoint.load = messages.LoadReport(0, limit)
    return entry


def _record_failure(
    entry: Entry, endpoint: endpoints.Endpoint, now_s: float
) -> None:
    peers = list(entry.table.rows.values())
    ejection.record_failure(endpoint, peers, now_s)


def _make_entry_vm(number: int) -> vms.Vm:
    return vms.Vm(
        name=f'entry-{number}',
        role=vms.VmRole.entry,
        state=vms.VmState.live,
        region='qc-est',
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        peers_address='',
    )


def _make_agent_vm(number: int) -> vms.Vm:
    return vms.Vm(
        name=f'redacteur-{number}',
        role=vms.VmRole.agent,
        state=vms.VmState.live,
        region='qc-est',
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        peers_address='',
        service=SERVICE,
    )
