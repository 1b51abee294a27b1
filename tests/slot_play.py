"""Entries that share the slots of engines at a load of 0.9, for tests.

Time passes in ticks. Reports and messages arrive a tick after they were sent.
"""

import random

import attrs

from camphorstair_core.fleet import (
    ejection,
    placement,
    roster,
    slot_grants,
    slot_requests,
    subsetting,
    waiting,
)
from measures import fleet_overload

TICK_S = 0.01
REPORT_TICKS = 10
SLOTS = 5
ENGINE_COUNT = 72
ENTRY_COUNT = 12
LOAD = 0.9
SERVICE_S = 2.0
# Longest wait beside a free slot: two report intervals.
MAX_WAIT_S = 0.2


def candidate(
    registration: roster.Registration, share: subsetting.SlotShare
) -> placement.Candidate:
    """Return an idle endpoint of which an entry has a share."""
    return placement.Candidate(
        roster.Endpoint(registration),
        placement.Load(),
        ejection.Health(),
        own_slots=share.own_slots,
        place=share.place,
        users=share.users,
    )


@attrs.define(eq=False)
class Queued:
    """A waiting request, and how long a slot has been free meanwhile."""

    waiter: waiting.Waiter
    beside_s: float = 0


@attrs.define(eq=False)
class Entry:
    """An entry: the endpoints that it uses, and its waiting requests."""

    name: str
    used: dict[str, placement.Candidate]
    requests: slot_requests.SlotRequests
    queue: list[Queued] = attrs.field(factory=list)


@attrs.define(eq=False)
class Engine:
    """An engine with its agent: when each request ends, and by whom it is."""

    registration: roster.Registration
    grants: slot_grants.SlotGrants = attrs.field(
        factory=lambda: slot_grants.start(0)
    )
    running: list[tuple[float, Entry]] = attrs.field(factory=list)
    askers: dict[str, slot_grants.Asker] = attrs.field(factory=dict)
    report: int | None = None


@attrs.define(eq=False)
class Play:
    """The entries and engines, and counts of the requests that waited."""

    grants_slots: bool
    generator: random.Random
    entries: dict[str, Entry] = attrs.field(init=False)
    engines: dict[str, Engine] = attrs.field(init=False)
    now_s: float = 1
    next_arrival_s: float = 1
    waited: int = 0
    late: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the engines, and the entries with their shares."""
        rows = [
            attrs.evolve(fleet_overload.registration(number), slots=SLOTS)
            for number in range(ENGINE_COUNT)
        ]
        self.engines = {row.endpoint: Engine(row) for row in rows}
        names = [f'front-{number:02}' for number in range(ENTRY_COUNT)]
        self.entries = {
            name: Entry(
                name,
                {
                    endpoint: candidate(
                        self.engines[endpoint].registration, share
                    )
                    for endpoint, share in subsetting.shares(
                        name, names, rows
                    ).items()
                },
                slot_requests.SlotRequests(0),
            )
            for name in names
        }

    def late_share(self, duration_s: float) -> float:
        """Return the share of waiting requests that waited beside a free slot.

        They waited for longer than ``MAX_WAIT_S`` while a slot of an engine
        that their entry uses was free.
        """
        for tick in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            for number, engine in enumerate(self.engines.values()):
                self._advance_engine(
                    engine, is_due=(tick + number) % REPORT_TICKS == 0
                )
            self._arrive()
            for entry in self.entries.values():
                self._serve(entry)
                self._ask(entry)
                self._count_waits(entry)
        return self.late / max(1, self.waited)

    def _advance_engine(self, engine: Engine, *, is_due: bool) -> None:
        """End requests, deliver the last report and decide requests."""
        name = engine.registration.endpoint
        for end_s, owner in list(engine.running):
            if end_s <= self.now_s:
                engine.running.remove((end_s, owner))
                owner.used[name].load.running -= 1
        if engine.report is not None:
            self._deliver_report(name, engine.report)
        engine.report = len(engine.running) if is_due else None
        granted = slot_grants.decide(
            engine.grants,
            engine.askers.values(),
            SLOTS,
            len(engine.running),
            self.now_s,
        )
        engine.askers.clear()
        for asker in granted:
            slot_requests.record_grant(
                self.entries[asker.entry].requests,
                engine.registration.address,
                asker.number,
                placement.GRANT_VALID_S,
                self.now_s,
            )

    def _deliver_report(self, endpoint: str, running: int) -> None:
        for entry in self.entries.values():
            row = entry.used.get(endpoint)
            if row is not None:
                placement.record_report(row.load, running, 0, self.now_s)

    def _arrive(self) -> None:
        rate_per_s = LOAD * SLOTS * ENGINE_COUNT / SERVICE_S
        while self.next_arrival_s <= self.now_s:
            self.next_arrival_s += self.generator.expovariate(rate_per_s)
            entry = self.generator.choice(list(self.entries.values()))
            waiter = waiting.Waiter('gravier', 0, self.now_s)
            entry.queue.append(Queued(waiter))

    def _serve(self, entry: Entry) -> None:
        while entry.queue:
            free = [
                row
                for row in entry.used.values()
                if placement.has_free_slot(row, self.now_s)
            ]
            chosen = placement.choose(
                free, fleet_overload.DATA_CENTRE, self.now_s, self.generator
            )
            if chosen is None:
                return
            entry.queue.pop(0)
            chosen.load.running += 1
            chosen.load.grant_deadline_s = 0
            end_s = self.now_s + self.generator.expovariate(1 / SERVICE_S)
            endpoint = chosen.endpoint.registration.endpoint
            self.engines[endpoint].running.append((end_s, entry))

    def _ask(self, entry: Entry) -> None:
        slot_requests.remove_expired(entry.requests, self.now_s)
        is_due = self.now_s >= entry.requests.next_round_s
        if not self.grants_slots or not entry.queue or not is_due:
            return
        for asked in slot_requests.ask(
            entry.requests,
            [
                row
                for row in entry.used.values()
                if slot_requests.lends_slot(row, self.now_s)
            ],
            [queued.waiter for queued in entry.queue],
            self.now_s,
            self.generator,
        ):
            endpoint = asked.candidate.endpoint.registration.endpoint
            self.engines[endpoint].askers[entry.name] = slot_grants.Asker(
                entry.name, asked.number, 0, len(entry.queue)
            )

    def _count_waits(self, entry: Entry) -> None:
        is_free = any(
            len(self.engines[endpoint].running) < SLOTS
            for endpoint in entry.used
        )
        for queued in entry.queue:
            self.waited += queued.waiter.arrived_s == self.now_s
            before_s = queued.beside_s
            queued.beside_s = before_s + TICK_S if is_free else 0
            self.late += before_s <= MAX_WAIT_S < queued.beside_s
