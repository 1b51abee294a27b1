"""Plans the expert map of one layer, without side effects.

The tokens of an expert are distributed over its replicas by shares, which are
part of the map. A change of shares transfers no weights, so it is tried first.
Replicas are moved only where shares alone can't balance the ranks. The skew of
a map is the ratio of the busiest rank's load to the mean load.
"""

import enum

import attrs

from camphorstair_core.experts import layouts, maps, moves


class Outcome(enum.StrEnum):
    """Whether a plan changes the map, and why."""

    kept = 'kept: a change would gain too little'
    shares = 'changed: shares only'
    moved = 'changed: replicas moved'


@attrs.define(frozen=True)
class Policy:
    """The thresholds for changing a map.

    :ivar share_gain: Minimum decrease of the skew for a change of shares.
    :ivar move_above: Skew, with the best shares, above which replicas move.
    :ivar move_gain: Minimum decrease of the unevenness for moved replicas,
        divided by the sum of their relative costs.
    """

    share_gain: float = 0.01
    move_above: float = 1.015
    move_gain: float = 0.003


@attrs.define(frozen=True)
class Limits:
    """The limit on the bytes that a plan transfers.

    :ivar budget_bytes: Bytes that may be transferred now.
    :ivar expert_bytes: Size of an expert's weights.
    """

    budget_bytes: int
    expert_bytes: int


@attrs.define(frozen=True)
class Plan:
    """The result of planning.

    :ivar expert_map: The map to use; the current one if nothing changes.
    :ivar outcome: Whether the map changes, and why.
    :ivar skew_before: Expected skew of the current map.
    :ivar skew_after: Expected skew of the planned map.
    :ivar moved_bytes: Bytes of weights that ranks have to load.
    """

    expert_map: maps.ExpertMap
    outcome: Outcome
    skew_before: float
    skew_after: float
    moved_bytes: int = 0


def plan(
    current: maps.ExpertMap,
    loads: list[float],
    topology: maps.Topology,
    limits: Limits,
    policy: Policy,
) -> Plan:
    """Return a plan for the map of one layer.

    :param current: The map in use.
    :param loads: Smoothed load of each expert.
    :param topology: The ranks.
    :param limits: The limit on transferred bytes.
    :param policy: The thresholds for a change.
    """
    layout = layouts.build(current, loads, topology.slots_per_rank)
    before = layout.peak()
    layouts.level(layout)
    if layout.peak() > policy.move_above:
        layout = _move_replicas(layout, topology, limits, policy)
    return _make_plan(current, layout, before, limits, policy)


def level_shares(
    current: maps.ExpertMap,
    loads: list[float],
    topology: maps.Topology,
    policy: Policy,
) -> Plan:
    """Return a plan that changes shares only.

    This is for the time while weights are loaded for a larger change.

    :param current: The map in use, or the next one.
    :param loads: Smoothed load of each expert.
    :param topology: The ranks.
    :param policy: The thresholds for a change.
    """
    no_moves = Limits(0, 1)
    return plan(current, loads, topology, no_moves, policy)


def _move_replicas(
    layout: layouts.Layout,
    topology: maps.Topology,
    limits: Limits,
    policy: Policy,
) -> layouts.Layout:
    """Return the layout after all moves that gain enough and fit the budget."""
    count = limits.budget_bytes // limits.expert_bytes
    while count > 0:
        improved = moves.improve(layout, topology, policy.move_gain, count)
        if improved is None:
            break
        layout = improved.layout
        count -= improved.loaded
    layouts.level(layout)
    return layout


def _make_plan(
    current: maps.ExpertMap,
    layout: layouts.Layout,
    before: float,
    limits: Limits,
    policy: Policy,
) -> Plan:
    after = layout.peak()
    planned = layouts.to_map(layout)
    moved_bytes = len(maps.added(current, planned)) * limits.expert_bytes
    if not moved_bytes and before - after < policy.share_gain:
        return Plan(current, Outcome.kept, before, before)
    outcome = Outcome.moved if moved_bytes else Outcome.shares
    return Plan(planned, outcome, before, after, moved_bytes)
