"""Choice of endpoints, against a version that looks at all of them."""

import random
import statistics

import attrs
from hypothesis import settings, stateful
from hypothesis import strategies as st

from camphorstair_core import (
    affinity,
    choice,
    ejection,
    endpoints,
    messages,
    subsets,
    vms,
)

SERVICE = 'redacteur'
NEAR = 'near'


def _vm(name: str, data_centre: str, role: vms.VmRole) -> vms.Vm:
    return vms.Vm(
        name=name,
        role=role,
        state=vms.VmState.live,
        region='r',
        data_centre=data_centre,
        peers_address='',
        service=SERVICE if role is vms.VmRole.agent else '',
    )


def _fleet(near: int, far: int, entries: int) -> list[vms.Vm]:
    agent = vms.VmRole.agent
    listed = [_vm(f'near-{one}', NEAR, agent) for one in range(near)]
    listed.extend(_vm(f'far-{one}', 'far', agent) for one in range(far))
    entry = vms.VmRole.entry
    listed.extend(_vm(f'entry-{one}', NEAR, entry) for one in range(entries))
    return listed


def _subsets(listed: list[vms.Vm], entry: str) -> subsets.SubsetTable:
    table = endpoints.EndpointTable()
    endpoints.update_vms(table, listed)
    made = subsets.SubsetTable(entry, NEAR)
    subsets.update(made, table, listed)
    return made


def _load(in_flight: int) -> messages.LoadReport:
    return messages.LoadReport(in_flight, 8, 0, cold=False)


@attrs.define
class _Naive:
    ejected_until_s: dict[str, float] = attrs.field(factory=dict)
    failures: dict[str, int] = attrs.field(factory=dict)
    spilling: bool = False


class ChoiceMachine(stateful.RuleBasedStateMachine):
    """Runs the choice beside a naive version of its promises."""

    def __init__(self) -> None:
        """Begin with four near endpoints and two far ones."""
        super().__init__()
        self.now_s: float = 0
        self.generator = random.Random(1)
        self.table = _subsets(_fleet(4, 2, 1), 'entry-0')
        self.hints = affinity.CacheHints()
        self.naive = _Naive()

    @property
    def subset(self) -> subsets.Subset:
        """The endpoints of the service."""
        return self.table.rows[SERVICE]

    @stateful.rule(passed_s=st.sampled_from([0.1, 1, 4, 20]))
    def pass_time(self, passed_s: float) -> None:
        """Let time pass."""
        self.now_s += passed_s

    @stateful.rule(place=st.integers(0, 5), in_flight=st.integers(0, 8))
    def report_load(self, place: int, in_flight: int) -> None:
        """Let an agent report its load."""
        row = self.subset.rows()[place]
        endpoints.record_load(row, _load(in_flight), self.now_s)

    @stateful.rule(loads=st.lists(st.integers(4, 8), min_size=1, max_size=4))
    def report_near_loads(self, loads: list[int]) -> None:
        """Let all near agents report the same loads and choose after each."""
        for in_flight in loads:
            for place in range(4):
                self.report_load(place, in_flight)
            self.choose(set(), 0)

    @stateful.rule(places=st.sets(st.integers(0, 5), min_size=3))
    def fail_many(self, places: set[int]) -> None:
        """Let attempts at several endpoints fail."""
        for place in sorted(places):
            self.fail(place)

    @stateful.rule(place=st.integers(0, 5), leaving=st.booleans())
    def leave(self, place: int, leaving: bool) -> None:
        """Let an agent leave or come back."""
        self.subset.rows()[place].leaving = leaving

    @stateful.rule(place=st.integers(0, 5))
    def fail(self, place: int) -> None:
        """Let an attempt fail."""
        row = self.subset.rows()[place]
        name = row.vm.name
        ejection.record_failure(row, self.subset.rows(), self.now_s)
        failures = self.naive.failures.get(name, 0) + 1
        self.naive.failures[name] = failures
        others = sum(
            until_s > self.now_s
            for other, until_s in self.naive.ejected_until_s.items()
            if other != name
        )
        if others < 3:
            wait_s = 5.0
            for _ in range(1, failures):
                wait_s = min(wait_s * 2, 60.0)
            self.naive.ejected_until_s[name] = self.now_s + wait_s

    @stateful.rule(
        tried=st.sets(st.integers(0, 5)),
        prefix=st.sampled_from([0, 1, 2]),
    )
    def choose(self, tried: set[int], prefix: int) -> None:
        """Choose, and check the choice against the naive candidates."""
        rows = self.subset.rows()
        names = {rows[place].vm.name for place in tried}
        criteria = choice.EndpointCriteria(SERVICE, names, prefix)
        chosen = choice.choose(
            self.table, self.hints, criteria, self.now_s, self.generator
        )
        allowed = self._allowed(names)
        assert self.subset.spilling is self.naive.spilling
        if chosen is None:
            assert not allowed
            return
        assert chosen.vm.name in allowed
        if prefix:
            again = choice.choose(
                self.table, self.hints, criteria, self.now_s, self.generator
            )
            pressures = [row.pressure(self.now_s) for row in rows]
            if max(pressures) < affinity.SLACK:
                assert again is chosen

    def _allowed(self, tried: set[str]) -> set[str]:
        gone = {
            row.vm.name
            for row in self.subset.rows()
            if row.leaving or row.vm.name in tried
        }
        until_s = self.naive.ejected_until_s
        up = {
            name for name in self._names() if until_s.get(name, 0) <= self.now_s
        }
        self._spill(up)
        near = {name for name in up - gone if name.startswith(NEAR)}
        if near and not self.naive.spilling:
            return near
        if up - gone:
            return up - gone
        left = self._names() - gone
        first_s = min((until_s[name] for name in left), default=0)
        return {name for name in left if until_s[name] == first_s}

    def _spill(self, up: set[str]) -> None:
        pressures = [
            row.pressure(self.now_s)
            for row in self.subset.near
            if row.vm.name in up and not row.leaving and row.load.limit
        ]
        near = [name for name in up - self._leaving() if name.startswith(NEAR)]
        unknown = 0 if near else 9
        mean = statistics.fmean(pressures) if pressures else unknown
        if mean > choice.SPILL_ABOVE:
            self.naive.spilling = True
        elif mean <= choice.SPILL_UNTIL:
            self.naive.spilling = False

    def _leaving(self) -> set[str]:
        return {row.vm.name for row in self.subset.rows() if row.leaving}

    def _names(self) -> set[str]:
        return {row.vm.name for row in self.subset.rows()}


ChoiceMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
)
TestChoice = ChoiceMachine.TestCase


def test_every_endpoint_is_in_equally_many_subsets() -> None:
    listed = _fleet(75, 0, 46)
    served = {f'near-{one}': 0 for one in range(75)}
    sizes = []
    for one in range(46):
        made = _subsets(listed, f'entry-{one}').rows[SERVICE]
        sizes.append(len(made.near))
        for row in made.near:
            served[row.vm.name] += 1
    assert set(served.values()) == {10}
    assert max(sizes) < 2 * subsets.NEAR_ENDPOINTS


def test_a_lost_entry_changes_few_subsets() -> None:
    before = _subsets(_fleet(75, 0, 46), 'entry-0').rows[SERVICE]
    after = _subsets(_fleet(75, 0, 45), 'entry-0').rows[SERVICE]
    old = {row.vm.name for row in before.near}
    new = {row.vm.name for row in after.near}
    assert len(old ^ new) <= 5


def test_a_slow_endpoint_is_ejected() -> None:
    subset = _subsets(_fleet(4, 0, 1), 'entry-0').rows[SERVICE]
    slow = subset.near[0]
    for _ in range(ejection.MIN_SAMPLES + 1):
        for one in subset.near:
            taken_s = 2.0 if one is slow else 0.1
            ejection.record_result(one, subset, taken_s, 1.0)
    ejected = [row for row in subset.near if not row.available(2.0)]
    assert ejected == [slow]


def test_a_wrong_hint_is_only_a_hint() -> None:
    table = _subsets(_fleet(4, 0, 1), 'entry-0')
    hints = affinity.CacheHints()
    affinity.record_cached(hints, 7, 'near-2', 0)
    affinity.record_cached(hints, 8, 'gone', 0)
    generator = random.Random(1)
    chosen = [
        choice.choose(
            table,
            hints,
            choice.EndpointCriteria(SERVICE, set(), prefix),
            1.0,
            generator,
        )
        for prefix in (7, 8)
    ]
    assert all(chosen)
    affinity.record_evicted(hints, 7, 'near-3')
    assert hints.rows[7].endpoint == 'near-2'
    for key in range(affinity.MAX_HINTS + 5):
        affinity.record_cached(hints, key, 'near-1', 0)
    assert len(hints.rows) == affinity.MAX_HINTS


def test_the_first_message_is_the_prefix() -> None:
    first = (
        b'{"model":"a","messages":[{"role":"system","content":"s"}, {"a":1}]}'
    )
    second = b'{"messages":[{"role":"system","content":"s"}],"model":"b"}'
    key = affinity.prefix_key(first)
    assert key
    assert affinity.prefix_key(second) == key
    assert not affinity.prefix_key(b'nonsense')
