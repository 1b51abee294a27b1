"""Bookings under faults at every step: double runs, and false "not run"."""

import random
import uuid

import attrs

from camphorstair_core import (
    endpoints,
    idempotency,
    keys,
    messages,
    ownership,
    verdicts,
    vms,
)
from measures import reports

REQUESTS = 12000
ATTEMPTS = 4
REPEAT_S = 2.0
FAULT_SHARE = 0.08
RARE_SHARE = 0.0005
SETTLE_SHARE = 0.2
SERVICE = 'comptoir'
NAMES = tuple(f'agent-{number}' for number in range(5))
ENTRIES = 3

_US_IN_S = 1_000_000
_US_IN_MS = 1_000
_DATE_SHIFT = 80
_RANDOM_BITS = 62
_VERSION = (7 << 76) | (2 << 62)


@attrs.define
class Agent:
    """A fake agent around the real claims and the real key table."""

    claims: ownership.Claims
    table: idempotency.KeyTable = attrs.field(
        factory=idempotency.KeyTable,
    )


@attrs.define
class World:
    """The fakes, and the account of what truly ran.

    :ivar guarded: False for the naive version, which just runs what comes.
    :ivar tables: What each entry knows of the endpoints.
    :ivar late: Messages that will come once more.
    :ivar runs: How often each key ran.
    """

    generator: random.Random
    guarded: bool
    now_s: float = 1000.0
    slot_map: ownership.SlotMap | None = None
    available: list[str] = attrs.field(factory=lambda: list(NAMES))
    agents: dict[str, Agent] = attrs.field(factory=dict)
    tables: list[endpoints.EndpointTable] = attrs.field(factory=list)
    late: list[tuple[str, messages.RequestStart]] = attrs.field(factory=list)
    runs: dict[str, int] = attrs.field(factory=dict)
    faults: int = 0
    restarts: int = 0
    false_not_run: int = 0

    def fault(self, share: float = FAULT_SHARE) -> bool:
        """Draw whether a fault strikes, and count it."""
        strikes = self.generator.random() < share
        self.faults += strikes
        return strikes

    def moment(self) -> ownership.ClockReading:
        """Return the time."""
        return ownership.ClockReading(self.now_s, self.now_s)


def measure(seed: int) -> reports.Report:
    """Run the same bookings and faults with and without the protocol."""
    figures = _measure(seed, guarded=True)
    baseline = _measure(seed, guarded=False)
    targets = [
        reports.Target('requests', at_least=10000),
        reports.Target('double_runs', at_most=0),
        reports.Target('false_not_run', at_most=0),
    ]
    return reports.Report('at_most_once', seed, figures, baseline, targets)


def _measure(seed: int, *, guarded: bool) -> dict[str, float]:
    world = World(random.Random(seed), guarded)
    for started in NAMES:
        _start(world, started)
    world.restarts = 0
    for _ in range(ENTRIES):
        table = endpoints.EndpointTable()
        endpoints.update_vms(table, [_vm(one) for one in NAMES])
        world.tables.append(table)
    _settle(world)
    answered = {True: 0, False: 0}
    for number in range(REQUESTS):
        dated = number % 2 == 0
        answered[dated] += _book(world, dated=dated)
    return {
        'requests': REQUESTS,
        'agent_restarts': world.restarts,
        'faults': world.faults,
        'double_runs': sum(count > 1 for count in world.runs.values()),
        'false_not_run': world.false_not_run,
        'answered_whole_share_dated': 2 * answered[True] / REQUESTS,
        'answered_whole_share_undated': 2 * answered[False] / REQUESTS,
    }


def _vm(name: str) -> vms.Vm:
    role = vms.VmRole.agent
    state = vms.VmState.live
    return vms.Vm(name, role, state, 'r', 'd', '', service=SERVICE)


def _start(world: World, name: str) -> None:
    epoch = str(world.generator.random())
    claims = ownership.Claims(SERVICE, name, name, epoch)
    world.agents[name] = Agent(claims)
    world.restarts += 1


def _settle(world: World) -> None:
    """Let every agent synchronise; calls and their answers may be lost."""
    for agent in world.agents.values():
        if not world.fault():
            _synchronise(world, agent)


def _synchronise(world: World, agent: Agent) -> None:
    members = ownership.Members(frozenset(NAMES), sorted(world.available))
    moment = world.moment()
    current = world.slot_map
    if current is None:
        current = ownership.first_map(SERVICE, members)
    else:
        ownership.apply_map(agent.claims, current, world.now_s, moment)
    planned = ownership.plan(
        agent.claims,
        current,
        members,
        moment,
        lambda slot: idempotency.keys_of_slot(agent.table, agent.claims, slot),
    )
    if planned == world.slot_map or world.fault():
        return
    world.slot_map = planned
    if not world.fault():
        ownership.apply_map(agent.claims, planned, world.now_s, moment)


def _book(world: World, *, dated: bool) -> bool:
    """Book once: the caller repeats through any entry until it is answered."""
    start = _request(world, dated=dated)
    for _ in range(ATTEMPTS):
        _disturb(world)
        verdict = _forward(world, start)
        if verdict is verdicts.Verdict.ran:
            return True
        ran = world.runs.get(start.idempotency_key, 0) > 0
        if ran and verdict is verdicts.Verdict.not_run:
            world.false_not_run += 1
        world.now_s += REPEAT_S
    return False


def _request(world: World, *, dated: bool) -> messages.RequestStart:
    made_us = int(world.now_s * _US_IN_S)
    key = f'{made_us} {world.generator.random()}'
    if dated:
        made_ms = made_us // _US_IN_MS
        number = world.generator.getrandbits(_RANDOM_BITS)
        key = str(uuid.UUID(int=made_ms << _DATE_SHIFT | _VERSION | number))
    return messages.RequestStart(
        request_id=key,
        attempt=1,
        service=SERVICE,
        organisation='gravier',
        priority=1,
        idempotent=False,
        idempotency_key=key,
        method='POST',
        path='/bookings',
        headers=[],
        body=b'',
        remaining_ms=1000,
    )


def _disturb(world: World) -> None:
    """Let agents restart or leave, lists differ and late messages come."""
    if world.fault(RARE_SHARE):
        _start(world, world.generator.choice(NAMES))
    if world.fault(RARE_SHARE):
        gone = world.generator.choice(NAMES)
        world.available = [name for name in NAMES if name != gone]
    if world.fault(RARE_SHARE):
        world.available = list(NAMES)
    for table in world.tables:
        if not world.fault():
            for row in table.rows.values():
                row.leaving = row.vm.name not in world.available
    if world.generator.random() < SETTLE_SHARE:
        _settle(world)
    while world.late and world.fault(0.5):
        name, start = world.late.pop()
        _serve(world, name, start)


def _forward(world: World, start: messages.RequestStart) -> verdicts.Verdict:
    """Do what the entry does: ask the owner, follow one redirection."""
    table = world.generator.choice(world.tables)
    if not world.guarded:
        rows = list(table.rows)
        return _attempt(world, world.generator.choice(rows), start)[0]
    chosen = endpoints.choose_owner(table, start, None, set())
    if chosen is None:
        return verdicts.Verdict.may_have_run
    name = chosen.vm.name
    verdict, owner = _attempt(world, name, start)
    if owner not in {'', name}:
        verdict, owner = _attempt(world, owner, start)
    return verdicts.Verdict.may_have_run if owner else verdict


def _attempt(
    world: World,
    name: str,
    start: messages.RequestStart,
) -> tuple[verdicts.Verdict, str]:
    """Send a request to an agent over a link that fails.

    :returns: The verdict, and the owner if the agent is not.
    """
    lost = (verdicts.Verdict.may_have_run, '')
    if world.fault():
        return lost
    if world.fault():
        world.late.append((name, start))
    if world.fault():
        return lost
    answer = _serve(world, name, start)
    return lost if world.fault() else answer


def _serve(
    world: World,
    name: str,
    start: messages.RequestStart,
) -> tuple[verdicts.Verdict, str]:
    """Do what the agent does with a request.

    :returns: The verdict, and the owner if the agent is not.
    """
    if not world.guarded:
        _count_run(world, start)
        return verdicts.Verdict.ran, ''
    agent = world.agents[name]
    request = keys.keyed_request(start)
    moment = world.moment()
    found = idempotency.find(agent.table, request, agent.claims, moment)
    if found is idempotency.KeyStatus.first:
        return _run(world, agent, start), ''
    if found is idempotency.KeyStatus.answered:
        return verdicts.Verdict.ran, ''
    if found is idempotency.KeyStatus.not_owner:
        slot = keys.slot_of(request.digest)
        owner = ownership.owner_of(agent.claims, slot)
        return verdicts.Verdict.not_run, owner or name
    return verdicts.Verdict.may_have_run, ''


def _run(
    world: World,
    agent: Agent,
    start: messages.RequestStart,
) -> verdicts.Verdict:
    """Run a first request; the agent may die before and after the run."""
    request = keys.keyed_request(start)
    idempotency.begin(agent.table, request, world.now_s)
    if world.fault(RARE_SHARE):
        _start(world, agent.claims.name)
        return verdicts.Verdict.may_have_run
    if world.fault():
        idempotency.forget(agent.table, request)
        return verdicts.Verdict.not_run
    _count_run(world, start)
    if world.fault(RARE_SHARE):
        _start(world, agent.claims.name)
        return verdicts.Verdict.may_have_run
    answer = idempotency.StoredAnswer(200, [], b'')
    idempotency.end(agent.table, request, answer)
    return verdicts.Verdict.ran


def _count_run(world: World, start: messages.RequestStart) -> None:
    key = start.idempotency_key
    world.runs[key] = world.runs.get(key, 0) + 1
