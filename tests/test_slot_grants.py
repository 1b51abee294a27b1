"""Tests of the grants by which entries share the slots of engines."""

import random
import socket

import attrs
import curio
import fleet_bench
import pytest
import slot_play
from hypothesis import stateful
from hypothesis import strategies as st
from opentelemetry import metrics as metrics_api

from camphorstair.fleet import dispatch, serving
from camphorstair.fleet import state as entry_state
from camphorstair_agent.fleet import (
    engine_calls,
    instruments,
    slot_granting,
    state,
)
from camphorstair_core import errors
from camphorstair_core.fleet import (
    ejection,
    placement,
    roster,
    slot_grants,
    slot_requests,
    subsetting,
    waiting,
)
from camphorstair_fleet import internal_messages
from camphorstair_platform import boot
from camphorstair_runtime import (
    clocks,
    http_messages,
    http_server,
    listening,
    settings,
)
from camphorstair_standins import loopback
from measures import fleet_overload

# Longest loss of a slot after a grant lapses, by the page.
MAX_LOSS_S = 0.25
ENGINE = fleet_overload.registration(1)
ENTRIES = st.sampled_from([f'front-{number}' for number in range(8)])


@attrs.define(eq=False)
class World:
    """What the state machine knows of the engine, its agent and the entries.

    :ivar most: Largest number of requests that the grants allow now.
    :ivar given_s: When each grant was given.
    """

    slots: int = 5
    now_s: float = 10
    running: int = 0
    most: int = 5
    given_s: list[float] = attrs.field(factory=list)
    grants: slot_grants.SlotGrants = attrs.field(
        factory=lambda: slot_grants.start(0)
    )
    inbox: list[slot_grants.Asker] = attrs.field(factory=list)
    replies: list[tuple[str, int]] = attrs.field(factory=list)
    entries: dict[str, slot_play.Entry] = attrs.field(factory=dict)

    def entry(self, name: str) -> slot_play.Entry:
        """Return an entry that owns no slot of the engine."""
        registration = attrs.evolve(ENGINE, slots=self.slots)
        share = subsetting.SlotShare(0, 0, 8)
        fresh = slot_play.Entry(
            name,
            {'i': slot_play.candidate(registration, share)},
            slot_requests.SlotRequests(len(self.entries) * 1000),
        )
        return self.entries.setdefault(name, fresh)

    def load(self, name: str) -> placement.Load:
        """Return the load of the engine as an entry knows it."""
        return self.entry(name).used['i'].load

    def in_force(self, valid_s: float) -> int:
        """Return how many grants were given in the last seconds."""
        return sum(self.now_s - given_s < valid_s for given_s in self.given_s)

    def is_new(self, asker: slot_grants.Asker) -> bool:
        """Return whether a request was not granted yet."""
        last = self.grants.last.get(asker.entry)
        return last is None or last.number != asker.number


def _check_decision(
    world: World,
    new: list[slot_grants.Asker],
    granted: list[slot_grants.Asker],
) -> None:
    """Check that urgent askers go first, and that no slot is lost or doubled."""
    assert len(granted) <= max(0, world.slots - world.running)
    refused_tiers = [asker.tier for asker in new if asker not in granted]
    for asker in granted:
        assert asker in new
        assert asker.tier <= min(refused_tiers, default=asker.tier)
    started_s = world.grants.not_before_s
    if new and world.now_s >= started_s + MAX_LOSS_S:
        used = world.running + world.in_force(MAX_LOSS_S)
        assert granted or used >= world.slots


class SharedEngine(stateful.RuleBasedStateMachine):
    """One engine with owners that know its load, and entries that ask.

    An owner may also act on a late report; what it sends to a full engine is
    no fault of the grants.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @stateful.initialize(slots=st.integers(1, 8))
    def choose_slots(self, slots: int) -> None:
        self.world = World(slots, most=slots)

    @stateful.rule(late=st.booleans())
    def owner_sends(self, *, late: bool) -> None:
        world = self.world
        if world.running < world.slots:
            world.running += 1
        elif late:
            world.running += 1
            world.most += 1

    @stateful.rule(count=st.integers(1, 3))
    def requests_end(self, count: int) -> None:
        self.world.running = max(0, self.world.running - count)

    @stateful.rule(name=ENTRIES, priority=st.integers(0, 2), lost=st.booleans())
    def entry_asks(self, name: str, priority: int, *, lost: bool) -> None:
        """Ask by a report of a free slot, which may be wrong by now."""
        world = self.world
        entry = world.entry(name)
        is_due = world.now_s >= entry.requests.next_round_s
        if not is_due or placement.has_grant(world.load(name), world.now_s):
            return
        waiters = [waiting.Waiter('gravier', priority, 0)]
        tier = slot_requests.most_urgent_tier(waiters, world.now_s)
        for asked in slot_requests.ask(
            entry.requests,
            list(entry.used.values()),
            waiters,
            world.now_s,
            random.Random(1),
        ):
            if not lost:
                asker = slot_grants.Asker(name, asked.number, tier, 1)
                world.inbox.append(asker)

    @stateful.rule(doubled=st.booleans())
    def agent_decides(self, *, doubled: bool) -> None:
        world = self.world
        askers = {asker.entry: asker for asker in world.inbox}
        world.inbox = list(askers.values()) if doubled else []
        new = [asker for asker in askers.values() if world.is_new(asker)]
        granted = slot_grants.decide(
            world.grants,
            askers.values(),
            world.slots,
            world.running,
            world.now_s,
        )
        _check_decision(world, new, granted)
        world.given_s += [world.now_s for _ in granted]
        world.replies += [(asker.entry, asker.number) for asker in granted]

    @stateful.rule(draw=st.data(), kept=st.booleans())
    def reply_arrives(self, draw: st.DataObject, *, kept: bool) -> None:
        """A reply arrives in any order; it may arrive again if it is kept."""
        world = self.world
        if not world.replies:
            return
        name, number = draw.draw(st.sampled_from(world.replies))
        if not kept:
            world.replies.remove((name, number))
        slot_requests.record_grant(
            world.entry(name).requests, ENGINE.address, number, 99, world.now_s
        )

    @stateful.rule(name=ENTRIES)
    def entry_uses_grant(self, name: str) -> None:
        load = self.world.load(name)
        if placement.has_grant(load, self.world.now_s):
            load.grant_deadline_s = 0
            self.world.running += 1

    @stateful.rule(passed_s=st.sampled_from((0.005, 0.05, 0.1, 0.26, 4.0)))
    def time_passes(self, passed_s: float) -> None:
        """Pass time; the longest one is that of frozen entries."""
        self.world.now_s += passed_s

    @stateful.rule()
    def agent_restarts(self) -> None:
        self.world.grants = slot_grants.start(self.world.now_s)
        self.world.inbox.clear()

    @stateful.rule()
    def link_is_cut(self) -> None:
        self.world.inbox.clear()
        self.world.replies.clear()

    @stateful.invariant()
    def excess_is_bounded_by_grants(self) -> None:
        """Until an engine is full, its excess is at most the grants then."""
        world = self.world
        if world.running <= world.slots:
            valid_s = placement.GRANT_VALID_S
            world.most = world.slots + world.in_force(valid_s)
        assert world.running <= world.most


TestSharedEngine = SharedEngine.TestCase


@pytest.mark.parametrize('seed', range(7, 27))
def test_no_request_waits_beside_a_free_slot(seed: int) -> None:
    """Without grants, requests wait although other entries' slots are idle."""
    if seed == 7:
        without = slot_play.Play(
            grants_slots=False, generator=random.Random(seed)
        )
        assert without.late_share(20) > 0
    played = slot_play.Play(grants_slots=True, generator=random.Random(seed))
    assert played.late_share(20) == 0
    assert played.waited > 0


REPORT = b'{"Running": 3, "Waiting": 0}'


async def _engine(
    _request: http_messages.Request, responder: http_server.Responder
) -> None:
    await responder.respond(http_messages.Response(200, [], REPORT))


@attrs.define(eq=False)
class Pair:
    """An entry and the agent of an engine whose slots others own.

    The engine has 5 slots and runs 3 requests, so the entry may use the free
    slots only by grants.
    """

    process: serving.Process
    agent: state.FleetAgent
    candidate: placement.Candidate

    @property
    def dispatcher(self) -> dispatch.Dispatcher:
        return self.process.dispatcher

    async def acquire(self, limit_s: float) -> placement.Candidate:
        """Acquire an endpoint for a request that may wait for a time."""
        now_s = clocks.monotonic_s()
        waiter = waiting.Waiter('gravier', 0, now_s, now_s + 9, now_s + limit_s)
        asking = await curio.spawn(self.dispatcher.acquire, 'engine', waiter)
        async with curio.ignore_after(limit_s + 1):
            while not asking.terminated:
                await curio.sleep(0.01)
                await self.dispatcher.serve_queues()
        try:
            return await asking.join()
        except curio.TaskError as error:
            raise error.__cause__ or error from None


def _pair(monkeypatch: pytest.MonkeyPatch, *, ranked: bool) -> Pair:
    told = boot.decode(fleet_bench.boot_settings(loopback.free_address()))
    engine = loopback.free_address()
    registration = attrs.evolve(
        fleet_overload.registration(1),
        address=engine,
        service='engine',
        slots=5,
    )
    meter = metrics_api.NoOpMeter('test')
    process = serving.build(told, meter)
    agent = state.FleetAgent(
        attrs.evolve(told, engine_address=engine), instruments.create(meter)
    )
    agent.endpoints['i-01'] = registration
    endpoint = roster.register(process.entry.endpoints, registration, 0)
    shares = {'i-01': subsetting.SlotShare(0, 1, 8)}
    monkeypatch.setattr(
        entry_state.FleetEntry, 'shares', lambda _entry, _service: shares
    )
    monkeypatch.setattr(
        entry_state.FleetEntry, 'is_ranked', lambda _entry, _service: ranked
    )
    candidate = process.entry.candidate(endpoint)
    placement.record_report(candidate.load, 3, 0, clocks.monotonic_s())
    return Pair(process, agent, candidate)


async def _with_tasks(pair: Pair, granter: slot_granting.SlotGranter) -> None:
    """Start the engine and both tasks, and let a starting agent wait."""
    engine = pair.agent.settings.engine_address
    server = http_server.Server(_engine)
    host, port = settings.split_address(engine)
    await curio.spawn(listening.serve, host, port, server.serve, daemon=True)
    await curio.spawn(granter.run, daemon=True)
    await curio.spawn(pair.dispatcher.slot_asker.run, daemon=True)
    await curio.sleep(placement.GRANT_VALID_S)
    placement.record_report(pair.candidate.load, 3, 0, clocks.monotonic_s())


def _granter(pair: Pair) -> slot_granting.SlotGranter:
    engine = pair.agent.settings.engine_address
    return slot_granting.SlotGranter(
        pair.agent, engine_calls.EngineCalls(engine)
    )


def test_a_waiting_request_gets_an_idle_slot_by_datagram(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Malformed, foreign and doubled datagrams before it must not disturb."""
    pair = _pair(monkeypatch, ranked=True)
    granter = _granter(pair)
    told = pair.agent.settings
    foreign = internal_messages.SlotRequest(1, '10.0.0.9:80', 'front-2', 0, 1)

    async def body() -> None:
        await _with_tasks(pair, granter)
        port = told.internal_port + internal_messages.SLOT_PORT_OFFSET
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            for content in (b'', b'\xff', internal_messages.encode(foreign)):
                await sock.sendto(content, (told.address, port))
        assert await pair.acquire(1) is pair.candidate
        assert pair.candidate.load.running == 1
        assert not pair.candidate.load.grant_deadline_s
        assert not pair.dispatcher.slot_asker.requests.asked
        assert list(granter.grants.deadlines_s) == [told.name]

    curio.run(body)


def test_no_message_is_sent_for_a_service_that_is_not_ranked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pair = _pair(monkeypatch, ranked=False)
    granter = _granter(pair)
    asker = pair.dispatcher.slot_asker
    first = asker.requests.last_number

    async def body() -> None:
        await _with_tasks(pair, granter)
        with pytest.raises(errors.RequestError):
            await pair.acquire(0.3)
        assert asker.requests.last_number == first
        assert not granter.grants.last

    curio.run(body)


@pytest.mark.parametrize('check', ['cold', 'limited', 'recovering', 'leaving'])
def test_a_grant_overrides_no_other_check(
    monkeypatch: pytest.MonkeyPatch, check: str
) -> None:
    pair = _pair(monkeypatch, ranked=True)
    candidate = pair.candidate
    now_s = clocks.monotonic_s()
    candidate.load.grant_deadline_s = now_s + 9
    choice = pair.dispatcher.choice
    usable = choice.usable('engine')
    assert choice.free('engine', usable, now_s) == [candidate]
    if check == 'cold':
        candidate.endpoint.cold_deadline_s = now_s + 9
        for _ in range(99):
            pair.process.entry.cold_window('i-01').add(now_s)
    elif check == 'limited':
        candidate.terms.limit.per_s = 1
        candidate.terms.limit.next_send_s = now_s + 9
    elif check == 'recovering':
        candidate.load.running = 1
        monkeypatch.setattr(ejection, 'is_recovering', lambda _health: True)
    else:
        candidate.terms.leaving = True
    assert not choice.free('engine', choice.usable('engine'), now_s)
    choice.count_sent(candidate, waiting.Waiter('', 0, now_s), now_s)
    assert not placement.has_grant(candidate.load, now_s)
