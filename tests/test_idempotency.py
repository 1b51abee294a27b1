"""Key slots and the key table prevent a second run of an idempotency key.

The state machine at the end checks this against a plain record of all runs.
"""

import uuid

import attrs
from hypothesis import settings, stateful
from hypothesis import strategies as st

from camphorstair_core import idempotency, keys, ownership

SERVICE = 'comptoir'
NAMES = ('north', 'south')
SLOT = 0
FIRST_EPOCH = 'first start'


@attrs.define
class Platform:
    """The platform's copy of the slot map.

    :ivar slot_map: The map; None until an agent has written one.
    """

    slot_map: ownership.SlotMap | None = None


@attrs.define
class Node:
    """An agent's state.

    :ivar claims: What the agent knows of the slots and their owners.
    :ivar table: The keys that it has run, with their answers.
    """

    claims: ownership.Claims
    table: idempotency.KeyTable = attrs.field(factory=idempotency.KeyTable)


def new_node(name: str, epoch: str, address: str = 'a') -> Node:
    """Return an agent that has just started, with an empty key table."""
    return Node(ownership.Claims(SERVICE, name, address, epoch))


def equal_clock_reading(now_s: float) -> ownership.ClockReading:
    """Return a reading at which system and monotonic clock are equal."""
    return ownership.ClockReading(now_s, now_s)


def synchronise(
    node: Node,
    platform: Platform,
    members: ownership.Members,
    now_s: float,
    *,
    lost: bool = False,
) -> None:
    """Read, plan and write the slot map, as the agent does.

    :param node: The agent.
    :param platform: The platform's copy, which is overwritten.
    :param members: The endpoints as the agent sees them.
    :param now_s: The time in seconds.
    :param lost: Whether the answer to the write is lost, so that the agent
        does not learn that it took effect.
    """
    now = equal_clock_reading(now_s)
    current = platform.slot_map
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
    platform.slot_map = planned
    if not lost:
        ownership.apply_map(node.claims, planned, now_s, now)


def members_of(*names: str) -> ownership.Members:
    """Return members of these names, all of them listed and available."""
    return ownership.Members(frozenset(names), sorted(names))


def dated_key_at(timestamp_s: float, number: int) -> str:
    """Return a UUIDv7 of a given time.

    :param timestamp_s: The key's timestamp in seconds.
    :param number: Distinguishes keys of the same timestamp.
    :returns: The key.
    """
    timestamp_ms = int(timestamp_s * 1000)
    return str(
        uuid.UUID(int=(timestamp_ms << 80) | (7 << 76) | (2 << 62) | number)
    )


def request_of(key: str) -> keys.KeyedRequest:
    """Return a keyed request with a key and a fixed body."""
    digest = keys.digest('gravier', SERVICE, key)
    return keys.KeyedRequest(digest, 'body', keys.date_of(key))


def attempt(node: Node, key: str, now_s: float) -> idempotency.KeyStatus:
    """Look a key up and record a run if its status is ``first``.

    :param node: The agent that gets the request.
    :param key: The idempotency key.
    :param now_s: The time in seconds.
    :returns: The result of the lookup.
    """
    request = request_of(key)
    finding = idempotency.find(
        node.table, request, node.claims, equal_clock_reading(now_s)
    )
    if finding is idempotency.KeyStatus.first:
        idempotency.begin(node.table, request, now_s)
        answer = idempotency.StoredAnswer(200, [], key.encode())
        idempotency.end(node.table, request, answer)
    return finding


def test_first_node_of_new_service_accepts_keys_immediately() -> None:
    platform = Platform()
    node = new_node('north', FIRST_EPOCH)
    synchronise(node, platform, members_of('north'), 100)
    assert attempt(node, 'any', 100) is idempotency.KeyStatus.first
    assert attempt(node, 'any', 101) is idempotency.KeyStatus.answered


def test_after_restart_only_keys_dated_later_are_accepted() -> None:
    platform = Platform()
    only_north = members_of('north')
    before = new_node('north', FIRST_EPOCH)
    synchronise(before, platform, only_north, 100)
    attempt(before, 'any', 100)
    after = new_node('north', 'second start')
    synchronise(after, platform, only_north, 200)
    unknown = idempotency.KeyStatus.unknown
    assert attempt(after, 'any', 200) is unknown
    assert attempt(after, dated_key_at(190, 1), 200) is unknown
    timestamp_s = 200 + 3 * keys.CLOCK_SKEW_S
    finding = attempt(after, dated_key_at(timestamp_s, 2), timestamp_s)
    assert finding is idempotency.KeyStatus.first


def test_expired_key_is_not_rerun() -> None:
    platform = Platform()
    node = new_node('north', FIRST_EPOCH)
    only_north = members_of('north')
    synchronise(node, platform, only_north, 100)
    key = dated_key_at(100, 1)
    assert attempt(node, key, 100) is idempotency.KeyStatus.first
    later_s = 100 + 2 * keys.LIFETIME_S
    synchronise(node, platform, only_north, later_s)
    assert attempt(node, key, later_s) is idempotency.KeyStatus.unknown
    assert not node.table.rows


def test_expired_key_stays_unknown_when_clock_is_set_back() -> None:
    platform = Platform()
    node = new_node('north', FIRST_EPOCH)
    only_north = members_of('north')
    synchronise(node, platform, only_north, 100)
    key = dated_key_at(100, 1)
    attempt(node, key, 100)
    later_s = 100 + 2 * keys.LIFETIME_S
    synchronise(node, platform, only_north, later_s)
    attempt(node, dated_key_at(later_s, 2), later_s)
    set_back = ownership.ClockReading(200, later_s)
    request = request_of(key)
    finding = idempotency.find(node.table, request, node.claims, set_back)
    assert finding is idempotency.KeyStatus.unknown


def test_full_key_table_rejects_new_keys_and_keeps_old_ones() -> None:
    platform = Platform()
    node = new_node('north', FIRST_EPOCH)
    synchronise(node, platform, members_of('north'), 100)
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
    has_answer = [row.answer is not None for row in table.rows.values()]
    assert has_answer == [False, True]


def test_new_owner_accepts_keys_only_after_old_lease_expires() -> None:
    platform = Platform()
    paused = new_node('north', FIRST_EPOCH)
    new_owner = new_node('south', 'other start')
    synchronise(paused, platform, members_of('north'), 100)
    synchronise(new_owner, platform, members_of('south'), 110)
    key = dated_key_at(500, 1)
    assert attempt(new_owner, key, 500) is idempotency.KeyStatus.not_owner
    assert attempt(paused, key, 500) is idempotency.KeyStatus.first
    expired_s = 110 + ownership.LEASE_S
    synchronise(new_owner, platform, members_of('south'), expired_s)
    assert attempt(new_owner, key, expired_s) is idempotency.KeyStatus.unknown
    later_s = expired_s + 3 * keys.CLOCK_SKEW_S
    later_key = dated_key_at(later_s, 2)
    assert (
        attempt(paused, later_key, later_s) is idempotency.KeyStatus.not_owner
    )
    assert attempt(new_owner, later_key, later_s) is idempotency.KeyStatus.first


@attrs.define
class Runs:
    """A plain record of all runs.

    :ivar keys: Every key made, in order.
    :ivar last_s: When each key last ran, in seconds.
    :ivar forbidden_repeats: Keys that ran again although they must not.
    """

    keys: list[str] = attrs.field(factory=list)
    last_s: dict[str, float] = attrs.field(factory=dict)
    forbidden_repeats: list[str] = attrs.field(factory=list)

    def note(self, key: str, now_s: float) -> None:
        """Record a run, and whether it is a forbidden repetition.

        A dated key must never run again; an undated one may after
        keys.LIFETIME_S seconds.
        """
        last_s = self.last_s.get(key)
        if last_s is not None:
            is_dated = keys.date_of(key) is not None
            if is_dated or now_s < last_s + keys.LIFETIME_S:
                self.forbidden_repeats.append(key)
        self.last_s[key] = now_s


class KeyMachine(stateful.RuleBasedStateMachine):
    """Checks that no idempotency key runs twice.

    Agents restart, move, pause and lose the answers to their writes.
    """

    def __init__(self) -> None:
        """Create one agent of each name, and the first slot map."""
        super().__init__()
        self.now_s = 100.0
        self.platform = Platform()
        self.nodes = {name: self.start_node(name) for name in NAMES}
        self.replaced: list[Node] = []
        self.runs = Runs()
        self.available = list(NAMES)
        self.settle()

    def start_node(self, name: str, address: str = 'a') -> Node:
        """Return a new agent with a unique epoch."""
        return new_node(name, str(uuid.uuid4()), address)

    def make_key(self, is_dated: bool) -> None:
        """Add an unused key of the one slot under test to the record."""
        for number in range(10000):
            name = f'{len(self.runs.keys)} {number}'
            if is_dated:
                name = dated_key_at(self.now_s, number)
            is_used = name in self.runs.keys
            if keys.slot_of(request_of(name).digest) == SLOT and not is_used:
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
        """Synchronise one agent whose view of the members may differ.

        :param name: The agent's name.
        :param available: Names that take new work.
        :param gone: Names that are not listed, unless they are available.
        :param lost: Whether the answer to the write is lost.
        """
        listed = frozenset((*available, *(set(NAMES) - gone)))
        members = ownership.Members(listed, sorted(available))
        node = self.nodes[name]
        synchronise(node, self.platform, members, self.now_s, lost=lost)

    @stateful.rule(name=st.sampled_from(NAMES))
    def move(self, name: str) -> None:
        """Make one agent the only one available for new work."""
        self.available = [name]
        self.settle()

    def settle(self) -> None:
        """Synchronise all agents that are not paused."""
        members = ownership.Members(frozenset(NAMES), self.available)
        for _ in NAMES:
            for node in self.nodes.values():
                synchronise(node, self.platform, members, self.now_s)

    @stateful.rule(
        wait_s=st.sampled_from((1.0, 20.0, ownership.LEASE_S)),
        platform_down=st.booleans(),
    )
    def wait(self, wait_s: float, platform_down: bool) -> None:
        """Advance the clock; synchronise unless the platform is down."""
        self.now_s += wait_s
        if not platform_down:
            self.settle()

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Restart an agent, which loses its key table."""
        address = self.nodes[name].claims.address
        self.nodes[name] = self.start_node(name, address)
        self.settle()

    @stateful.rule(name=st.sampled_from(NAMES))
    def replace(self, name: str) -> None:
        """Start a second VM of a name while the first is only paused."""
        self.replaced.append(self.nodes[name])
        self.nodes[name] = self.start_node(name, f'a{len(self.replaced)}')
        self.settle()

    @stateful.rule(
        is_dated=st.booleans(),
        recent=st.integers(0, 3),
        rotation=st.integers(0, 3),
    )
    def request(self, is_dated: bool, recent: int, rotation: int) -> None:
        """Send a key to every agent, also to paused ones that resume.

        Of the paused agents, only the last two are asked.

        :param is_dated: Whether a new key has a timestamp.
        :param recent: Position of the key, counted from the newest one; a
            new key is made if it is 0 or there are not as many.
        :param rotation: By how many places the order of agents is rotated.
        """
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
        """Check that no key ran again although it must not."""
        assert not self.runs.forbidden_repeats


TestKeys = KeyMachine.TestCase
TestKeys.settings = settings(
    max_examples=200,
    stateful_step_count=40,
)
