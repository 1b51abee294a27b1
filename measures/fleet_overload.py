"""What callers get of a fleet when more comes than its engines bear.

Simulated time over the waiting and the placement of the entries on the
platform. An engine runs some requests at once and starts others in the order
of their arrival. A caller leaves an answer that does not begin in time, and
comes back once after a refusal.
"""

import random

import attrs

from camphorstair_core.fleet import (
    catalogue,
    ejection,
    placement,
    roster,
    waiting,
)
from measures import reports

ENTRIES = 6
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

    :ivar arrived_s: When its caller first sent it.
    :ivar leaves_s: When its caller leaves if no part has come.
    :ivar ends_s: When its answer is whole, once it runs.
    :ivar returned: Whether it came back after a refusal.
    """

    arrived_s: float
    leaves_s: float = 0
    ends_s: float = 0
    returned: bool = False


@attrs.define(eq=False)
class Engine:
    """An engine with what runs and what waits at it.

    :ivar running: What runs, with the load of the entry that sent it.
    :ivar queue: What waits, with the same.
    """

    running: list[tuple[Request, placement.Load]] = attrs.field(factory=list)
    queue: list[tuple[Request, placement.Load]] = attrs.field(factory=list)


@attrs.define(eq=False)
class Entry:
    """An entry with its own estimate of the engines' work.

    :ivar candidates: The engines as it knows them.
    :ivar queue: What waits at it.
    :ivar patience: How long callers wait.
    :ivar requests: The requests by their place in the queue.
    """

    candidates: list[placement.Candidate]
    queue: waiting.Queue = attrs.field(factory=waiting.Queue)
    patience: waiting.CallerTimes = attrs.field(factory=waiting.CallerTimes)
    requests: dict[waiting.Waiter, Request] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Fleet:
    """The simulated fleet.

    :ivar waits: Whether requests wait at the entries; else each is sent at
        once to the engine with the fewest requests of its entry.
    :ivar refused: Requests that come back, with the time of their return.
    :ivar whole: Answers since the last reset.
    :ivar timely: Those of them that began within the target.
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
        """Let a request come to some entry."""
        request.leaves_s = self.now_s + waiting.caller_wait_s(ROUTE)
        entry = self.generator.choice(self.entries)
        if not self.waits:
            loads = [one.load for one in entry.candidates]
            least = min(loads, key=_running)
            self._send(request, loads.index(least), least)
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
        """Let time go on by one tick."""
        self.now_s += TICK_S
        self._return_refused()
        for engine in self.engines:
            self._work(engine)
        if self.now_s >= self.reported_s + REPORT_INTERVAL_S:
            self._report()
        for entry in self.entries:
            self._advance(entry)

    def _return_refused(self) -> None:
        due = [one for at_s, one in self.refused if at_s <= self.now_s]
        self.refused = [row for row in self.refused if row[0] > self.now_s]
        for request in due:
            self.arrive(request)

    def _work(self, engine: Engine) -> None:
        ended = [one for one in engine.running if one[0].ends_s <= self.now_s]
        for done in ended:
            engine.running.remove(done)
            done[1].running -= 1
            self.whole += 1
        while engine.queue and len(engine.running) < SLOTS:
            self._start(engine, *engine.queue.pop(0))

    def _start(
        self,
        engine: Engine,
        request: Request,
        load: placement.Load,
    ) -> None:
        begins_s = self.now_s + FIRST_PART_S
        if begins_s > request.leaves_s:
            load.running -= 1
            return
        spread = self.generator.uniform(0.8, 1.2)
        request.ends_s = self.now_s + SERVICE_S * spread
        self.timely += begins_s <= request.arrived_s + TARGET_S
        engine.running.append((request, load))

    def _report(self) -> None:
        self.reported_s = self.now_s
        for index, engine in enumerate(self.engines):
            for entry in self.entries:
                placement.record_report(
                    entry.candidates[index].load,
                    len(engine.running),
                    len(engine.queue),
                    self.now_s,
                )

    def _advance(self, entry: Entry) -> None:
        for lost in waiting.given_up(entry.queue, self.now_s):
            self._refuse(entry.requests.pop(lost))
        for waiter in waiting.sorted_waiters(entry.queue, self.now_s):
            free = [
                one
                for one in entry.candidates
                if placement.has_free_slot(one, self.now_s)
            ]
            chosen = placement.choose(
                free, DATA_CENTRE, self.now_s, self.generator
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
        if request.returned:
            return
        request.returned = True
        wait_s = RETRY_AFTER_S * self.generator.uniform(1, RETRY_SPREAD)
        self.refused.append((self.now_s + wait_s, request))


def measure(seed: int) -> reports.Report:
    """Measure whole and timely answers at several loads."""
    figures = _figures(seed, waits=True)
    baseline = _figures(seed, waits=False)
    targets = [
        reports.Target('useful_share_2x', at_least=0.95),
        reports.Target('useful_share_4x', at_least=0.95),
    ]
    return reports.Report('fleet_overload', seed, figures, baseline, targets)


def _running(load: placement.Load) -> int:
    return load.running


def _figures(seed: int, *, waits: bool) -> dict[str, float]:
    figures = {}
    for factor in FACTORS:
        fleet = _make(seed, waits=waits)
        _run(fleet, factor, WARM_UP_S)
        fleet.whole = 0
        fleet.timely = 0
        _run(fleet, factor, PHASE_S)
        capacity = CAPACITY_PER_S * PHASE_S
        figures[f'useful_share_{factor:g}x'] = fleet.whole / capacity
        figures[f'timely_share_{factor:g}x'] = fleet.timely / capacity
    return figures


def _make(seed: int, *, waits: bool) -> Fleet:
    return Fleet(
        random.Random(seed),
        waits,
        [Entry(_candidates(place)) for place in range(ENTRIES)],
        [Engine() for _ in range(ENGINES)],
    )


def _candidates(place: int) -> list[placement.Candidate]:
    found = [
        placement.Candidate(
            roster.Endpoint(registration(number)),
            placement.Load(),
            ejection.Health(),
        )
        for number in range(ENGINES)
    ]
    placement.assign_slots(found, place, ENTRIES)
    return found


def registration(number: int) -> roster.Registration:
    """Return the registration of an engine."""
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
