"""Small fakes for the measure of a data centre's outage: one event queue."""

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
COLD_PART = 8
ANSWERS_A_STEP = 3
PREFILL_S = 0.2
LOAD_SLOWDOWN = 0.5
COLD_SLOWDOWN = 2.0
TOKENS_MEAN = 200
TOKEN_S = 0.03
LINK_S = 0.001
RESTART_S = 5.0
IDLE_WARM_S = 30.0
FALL_OVER_FACTOR = 1.5

Event = abc.Callable[[], None]


@attrs.define
class Queue:
    """Events in the order of their time.

    :ivar now_s: The time of the event that runs.
    """

    now_s: float = 0
    events: list[tuple[float, int, Event]] = attrs.field(factory=list)
    numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, delay_s: float, event: Event) -> None:
        """Plan an event."""
        at_s = self.now_s + delay_s
        heapq.heappush(self.events, (at_s, next(self.numbers), event))

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until_s:
            at_s, _number, event = heapq.heappop(self.events)
            self.now_s = at_s
            event()


@attrs.define
class Request:
    """A caller's request.

    :ivar idempotent: Whether a second run does no harm.
    :ivar born_s: When the caller first sent it.
    :ivar first_token_s: When its first token came; 0 before.
    :ivar ended: Whether the caller has the whole answer.
    :ivar broken: Whether a run of it was cut off.
    :ivar refusals: Answers to the caller that it did not run.
    """

    idempotent: bool
    born_s: float
    first_token_s: float = 0
    ended: bool = False
    broken: bool = False
    refusals: int = 0


@attrs.define
class Engine:
    """A model engine: warm after answers, cold again when idle for long.

    :ivar full_limit: Requests that it bears when it is warm.
    :ivar answers: Whole answers since it was cold.
    :ivar idle_deadline_s: When it is cold again if it gets no work.
    :ivar down_deadline_s: Until when it restarts.
    :ivar running: The ends of its answers, by the number of the run.
    """

    full_limit: int
    answers: int
    idle_deadline_s: float = IDLE_WARM_S
    down_deadline_s: float = 0
    running: dict[int, abc.Callable[[bool], None]] = attrs.field(factory=dict)

    def bearable(self) -> int:
        """Return how many requests it bears now."""
        grown = self.full_limit // COLD_PART + self.answers // ANSWERS_A_STEP
        return min(self.full_limit, grown)

    def slowdown(self) -> float:
        """Return the factor on the time of its first token."""
        cold = 1 - self.bearable() / self.full_limit
        load = len(self.running) / self.full_limit
        return 1 + LOAD_SLOWDOWN * load + COLD_SLOWDOWN * cold


@attrs.define
class Agent:
    """An agent and its engine.

    :ivar last_new_s: When it last admitted a request.
    """

    vm: vms.Vm
    gate: admission.Admission
    engine: Engine
    outage: outage_recovery.Outage = attrs.field(factory=outage_recovery.Outage)
    last_new_s: float = 0


@attrs.define
class Entry:
    """An entry."""

    table: endpoints.EndpointTable = attrs.field(
        factory=endpoints.EndpointTable,
    )
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    subset_table: subsets.SubsetTable = attrs.field(factory=subsets.SubsetTable)
    hints: affinity.CacheHints = attrs.field(factory=affinity.CacheHints)

    def in_flight(self) -> int:
        """Return how many of its requests are in progress."""
        return sum(row.own_in_flight for row in self.table.rows.values())


@attrs.define
class Fleet:
    """Entries and agents in three data centres.

    :ivar careful: Whether ramps and cold starts after outages are used.
    """

    careful: bool
    generator: random.Random
    queue: Queue = attrs.field(factory=Queue)
    entries: list[Entry] = attrs.field(factory=list)
    agents: dict[str, Agent] = attrs.field(factory=dict)
    numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    def apply_at_entry(self, entry: Entry, rule_set: rules.RuleSet) -> None:
        """Put rules in force at an entry."""
        endpoints.apply_rules(entry.table, rule_set, self.queue.now_s)
        if not self.careful:
            for row in entry.table.rows.values():
                row.ramp_deadline_s = 0

    def apply_at_agent(self, agent: Agent, rule_set: rules.RuleSet) -> None:
        """Put rules in force at an agent."""
        agent.gate.out = agent.vm.data_centre in rule_set.data_centres_out
        begins_cold = outage_recovery.update_outage(
            agent.outage,
            out=agent.gate.out,
            now_s=self.queue.now_s,
        )
        if begins_cold and self.careful:
            admission.become_cold(agent.gate)

    def send(self, entry: Entry, request: Request) -> None:
        """Let an entry attempt a request; it is ended or refused later."""
        retries.record_request(entry.budget, entry.in_flight())
        tried: set[str] = set()
        row = self._choose(entry, tried)
        while row is not None:
            if self._attempt(entry, row, request):
                return
            tried.add(row.vm.name)
            row = self._choose_again(entry, tried)
        self._refuse(entry, request)

    def _choose_again(
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
        request.refusals += 1
        wait_s = self.generator.uniform(1, 1.5)
        self.queue.after(wait_s, lambda: self.send(entry, request))

    def _attempt(
        self,
        entry: Entry,
        row: endpoints.Endpoint,
        request: Request,
    ) -> bool:
        agent = self.agents[row.vm.name]
        now_s = self.queue.now_s
        if now_s < agent.engine.down_deadline_s:
            _eject(entry, row, now_s)
            return False
        if admission.refusal(agent.gate) is not None:
            endpoints.record_load(row, agent.gate.load(), now_s)
            return False
        self._start(entry, row, agent, request)
        return True

    def _start(
        self,
        entry: Entry,
        row: endpoints.Endpoint,
        agent: Agent,
        request: Request,
    ) -> None:
        generation = admission.start(agent.gate)
        row.own_in_flight += 1
        agent.last_new_s = self.queue.now_s
        endpoints.record_load(row, agent.gate.load(), self.queue.now_s)
        number = next(self.numbers)

        def end(whole: bool) -> None:
            row.own_in_flight -= 1
            outcome = admission.Outcome.broken
            if whole:
                outcome = admission.Outcome.whole
            now_s = self.queue.now_s
            admission.finish(agent.gate, generation, outcome, now_s)
            endpoints.record_load(row, agent.gate.load(), self.queue.now_s)
            request.ended = request.ended or whole
            if not whole:
                self._break(entry, row, request)

        agent.engine.running[number] = end
        self._run(agent.engine, number, request)

    def _break(
        self,
        entry: Entry,
        row: endpoints.Endpoint,
        request: Request,
    ) -> None:
        request.broken = True
        _eject(entry, row, self.queue.now_s)
        if request.idempotent and retries.try_spend(entry.budget):
            self.queue.after(LINK_S, lambda: self.send(entry, request))

    def _run(self, engine: Engine, number: int, request: Request) -> None:
        now_s = self.queue.now_s
        if now_s > engine.idle_deadline_s:
            engine.answers = 0
        engine.idle_deadline_s = now_s + IDLE_WARM_S
        if len(engine.running) > FALL_OVER_FACTOR * engine.bearable():
            self._fall_over(engine)
            return
        noise = self.generator.lognormvariate(0, 0.3)
        first_s = 2 * LINK_S + PREFILL_S * engine.slowdown() * noise
        tokens = self.generator.expovariate(1 / TOKENS_MEAN)
        self.queue.after(first_s, lambda: self._first(engine, number, request))
        whole_s = first_s + tokens * TOKEN_S
        self.queue.after(whole_s, lambda: self._finish(engine, number))

    def _first(self, engine: Engine, number: int, request: Request) -> None:
        if number in engine.running and not request.first_token_s:
            request.first_token_s = self.queue.now_s

    def _finish(self, engine: Engine, number: int) -> None:
        end = engine.running.pop(number, None)
        if end is not None:
            engine.answers += 1
            engine.idle_deadline_s = self.queue.now_s + IDLE_WARM_S
            end(True)

    def _fall_over(self, engine: Engine) -> None:
        engine.answers = 0
        engine.down_deadline_s = self.queue.now_s + RESTART_S
        ends = list(engine.running.values())
        engine.running.clear()
        for end in ends:
            end(False)


@attrs.define
class Size:
    """How large a fleet is.

    :ivar entries: Number of entries.
    :ivar runners: Number of endpoints.
    :ivar full_limit: Requests that each bears when it is warm.
    """

    entries: int
    runners: int
    full_limit: int


def build(seed: int, size: Size, *, careful: bool) -> Fleet:
    """Return a warm fleet.

    :param seed: Seed of its random choices.
    :param size: How large it is.
    :param careful: Whether ramps and cold starts after outages are used.
    """
    fleet = Fleet(careful, random.Random(seed))
    limit = size.full_limit
    for number in range(size.runners):
        vm = _agent_vm(number)
        gate = admission.Admission(watched=True)
        admission.set_limits(gate, limit, limit // COLD_PART)
        gate.limit = limit
        engine = Engine(limit, limit * ANSWERS_A_STEP)
        fleet.agents[vm.name] = Agent(vm, gate, engine)
    listed = [agent.vm for agent in fleet.agents.values()]
    entries = [_entry_vm(serial) for serial in range(size.entries)]
    for entry_vm in entries:
        entry = _entry(entry_vm, [*listed, *entries], limit)
        fleet.entries.append(entry)
    return fleet


def _entry(vm: vms.Vm, listed: list[vms.Vm], limit: int) -> Entry:
    entry = Entry()
    entry.subset_table.entry = vm.name
    entry.subset_table.data_centre = vm.data_centre
    endpoints.update_vms(entry.table, listed)
    subsets.update(entry.subset_table, entry.table, listed)
    for row in entry.table.rows.values():
        row.load = messages.LoadReport(0, limit)
    return entry


def _eject(entry: Entry, row: endpoints.Endpoint, now_s: float) -> None:
    peers = list(entry.table.rows.values())
    ejection.record_failure(row, peers, now_s)


def _entry_vm(number: int) -> vms.Vm:
    return vms.Vm(
        name=f'entry-{number}',
        role=vms.VmRole.entry,
        state=vms.VmState.live,
        region='qc-est',
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        peers_address='',
    )


def _agent_vm(number: int) -> vms.Vm:
    return vms.Vm(
        name=f'redacteur-{number}',
        role=vms.VmRole.agent,
        state=vms.VmState.live,
        region='qc-est',
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        peers_address='',
        service=SERVICE,
    )
