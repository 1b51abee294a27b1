"""Useful answers of a fleet on the platform under overload.

The production queueing and placement of the entries run in simulated time. An
engine runs a fixed number of requests concurrently and starts the others in
order of arrival. A caller abandons a request whose answer does not begin in
time, and retries once after a refusal.
"""

import random

import attrs

from camphorstair_core.fleet import (
    catalogue,
    ejection,
    placement,
    roster,
    subsetting,
    waiting,
)
from measures import reports

ENTRY_NAMES = tuple(f'front-{number}' for number in range(6))
ENGINES = 12
SLOTS = 6
SERVICE_S = 1.2
FIRST_PART_S = 0.12
TARGET_S = 0.4
TIMEOUT_S = 8.0
RETRY_AFTER_S = 0.5
RETRY_SPREAD = 1.25
REPORT_INTERVAL_S = 0.1
TICK_S = 0.01
WARM_UP_S = 5.0
PHASE_S = 20.0
CAPACITY_PER_S = ENGINES * SLOTS / SERVICE_S
FACTORS = (1.0, 2.0, 4.0)
SERVICE = 'drafts'
DATA_CENTRE = 'levis-nord'
ROUTE = catalogue.Route(
    name='draft',
    host='drafts.example',
    prefix='/',
    kind=catalogue.RequestKind.streaming,
    timeout_s=TIMEOUT_S,
    target_s=TARGET_S,
    gap_target_s=0.12,
    priority=1,
    services=(catalogue.WeightedService(SERVICE, 1),),
    max_attempts=2,
    public=True,
    resumable=True,
)


@attrs.define(eq=False)
class Request:
    """A caller's request.

    :ivar arrived_s: Time when its caller first sent it.
    :ivar abandon_deadline_s: Time when its caller abandons it unless the
        answer begins.
    :ivar completion_s: Time when its answer is complete, set once it runs.
    :ivar retried: Whether its caller has retried it after a refusal.
    """

    arrived_s: float
    abandon_deadline_s: float = 0
    completion_s: float = 0
    retried: bool = False


@attrs.define(eq=False)
class Engine:
    """A simulated engine.

    :ivar running: Running requests, each with the load record that the sending
        entry keeps of this engine.
    :ivar queue: Waiting requests in order of arrival, each with its load
        record as in ``running``.
    """

    running: list[tuple[Request, placement.Load]] = attrs.field(factory=list)
    queue: list[tuple[Request, placement.Load]] = attrs.field(factory=list)


@attrs.define(eq=False)
class Entry:
    """An entry with its own estimate of the engines' work.

    :ivar candidates: Its view of the engines, in their order.
    :ivar queue: Its queue of waiting requests.
    :ivar patience: Its record of how long callers wait.
    :ivar requests: The waiting requests by their waiter in the queue.
    """

    candidates: list[placement.Candidate]
    queue: waiting.Queue = attrs.field(factory=waiting.Queue)
    patience: waiting.CallerTimes = attrs.field(factory=waiting.CallerTimes)
    requests: dict[waiting.Waiter, Request] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Fleet:
    """The simulated fleet.

    :ivar generator: Draws arrivals, entries, choices and service times.
    :ivar waits: Whether requests queue at the entries; otherwise each is sent
        at once to the engine with the fewest requests from its entry.
    :ivar entries: The entries.
    :ivar engines: The engines.
    :ivar now_s: Simulated time.
    :ivar reported_s: Time of the last load reports.
    :ivar refused: Refused requests, each with the time of its retry.
    :ivar whole: Number of complete answers since the last reset.
    :ivar timely: Number of answers since the last reset that began within the
        target.
    """

    generator: random.Random
    waits: bool
    entries: list[Entry]
    engines: list[Engine]
    now_s: float = 0
    reported_s: float = 0
    refused: list[tuple[float, Request]] = attrs.field(factory=list)
    whole: int = 0
    timely: int = 0

    def arrive(self, request: Request) -> None:
        """Deliver a request to a random entry, which queues or sends it."""
        request.abandon_deadline_s = self.now_s + waiting.caller_wait_s(ROUTE)
        entry = self.generator.choice(self.entries)
        if not self.waits:
            loads = [candidate.load for candidate in entry.candidates]
            least_loaded = min(loads, key=_running_count)
            self._send(request, loads.index(least_loaded), least_loaded)
            return
        waiter = waiting.Waiter('', ROUTE.priority, self.now_s)
        limit_s = request.arrived_s + TIMEOUT_S - self.now_s
        waiting.set_deadlines(
            waiter,
            ROUTE,
            self.now_s,
            self.now_s + limit_s,
            entry.patience.elapsed_s(ROUTE, limit_s),
        )
        entry.queue.waiters.append(waiter)
        entry.requests[waiter] = request

    def tick(self) -> None:
        """Advance the simulated time by one tick."""
        self.now_s += TICK_S
        self._retry_refused()
        for engine in self.engines:
            self._advance_engine(engine)
        if self.now_s >= self.reported_s + REPORT_INTERVAL_S:
            self._report_loads()
        for entry in self.entries:
            self._advance_entry(entry)

    def _retry_refused(self) -> None:
        due_requests = [
            refused_request
            for at_s, refused_request in self.refused
            if at_s <= self.now_s
        ]
        self.refused = [
            retry for retry in self.refused if retry[0] > self.now_s
        ]
        for request in due_requests:
            self.arrive(request)

    def _advance_engine(self, engine: Engine) -> None:
        completed = [
            engine_run
            for engine_run in engine.running
            if engine_run[0].completion_s <= self.now_s
        ]
        for completed_run in completed:
            engine.running.remove(completed_run)
            completed_run[1].running -= 1
            self.whole += 1
        while engine.queue and len(engine.running) < SLOTS:
            self._start(engine, *engine.queue.pop(0))

    def _start(
        self,
        engine: Engine,
        request: Request,
        load: placement.Load,
    ) -> None:
        """Start a request unless its caller abandons it before the answer."""
        begins_s = self.now_s + FIRST_PART_S
        if begins_s > request.abandon_deadline_s:
            load.running -= 1
            return
        spread = self.generator.uniform(0.8, 1.2)
        request.completion_s = self.now_s + SERVICE_S * spread
        self.timely += begins_s <= request.arrived_s + TARGET_S
        engine.running.append((request, load))

    def _report_loads(self) -> None:
        """Report the load of all engines to all entries."""
        self.reported_s = self.now_s
        for index, engine in enumerate(self.engines):
            for entry in self.entries:
                placement.record_report(
                    entry.candidates[index].load,
                    len(engine.running),
                    len(engine.queue),
                    self.now_s,
                )

    def _advance_entry(self, entry: Entry) -> None:
        """Refuse overdue requests of an entry and send others while it can."""
        for overdue in waiting.given_up(entry.queue, self.now_s):
            self._refuse(entry.requests.pop(overdue))
        for waiter in waiting.sorted_waiters(entry.queue, self.now_s):
            available = [
                candidate
                for candidate in entry.candidates
                if placement.has_free_slot(candidate, self.now_s)
            ]
            chosen = placement.choose(
                available, DATA_CENTRE, self.now_s, self.generator
            )
            if chosen is None:
                return
            waiting.start(entry.queue, waiter)
            waiting.finish(entry.queue, '')
            self._send(
                entry.requests.pop(waiter),
                entry.candidates.index(chosen),
                chosen.load,
            )

    def _send(
        self,
        request: Request,
        index: int,
        load: placement.Load,
    ) -> None:
        load.running += 1
        self.engines[index].queue.append((request, load))

    def _refuse(self, request: Request) -> None:
        """Refuse a request; its caller retries it if it has not yet."""
        if request.retried:
            return
        request.retried = True
        wait_s = RETRY_AFTER_S * self.generator.uniform(1, RETRY_SPREAD)
        self.refused.append((self.now_s + wait_s, request))


def measure(seed: int) -> reports.Report:
    """Measure complete and timely answers at several loads.

    The baseline sends each request at once to the least loaded engine.

    :param seed: Seed of the simulation.
    """
    figures = _figures(seed, waits=True)
    baseline = _figures(seed, waits=False)
    targets = [
        reports.Target('useful_share_2x', at_least=0.95),
        reports.Target('useful_share_4x', at_least=0.95),
    ]
    return reports.Report('fleet_overload', seed, figures, baseline, targets)


def _running_count(load: placement.Load) -> int:
    return load.running


def _figures(seed: int, *, waits: bool) -> dict[str, float]:
    figures = {}
    for factor in FACTORS:
        fleet = _make_fleet(seed, waits=waits)
        _run(fleet, factor, WARM_UP_S)
        fleet.whole = 0
        fleet.timely = 0
        _run(fleet, factor, PHASE_S)
        capacity = CAPACITY_PER_S * PHASE_S
        figures[f'useful_share_{factor:g}x'] = fleet.whole / capacity
        figures[f'timely_share_{factor:g}x'] = fleet.timely / capacity
    return figures


def _make_fleet(seed: int, *, waits: bool) -> Fleet:
    return Fleet(
        random.Random(seed),
        waits,
        [Entry(_candidates(name)) for name in ENTRY_NAMES],
        [Engine() for _ in range(ENGINES)],
    )


def _candidates(entry: str) -> list[placement.Candidate]:
    candidates = [
        placement.Candidate(
            roster.Endpoint(registration(number)),
            placement.Load(),
            ejection.Health(),
        )
        for number in range(ENGINES)
    ]
    assign_slots(candidates, entry, list(ENTRY_NAMES))
    return candidates


def assign_slots(
    candidates: list[placement.Candidate],
    entry: str,
    entries: list[str],
) -> None:
    """Set how many slots of each endpoint an entry owns.

    :param candidates: All endpoints of a service.
    :param entry: The name of the entry.
    :param entries: The names of the serving entries.
    """
    shares = subsetting.shares(
        entry,
        entries,
        [candidate.endpoint.registration for candidate in candidates],
    )
    for candidate in candidates:
        share = shares[candidate.endpoint.registration.endpoint]
        candidate.own_slots = share.own_slots


def registration(number: int) -> roster.Registration:
    """Return the registration of an engine.

    :param number: Number of the engine.
    """
    return roster.Registration(
        endpoint=f'i-{number:02}',
        service=SERVICE,
        address=f'10.0.0.{number}:80',
        data_centre=DATA_CENTRE,
        state=roster.EndpointState.ready,
        slots=SLOTS,
        cold_s=0,
        born_ms=0,
        membership=None,
    )


def _run(fleet: Fleet, factor: float, phase_s: float) -> None:
    rate_per_s = factor * CAPACITY_PER_S
    for _ in range(round(phase_s / TICK_S)):
        wait_s = fleet.generator.expovariate(rate_per_s)
        while wait_s < TICK_S:
            fleet.arrive(Request(fleet.now_s))
            wait_s += fleet.generator.expovariate(rate_per_s)
        fleet.tick()
