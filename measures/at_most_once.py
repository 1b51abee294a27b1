"""Double runs and false "not run" verdicts under injected faults.

A caller sends non-idempotent booking requests, and each step can fail.
"""

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
RETRY_INTERVAL_S = 2.0
FAULT_PROBABILITY = 0.08
RARE_FAULT_PROBABILITY = 0.0005
SYNCHRONISE_PROBABILITY = 0.2
SERVICE = 'comptoir'
AGENT_NAMES = tuple(f'agent-{number}' for number in range(5))
ENTRIES = 3

_US_IN_S = 1_000_000
_US_IN_MS = 1_000
_UUID_TIME_SHIFT = 80
_UUID_RANDOM_BITS = 62
_UUID_VERSION_BITS = (7 << 76) | (2 << 62)


@attrs.define
class Agent:
    """A simulated agent with the production slot claims and key table."""

    claims: ownership.Claims
    table: idempotency.KeyTable = attrs.field(
        factory=idempotency.KeyTable,
    )


@attrs.define
class Simulation:
    """State of the simulation and a record of the requests that ran.

    :ivar generator: Draws the keys, the entries and agents that receive
        requests, and the faults.
    :ivar protocol_enabled: Whether the at-most-once protocol is on. The
        baseline is without it: each agent runs every request that it receives.
    :ivar now_s: Simulated time.
    :ivar slot_map: The slot map in the platform; None before the first.
    :ivar available: Names of the agents that may own slots.
    :ivar agents: The agents by name.
    :ivar tables: Endpoint table of each entry.
    :ivar duplicates: Duplicate requests to deliver later, each with the agent's
        name.
    :ivar runs: Number of runs of each idempotency key.
    :ivar faults: Number of injected faults.
    :ivar restarts: Number of agent restarts.
    :ivar false_not_run: Number of "not run" verdicts on requests that ran.
    """

    generator: random.Random
    protocol_enabled: bool
    now_s: float = 1000.0
    slot_map: ownership.SlotMap | None = None
    available: list[str] = attrs.field(factory=lambda: list(AGENT_NAMES))
    agents: dict[str, Agent] = attrs.field(factory=dict)
    tables: list[endpoints.EndpointTable] = attrs.field(factory=list)
    duplicates: list[tuple[str, messages.RequestStart]] = attrs.field(
        factory=list
    )
    runs: dict[str, int] = attrs.field(factory=dict)
    faults: int = 0
    restarts: int = 0
    false_not_run: int = 0

    def fault(self, share: float = FAULT_PROBABILITY) -> bool:
        """Draw whether to inject a fault; count it and return the outcome.

        :param share: Probability of the fault.
        """
        injected = self.generator.random() < share
        self.faults += injected
        return injected

    def moment(self) -> ownership.ClockReading:
        """Return a clock reading with the simulated time on both clocks."""
        return ownership.ClockReading(self.now_s, self.now_s)


def measure(seed: int) -> reports.Report:
    """Run the bookings with the protocol; the baseline is without it.

    :param seed: Seed of the random generator, the same for both.
    """
    figures = _simulate(seed, protocol_enabled=True)
    baseline = _simulate(seed, protocol_enabled=False)
    targets = [
        reports.Target('requests', at_least=10000),
        reports.Target('double_runs', at_most=0),
        reports.Target('false_not_run', at_most=0),
    ]
    return reports.Report('at_most_once', seed, figures, baseline, targets)


def _simulate(seed: int, *, protocol_enabled: bool) -> dict[str, float]:
    world = Simulation(random.Random(seed), protocol_enabled)
    for agent_name in AGENT_NAMES:
        _start_agent(world, agent_name)
    world.restarts = 0
    for _ in range(ENTRIES):
        table = endpoints.EndpointTable()
        endpoints.update_vms(table, [_vm(vm_name) for vm_name in AGENT_NAMES])
        world.tables.append(table)
    _synchronise_all(world)
    answered = {True: 0, False: 0}
    for number in range(REQUESTS):
        dated = number % 2 == 0
        answered[dated] += _send_booking(world, dated=dated)
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


def _start_agent(world: Simulation, name: str) -> None:
    epoch = str(world.generator.random())
    claims = ownership.Claims(SERVICE, name, name, epoch)
    world.agents[name] = Agent(claims)
    world.restarts += 1


def _synchronise_all(world: Simulation) -> None:
    """Synchronise every agent, unless an injected fault loses the call."""
    for agent in world.agents.values():
        if not world.fault():
            _synchronise(world, agent)


def _synchronise(world: Simulation, agent: Agent) -> None:
    """Apply the slot map at an agent and store the map that it plans.

    The write or its reply may be lost.
    """
    members = ownership.Members(frozenset(AGENT_NAMES), sorted(world.available))
    moment = world.moment()
    current = world.slot_map
    if current is None:
        current = ownership.first_map(SERVICE, members)
    else:
        ownership.apply_map(agent.claims, current, world.now_s, moment)
    planned_map = ownership.plan(
        agent.claims,
        current,
        members,
        moment,
        lambda slot: idempotency.keys_of_slot(agent.table, agent.claims, slot),
    )
    if planned_map == world.slot_map or world.fault():
        return
    world.slot_map = planned_map
    if not world.fault():
        ownership.apply_map(agent.claims, planned_map, world.now_s, moment)


def _send_booking(world: Simulation, *, dated: bool) -> bool:
    """Send a booking, and repeat it through any entry until it is answered.

    :param dated: Whether the idempotency key carries its creation time.
    :returns: Whether the caller received the answer.
    """
    start = _request(world, dated=dated)
    for _ in range(ATTEMPTS):
        _inject_faults(world)
        verdict = _forward(world, start)
        if verdict is verdicts.Verdict.ran:
            return True
        ran = world.runs.get(start.idempotency_key, 0) > 0
        if ran and verdict is verdicts.Verdict.not_run:
            world.false_not_run += 1
        world.now_s += RETRY_INTERVAL_S
    return False


def _request(world: Simulation, *, dated: bool) -> messages.RequestStart:
    created_us = int(world.now_s * _US_IN_S)
    key = f'{created_us} {world.generator.random()}'
    if dated:
        created_ms = created_us // _US_IN_MS
        random_bits = world.generator.getrandbits(_UUID_RANDOM_BITS)
        key = str(
            uuid.UUID(
                int=created_ms << _UUID_TIME_SHIFT
                | _UUID_VERSION_BITS
                | random_bits
            )
        )
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


def _inject_faults(world: Simulation) -> None:
    """Inject faults between two attempts.

    Agents restart, become unavailable or return, entries miss these changes,
    and duplicate requests are delivered.
    """
    if world.fault(RARE_FAULT_PROBABILITY):
        _start_agent(world, world.generator.choice(AGENT_NAMES))
    if world.fault(RARE_FAULT_PROBABILITY):
        gone = world.generator.choice(AGENT_NAMES)
        world.available = [name for name in AGENT_NAMES if name != gone]
    if world.fault(RARE_FAULT_PROBABILITY):
        world.available = list(AGENT_NAMES)
    for table in world.tables:
        if not world.fault():
            for endpoint in table.rows.values():
                endpoint.leaving = endpoint.vm.name not in world.available
    if world.generator.random() < SYNCHRONISE_PROBABILITY:
        _synchronise_all(world)
    while world.duplicates and world.fault(0.5):
        name, start = world.duplicates.pop()
        _serve(world, name, start)


def _forward(
    world: Simulation, start: messages.RequestStart
) -> verdicts.Verdict:
    """Forward a request as an entry does.

    The entry sends it to the owner that it knows and follows one redirection.
    """
    table = world.generator.choice(world.tables)
    if not world.protocol_enabled:
        agent_names = list(table.rows)
        return _attempt(world, world.generator.choice(agent_names), start)[0]
    owner_endpoint = endpoints.choose_owner(table, start, None, set())
    if owner_endpoint is None:
        return verdicts.Verdict.may_have_run
    name = owner_endpoint.vm.name
    verdict, owner = _attempt(world, name, start)
    if owner not in {'', name}:
        verdict, owner = _attempt(world, owner, start)
    return verdicts.Verdict.may_have_run if owner else verdict


def _attempt(
    world: Simulation,
    name: str,
    start: messages.RequestStart,
) -> tuple[verdicts.Verdict, str]:
    """Send a request to an agent over a link that may lose or repeat it.

    :returns: The verdict, and the owner's name if it is another agent.
    """
    unknown_outcome = (verdicts.Verdict.may_have_run, '')
    if world.fault():
        return unknown_outcome
    if world.fault():
        world.duplicates.append((name, start))
    if world.fault():
        return unknown_outcome
    answer = _serve(world, name, start)
    return unknown_outcome if world.fault() else answer


def _serve(
    world: Simulation,
    name: str,
    start: messages.RequestStart,
) -> tuple[verdicts.Verdict, str]:
    """Handle a request as an agent does.

    :returns: The verdict, and the owner's name if it is another agent.
    """
    if not world.protocol_enabled:
        _count_run(world, start)
        return verdicts.Verdict.ran, ''
    agent = world.agents[name]
    request = keys.keyed_request(start)
    moment = world.moment()
    lookup = idempotency.find(agent.table, request, agent.claims, moment)
    if lookup is idempotency.KeyStatus.first:
        return _run(world, agent, start), ''
    if lookup is idempotency.KeyStatus.answered:
        return verdicts.Verdict.ran, ''
    if lookup is idempotency.KeyStatus.not_owner:
        slot = keys.slot_of(request.digest)
        owner = ownership.owner_of(agent.claims, slot)
        return verdicts.Verdict.not_run, owner or name
    return verdicts.Verdict.may_have_run, ''


def _run(
    world: Simulation,
    agent: Agent,
    start: messages.RequestStart,
) -> verdicts.Verdict:
    """Run the first request with its key.

    The agent may fail before the run, and may restart before or after it.
    """
    request = keys.keyed_request(start)
    idempotency.begin(agent.table, request, world.now_s)
    if world.fault(RARE_FAULT_PROBABILITY):
        _start_agent(world, agent.claims.name)
        return verdicts.Verdict.may_have_run
    if world.fault():
        idempotency.forget(agent.table, request)
        return verdicts.Verdict.not_run
    _count_run(world, start)
    if world.fault(RARE_FAULT_PROBABILITY):
        _start_agent(world, agent.claims.name)
        return verdicts.Verdict.may_have_run
    answer = idempotency.StoredAnswer(200, [], b'')
    idempotency.end(agent.table, request, answer)
    return verdicts.Verdict.ran


def _count_run(world: Simulation, start: messages.RequestStart) -> None:
    key = start.idempotency_key
    world.runs[key] = world.runs.get(key, 0) + 1
