"""Key slots and the key table, against a naive record of all runs."""

import uuid

import attrs
from hypothesis import settings, stateful
from hypothesis import strategies as st

from camphorstair_core import idempotency, keys, ownership

SERVICE = 'comptoir'
NAMES = ('north', 'south')
SLOT = 0
OLD_EPOCH = 'first start'


@attrs.define
class Platform:
    """The platform's copy of the map."""

    slot_map: ownership.SlotMap | None = None


@attrs.define
class Node:
    """One agent: its claims, its memory and its clock."""

    claims: ownership.Claims
    table: idempotency.KeyTable = attrs.field(factory=idempotency.KeyTable)


def new_node(name: str, epoch: str, address: str = 'a') -> Node:
    """Return an agent that has just started."""
    return Node(ownership.Claims(SERVICE, name, address, epoch))


def moment(now_s: float) -> ownership.ClockReading:
    """Return a moment on clocks that agree."""
    return ownership.ClockReading(now_s, now_s)


def synchronise(
    node: Node,
    stored: Platform,
    members: ownership.Members,
    now_s: float,
    *,
    lost: bool = False,
) -> None:
    """Read the map, plan and write, as the agent does."""
    now = moment(now_s)
    current = stored.slot_map
    if current is None:
        current = ownership.first_map(SERVICE, members)
    else:
        ownership.apply_map(node.claims, current, now_s, now)
    planned = ownership.plan(
        node.claims,
        current,
        members,
        now,
        lambda slot: idempotency.keys_of_slot(node.table, node.claims, slot),
    )
    stored.slot_map = planned
    if not lost:
        ownership.apply_map(node.claims, planned, now_s, now)


def members_of(*names: str) -> ownership.Members:
    """Return endpoints that are all listed and available."""
    return ownership.Members(frozenset(names), sorted(names))


def dated(made_s: float, number: int) -> str:
    """Return a UUID of version 7 made at a time."""
    made_ms = int(made_s * 1000)
    return str(uuid.UUID(int=(made_ms << 80) | (7 << 76) | (2 << 62) | number))


def request_of(key: str) -> keys.KeyedRequest:
    """Return the request that a key stands for."""
    digest = keys.digest('gravier', SERVICE, key)
    return keys.KeyedRequest(digest, 'body', keys.date_of(key))


def attempt(node: Node, key: str, now_s: float) -> idempotency.KeyStatus:
    """Look a key up and record its run if it is the first."""
    request = request_of(key)
    found = idempotency.find(node.table, request, node.claims, moment(now_s))
    if found is idempotency.KeyStatus.first:
        idempotency.begin(node.table, request, now_s)
        answer = idempotency.StoredAnswer(200, [], key.encode())
        idempotency.end(node.table, request, answer)
    return found


def test_a_new_service_serves_keys_at_once() -> None:
    stored = Platform()
    node = new_node('north', OLD_EPOCH)
    synchronise(node, stored, members_of('north'), 100)
    assert attempt(node, 'any', 100) is idempotency.KeyStatus.first
    assert attempt(node, 'any', 101) is idempotency.KeyStatus.answered


def test_without_memory_only_a_key_made_later_is_first() -> None:
    stored = Platform()
    alone = members_of('north')
    before = new_node('north', OLD_EPOCH)
    synchronise(before, stored, alone, 100)
    attempt(before, 'any', 100)
    after = new_node('north', 'second start')
    synchronise(after, stored, alone, 200)
    unknown = idempotency.KeyStatus.unknown
    assert attempt(after, 'any', 200) is unknown
    assert attempt(after, dated(190, 1), 200) is unknown
    made_s = 200 + 3 * keys.CLOCK_SKEW_S
    found = attempt(after, dated(made_s, 2), made_s)
    assert found is idempotency.KeyStatus.first


def test_a_key_out_of_memory_is_not_run_again() -> None:
    stored = Platform()
    node = new_node('north', OLD_EPOCH)
    alone = members_of('north')
    synchronise(node, stored, alone, 100)
    key = dated(100, 1)
    assert attempt(node, key, 100) is idempotency.KeyStatus.first
    later_s = 100 + 2 * keys.LIFETIME_S
    synchronise(node, stored, alone, later_s)
    assert attempt(node, key, later_s) is idempotency.KeyStatus.unknown
    assert not node.table.rows


def test_a_clock_set_back_brings_no_key_back() -> None:
    stored = Platform()
    node = new_node('north', OLD_EPOCH)
    alone = members_of('north')
    synchronise(node, stored, alone, 100)
    key = dated(100, 1)
    attempt(node, key, 100)
    later_s = 100 + 2 * keys.LIFETIME_S
    synchronise(node, stored, alone, later_s)
    attempt(node, dated(later_s, 2), later_s)
    set_back = ownership.ClockReading(200, later_s)
    request = request_of(key)
    found = idempotency.find(node.table, request, node.claims, set_back)
    assert found is idempotency.KeyStatus.unknown


def test_a_full_table_refuses_and_forgets_nothing() -> None:
    stored = Platform()
    node = new_node('north', OLD_EPOCH)
    synchronise(node, stored, members_of('north'), 100)
    for number in range(idempotency.CAPACITY):
        attempt(node, f'key {number}', 100)
    assert attempt(node, 'one more', 100) is idempotency.KeyStatus.full
    assert attempt(node, 'key 0', 100) is idempotency.KeyStatus.answered


def test_answers_are_dropped_before_keys() -> None:
    table = idempotency.KeyTable()
    body = bytes(idempotency.ANSWERS_LIMIT_BYTES // 2 + 1)
    for key in ('a', 'b'):
        request = request_of(key)
        idempotency.begin(table, request, 0)
        answer = idempotency.StoredAnswer(200, [], body)
        idempotency.end(table, request, answer)
    kept = [row.answer is not None for row in table.rows.values()]
    assert kept == [False, True]


def test_an_owner_elsewhere_is_waited_out() -> None:
    stored = Platform()
    paused = new_node('north', OLD_EPOCH)
    other = new_node('south', 'other start')
    synchronise(paused, stored, members_of('north'), 100)
    synchronise(other, stored, members_of('south'), 110)
    key = dated(500, 1)
    assert attempt(other, key, 500) is idempotency.KeyStatus.not_owner
    assert attempt(paused, key, 500) is idempotency.KeyStatus.first
    after_s = 110 + ownership.LEASE_S
    synchronise(other, stored, members_of('south'), after_s)
    assert attempt(other, key, after_s) is idempotency.KeyStatus.unknown
    later_s = after_s + 3 * keys.CLOCK_SKEW_S
    later = dated(later_s, 2)
    assert attempt(paused, later, later_s) is idempotency.KeyStatus.not_owner
    assert attempt(other, later, later_s) is idempotency.KeyStatus.first


@attrs.define
class Runs:
    """The naive record: every key and when it last ran."""

    keys: list[str] = attrs.field(factory=list)
    last_s: dict[str, float] = attrs.field(factory=dict)
    double: list[str] = attrs.field(factory=list)

    def note(self, key: str, now_s: float) -> None:
        """Keep a run; an undated key counts for its lifetime."""
        last_s = self.last_s.get(key)
        if last_s is not None:
            dated_key = keys.date_of(key) is not None
            if dated_key or now_s < last_s + keys.LIFETIME_S:
                self.double.append(key)
        self.last_s[key] = now_s


class KeyMachine(stateful.RuleBasedStateMachine):
    """Agents that restart, move, pause and lose answers; no key runs twice."""

    def __init__(self) -> None:
        """Begin with one agent of each name and no map."""
        super().__init__()
        self.now_s = 100.0
        self.stored = Platform()
        self.nodes = {name: self.started(name) for name in NAMES}
        self.replaced: list[Node] = []
        self.runs = Runs()
        self.available = list(NAMES)
        self.settle()

    def started(self, name: str, address: str = 'a') -> Node:
        """Return a new agent with an epoch of its own."""
        return new_node(name, str(uuid.uuid4()), address)

    def make_key(self, is_dated: bool) -> None:
        """Make a key of the one slot that is looked at."""
        for number in range(10000):
            name = f'{len(self.runs.keys)} {number}'
            if is_dated:
                name = dated(self.now_s, number)
            used = name in self.runs.keys
            if keys.slot_of(request_of(name).digest) == SLOT and not used:
                self.runs.keys.append(name)
                return

    @stateful.rule(
        name=st.sampled_from(NAMES),
        available=st.sets(st.sampled_from(NAMES), min_size=1),
        gone=st.sets(st.sampled_from(NAMES)),
        lost=st.booleans(),
    )
    def sync(
        self,
        name: str,
        available: set[str],
        gone: set[str],
        lost: bool,
    ) -> None:
        """Let one agent synchronise by a VM list of its own."""
        listed = frozenset((*available, *(set(NAMES) - gone)))
        members = ownership.Members(listed, sorted(available))
        node = self.nodes[name]
        synchronise(node, self.stored, members, self.now_s, lost=lost)

    @stateful.rule(name=st.sampled_from(NAMES))
    def move(self, name: str) -> None:
        """Let all agents agree on one that takes new work."""
        self.available = [name]
        self.settle()

    def settle(self) -> None:
        """Let all agents that are not paused synchronise."""
        members = ownership.Members(frozenset(NAMES), self.available)
        for _ in NAMES:
            for node in self.nodes.values():
                synchronise(node, self.stored, members, self.now_s)

    @stateful.rule(
        wait_s=st.sampled_from((1.0, 20.0, ownership.LEASE_S)),
        platform_down=st.booleans(),
    )
    def wait(self, wait_s: float, platform_down: bool) -> None:
        """Let time pass."""
        self.now_s += wait_s
        if not platform_down:
            self.settle()

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Kill an agent and start it again, with no memory."""
        address = self.nodes[name].claims.address
        self.nodes[name] = self.started(name, address)
        self.settle()

    @stateful.rule(name=st.sampled_from(NAMES))
    def replace(self, name: str) -> None:
        """Start another VM of the name while the first one is only paused."""
        self.replaced.append(self.nodes[name])
        self.nodes[name] = self.started(name, f'a{len(self.replaced)}')
        self.settle()

    @stateful.rule(
        is_dated=st.booleans(),
        recent=st.integers(0, 3),
        rotation=st.integers(0, 3),
    )
    def request(self, is_dated: bool, recent: int, rotation: int) -> None:
        """Try a key at every agent, also at a paused one that wakes."""
        if not 0 < recent <= len(self.runs.keys):
            self.make_key(is_dated)
            recent = 1
        key = self.runs.keys[-recent]
        nodes = (*self.nodes.values(), *self.replaced[-2:])
        for node in nodes[rotation:] + nodes[:rotation]:
            if attempt(node, key, self.now_s) is idempotency.KeyStatus.first:
                self.runs.note(key, self.now_s)

    @stateful.invariant()
    def nothing_ran_twice(self) -> None:
        """Compare with the naive record of all runs."""
        assert not self.runs.double


TestKeys = KeyMachine.TestCase
TestKeys.settings = settings(
    max_examples=200,
    stateful_step_count=40,
)
