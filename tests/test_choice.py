"""The choice of endpoints agrees with a reference model.

The model examines all endpoints, while the code compares two random
candidates.
"""

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
    """Return a live VM; an agent has the service under test."""
    return vms.Vm(
        name=name,
        role=role,
        state=vms.VmState.live,
        region='r',
        data_centre=data_centre,
        peers_address='',
        service=SERVICE if role is vms.VmRole.agent else '',
    )


def _fleet(near_count: int, far_count: int, entry_count: int) -> list[vms.Vm]:
    """Return the VMs of near agents, far agents and near entries."""
    agent = vms.VmRole.agent
    listed = [
        _vm(f'near-{number}', NEAR, agent) for number in range(near_count)
    ]
    listed.extend(
        _vm(f'far-{number}', 'far', agent) for number in range(far_count)
    )
    entry = vms.VmRole.entry
    listed.extend(
        _vm(f'entry-{number}', NEAR, entry) for number in range(entry_count)
    )
    return listed


def _subsets(listed: list[vms.Vm], entry: str) -> subsets.SubsetTable:
    """Return the endpoint subsets of an entry.

    :param listed: All VMs of the region.
    :param entry: The name of the entry's VM.
    :returns: The subset of each service.
    """
    table = endpoints.EndpointTable()
    endpoints.update_vms(table, listed)
    entry_subsets = subsets.SubsetTable(entry, NEAR)
    subsets.update(entry_subsets, table, listed)
    return entry_subsets


def _load(in_flight: int) -> messages.LoadReport:
    """Return the report of a warm endpoint with a limit of 8 requests."""
    return messages.LoadReport(in_flight, 8, 0, cold=False)


@attrs.define
class _ReferenceModel:
    """The expected ejections and the expected spill-over to far endpoints.

    :ivar ejected_until_s: When each ejection ends, by the VM's name.
    :ivar failures: Number of failed attempts, by the VM's name.
    :ivar spilling: Whether far endpoints are chosen beside near ones.
    """

    ejected_until_s: dict[str, float] = attrs.field(factory=dict)
    failures: dict[str, int] = attrs.field(factory=dict)
    spilling: bool = False


class ChoiceMachine(stateful.RuleBasedStateMachine):
    """Compares the chosen endpoints with those that the model allows.

    Endpoints are addressed by index: 0 to 3 are near, 4 and 5 far.
    """

    def __init__(self) -> None:
        """Create four near endpoints and two far ones."""
        super().__init__()
        self.now_s: float = 0
        self.generator = random.Random(1)
        self.table = _subsets(_fleet(4, 2, 1), 'entry-0')
        self.hints = affinity.CacheHints()
        self.model = _ReferenceModel()

    @property
    def subset(self) -> subsets.Subset:
        """The entry's subset of the service's endpoints."""
        return self.table.rows[SERVICE]

    @stateful.rule(passed_s=st.sampled_from([0.1, 1, 4, 20]))
    def pass_time(self, passed_s: float) -> None:
        """Advance the clock."""
        self.now_s += passed_s

    @stateful.rule(place=st.integers(0, 5), in_flight=st.integers(0, 8))
    def report_load(self, place: int, in_flight: int) -> None:
        """Apply the load report of an agent."""
        endpoint = self.subset.rows()[place]
        endpoints.record_load(endpoint, _load(in_flight), self.now_s)

    @stateful.rule(loads=st.lists(st.integers(4, 8), min_size=1, max_size=4))
    def report_near_loads(self, loads: list[int]) -> None:
        """Apply equal loads to all near agents and choose after each load."""
        for in_flight in loads:
            for place in range(4):
                self.report_load(place, in_flight)
            self.choose(set(), 0)

    @stateful.rule(places=st.sets(st.integers(0, 5), min_size=3))
    def fail_many(self, places: set[int]) -> None:
        """Record one failed attempt at each of several endpoints."""
        for place in sorted(places):
            self.fail(place)

    @stateful.rule(place=st.integers(0, 5), leaving=st.booleans())
    def leave(self, place: int, leaving: bool) -> None:
        """Mark an agent as leaving, or as no longer leaving."""
        self.subset.rows()[place].leaving = leaving

    @stateful.rule(place=st.integers(0, 5))
    def fail(self, place: int) -> None:
        """Record a failed attempt in the code and in the model."""
        endpoint = self.subset.rows()[place]
        name = endpoint.vm.name
        ejection.record_failure(endpoint, self.subset.rows(), self.now_s)
        failures = self.model.failures.get(name, 0) + 1
        self.model.failures[name] = failures
        other_ejections = sum(
            until_s > self.now_s
            for other_name, until_s in self.model.ejected_until_s.items()
            if other_name != name
        )
        if other_ejections < 3:
            wait_s = 5.0
            for _ in range(1, failures):
                wait_s = min(wait_s * 2, 60.0)
            self.model.ejected_until_s[name] = self.now_s + wait_s

    @stateful.rule(
        tried=st.sets(st.integers(0, 5)),
        prefix=st.sampled_from([0, 1, 2]),
    )
    def choose(self, tried: set[int], prefix: int) -> None:
        """Choose an endpoint and check that the model allows it."""
        subset_endpoints = self.subset.rows()
        tried_names = {subset_endpoints[place].vm.name for place in tried}
        requirements = choice.EndpointCriteria(SERVICE, tried_names, prefix)
        chosen = choice.choose(
            self.table, self.hints, requirements, self.now_s, self.generator
        )
        allowed = self._allowed_names(tried_names)
        assert self.subset.spilling is self.model.spilling
        if chosen is None:
            assert not allowed
            return
        assert chosen.vm.name in allowed
        if prefix:
            chosen_again = choice.choose(
                self.table, self.hints, requirements, self.now_s, self.generator
            )
            pressures = [
                endpoint.pressure(self.now_s) for endpoint in subset_endpoints
            ]
            if max(pressures) < affinity.SLACK:
                assert chosen_again is chosen

    def _allowed_names(self, tried: set[str]) -> set[str]:
        """Return the names of the endpoints that may be chosen.

        If every remaining endpoint is ejected, these are the ones whose
        ejection ends first.
        """
        gone = {
            endpoint.vm.name
            for endpoint in self.subset.rows()
            if endpoint.leaving or endpoint.vm.name in tried
        }
        until_s = self.model.ejected_until_s
        not_ejected = {
            name
            for name in self._endpoint_names()
            if until_s.get(name, 0) <= self.now_s
        }
        self._update_spilling(not_ejected)
        allowed_near = {
            name for name in not_ejected - gone if name.startswith(NEAR)
        }
        if allowed_near and not self.model.spilling:
            return allowed_near
        if not_ejected - gone:
            return not_ejected - gone
        left = self._endpoint_names() - gone
        earliest_s = min((until_s[name] for name in left), default=0)
        return {name for name in left if until_s[name] == earliest_s}

    def _update_spilling(self, not_ejected: set[str]) -> None:
        """Update the model's spill-over by the near endpoints' mean pressure.

        It starts above SPILL_ABOVE and ends at or below SPILL_UNTIL.
        """
        pressures = [
            endpoint.pressure(self.now_s)
            for endpoint in self.subset.near
            if endpoint.vm.name in not_ejected
            and not endpoint.leaving
            and endpoint.load.limit
        ]
        near_names = [
            name
            for name in not_ejected - self._leaving_names()
            if name.startswith(NEAR)
        ]
        # Near endpoints that are neither ejected nor leaving count. Without a
        # load limit at any of them, the pressure is 0. Without any of them it
        # is 9, far above SPILL_ABOVE, so that the model spills.
        unknown = 0 if near_names else 9
        mean_pressure = statistics.fmean(pressures) if pressures else unknown
        if mean_pressure > choice.SPILL_ABOVE:
            self.model.spilling = True
        elif mean_pressure <= choice.SPILL_UNTIL:
            self.model.spilling = False

    def _leaving_names(self) -> set[str]:
        return {
            endpoint.vm.name
            for endpoint in self.subset.rows()
            if endpoint.leaving
        }

    def _endpoint_names(self) -> set[str]:
        return {endpoint.vm.name for endpoint in self.subset.rows()}


ChoiceMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
)
TestChoice = ChoiceMachine.TestCase


def test_every_endpoint_is_in_equally_many_subsets() -> None:
    listed = _fleet(75, 0, 46)
    subset_counts = {f'near-{number}': 0 for number in range(75)}
    sizes = []
    for number in range(46):
        subset = _subsets(listed, f'entry-{number}').rows[SERVICE]
        sizes.append(len(subset.near))
        for endpoint in subset.near:
            subset_counts[endpoint.vm.name] += 1
    assert set(subset_counts.values()) == {10}
    assert max(sizes) < 2 * subsets.NEAR_ENDPOINTS


def test_a_lost_entry_changes_few_subsets() -> None:
    before = _subsets(_fleet(75, 0, 46), 'entry-0').rows[SERVICE]
    after = _subsets(_fleet(75, 0, 45), 'entry-0').rows[SERVICE]
    names_before = {endpoint.vm.name for endpoint in before.near}
    names_after = {endpoint.vm.name for endpoint in after.near}
    assert len(names_before ^ names_after) <= 5


def test_a_slow_endpoint_is_ejected() -> None:
    subset = _subsets(_fleet(4, 0, 1), 'entry-0').rows[SERVICE]
    slow = subset.near[0]
    for _ in range(ejection.MIN_SAMPLES + 1):
        for endpoint in subset.near:
            duration_s = 2.0 if endpoint is slow else 0.1
            ejection.record_result(endpoint, subset, duration_s, 1.0)
    ejected = [
        candidate for candidate in subset.near if not candidate.available(2.0)
    ]
    assert ejected == [slow]


def test_choice_tolerates_stale_cache_hints() -> None:
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
