"""Tests of the expert map planner with random loads and a naive planner."""

import collections

import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from camphorstair_core.experts import layouts, maps, planner
from measures import full_replan

EXPERTS = 8
SLOTS = 3
TOPOLOGY = maps.Topology(
    ('vm-0', 'vm-0', 'vm-1', 'vm-1'),
    ('larisa', 'larisa', 'larisa', 'volos'),
    SLOTS,
)
EXPERT_BYTES = 10
LOADS = st.lists(st.integers(0, 1000), min_size=EXPERTS, max_size=EXPERTS)


class Planning(stateful.RuleBasedStateMachine):
    """Plan maps for random loads within a budget of copied bytes."""

    def __init__(self) -> None:
        """Start with a contiguous block of experts at each rank."""
        super().__init__()
        self.current = maps.contiguous(EXPERTS, TOPOLOGY)

    @stateful.rule(counts=LOADS, budget=st.integers(0, 8))
    def plan(self, counts: list[int], budget: int) -> None:
        """Plan a map; its skew is no higher and its copies are in budget."""
        loads = [float(count) for count in counts]
        limits = planner.Limits(budget * EXPERT_BYTES, EXPERT_BYTES)
        policy = planner.Policy()
        planned = planner.plan(self.current, loads, TOPOLOGY, limits, policy)
        replanned = planner.plan(self.current, loads, TOPOLOGY, limits, policy)
        assert planned == replanned
        added = maps.added(self.current, planned.expert_map)
        assert len(added) <= budget
        assert planned.moved_bytes == len(added) * EXPERT_BYTES
        before = maps.skew(self.current, loads)
        after = maps.skew(planned.expert_map, loads)
        assert after <= before + 1e-9
        assert after == pytest.approx(planned.skew_after)
        self.current = planned.expert_map

    @stateful.rule(counts=LOADS)
    def spread_is_no_worse_than_even_shares(self, counts: list[int]) -> None:
        """Compare levelled shares with equal shares on the naive map."""
        loads = [float(count) for count in counts]
        naive_map = full_replan.plan(loads, TOPOLOGY)
        layout = layouts.build(naive_map, loads, SLOTS)
        layouts.level(layout)
        levelled = maps.skew(layouts.to_map(layout), loads)
        assert levelled <= maps.skew(naive_map, loads) + 0.01

    @stateful.invariant()
    def map_is_whole(self) -> None:
        """Check that an expert's shares add up to 1 and no rank is too full."""
        shares: dict[int, float] = collections.defaultdict(float)
        rank_rows = zip(self.current.slots, self.current.shares, strict=True)
        for experts, rank_shares in rank_rows:
            assert len(experts) <= SLOTS
            assert len(set(experts)) == len(experts)
            for expert, share in zip(experts, rank_shares, strict=True):
                assert share >= 0
                shares[expert] += share
        assert shares == pytest.approx(dict.fromkeys(range(EXPERTS), 1.0))


TestPlanning = Planning.TestCase


def zipf(exponent: float, experts: int) -> list[float]:
    """Return the loads of experts by Zipf's law, the highest first."""
    return [(rank + 1) ** -exponent for rank in range(experts)]


@pytest.mark.parametrize('exponent', [0.6, 1.0, 1.2])
def test_known_load_is_balanced_as_well_as_by_full_replan(
    exponent: float,
) -> None:
    topology = maps.Topology(('vm',) * 16, ('larisa',) * 16, 5)
    loads = zipf(exponent, 64)
    limits = planner.Limits(64, 1)
    current = maps.contiguous(64, topology)
    naive_skew = maps.skew(full_replan.plan(loads, topology), loads)
    planned = planner.plan(current, loads, topology, limits, planner.Policy())
    for _ in range(4):
        planned = planner.plan(
            planned.expert_map, loads, topology, limits, planner.Policy()
        )
    assert planned.skew_after <= max(naive_skew, 1.03)


def test_load_noise_leaves_expert_map_unchanged() -> None:
    current = maps.contiguous(EXPERTS, TOPOLOGY)
    loads = [100 + (-1) ** expert for expert in range(EXPERTS)]
    limits = planner.Limits(80, EXPERT_BYTES)
    planned = planner.plan(
        current,
        [float(load) for load in loads],
        TOPOLOGY,
        limits,
        planner.Policy(),
    )
    assert planned.expert_map == current
    assert planned.outcome is planner.Outcome.kept


def test_map_that_does_not_fit_is_refused() -> None:
    with pytest.raises(maps.MapError):
        maps.contiguous(13, TOPOLOGY)
