"""Plans the expert map of one layer: a pure function.

Tokens of an expert are spread over its replicas by shares, which are a part
of the map. A change of shares moves no bytes, so it comes first; replicas are
moved only where shares can't level the ranks.
"""

import enum

import attrs

from camphorstair_core.experts import layouts, maps, moves


class Outcome(enum.StrEnum):
    """Why a plan changes the map or leaves it."""

    kept = 'kept: a change would gain too little'
    shares = 'changed: shares only'
    moved = 'changed: replicas moved'


@attrs.define(frozen=True)
class Policy:
    """When the planner acts.

    :ivar share_gain: Least gain in skew for a change of shares.
    :ivar move_above: Skew, with the best shares, above which replicas move.
    :ivar move_gain: Least fall of the unevenness for a replica that moves.
    """

    share_gain: float = 0.01
    move_above: float = 1.015
    move_gain: float = 0.003


@attrs.define(frozen=True)
class Limits:
    """What a plan may spend.

    :ivar budget_bytes: Bytes that may be moved now.
    :ivar expert_bytes: Size of an expert's weights.
    """

    budget_bytes: int
    expert_bytes: int


@attrs.define(frozen=True)
class Plan:
    """Result of planning.

    :ivar expert_map: The map to use; the current one if nothing changes.
    :ivar outcome: Why it changes or not.
    :ivar skew_before: Expected skew of the current map.
    :ivar skew_after: Expected skew of the planned map.
    :ivar moved_bytes: Bytes that ranks have to load.
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
    """Plan the map of one layer.

    :param current: The map in force.
    :param loads: Smoothed load of each expert.
    :param topology: The ranks.
    :param limits: What may be spent.
    :param policy: When to act.
    """
    layout = layouts.build(current, loads, topology.slots_per_rank)
    before = layout.peak()
    layouts.level(layout)
    if layout.peak() > policy.move_above:
        layout = _move(layout, topology, limits, policy)
    return _finish(current, layout, before, limits, policy)


def level_shares(
    current: maps.ExpertMap,
    loads: list[float],
    topology: maps.Topology,
    policy: Policy,
) -> Plan:
    """Plan a change of shares only, as while weights load for a larger one.

    :param current: The map in force, or the one about to be.
    :param loads: Smoothed load of each expert.
    :param topology: The ranks.
    :param policy: When to act.
    """
    nothing = Limits(0, 1)
    return plan(current, loads, topology, nothing, policy)


def _move(
    layout: layouts.Layout,
    topology: maps.Topology,
    limits: Limits,
    policy: Policy,
) -> layouts.Layout:
    """Move replicas while each is worth its bytes."""
    count = limits.budget_bytes // limits.expert_bytes
    while count > 0:
        found = moves.improve(layout, topology, policy.move_gain, count)
        if found is None:
            break
        layout = found.layout
        count -= found.loaded
    layouts.level(layout)
    return layout


def _finish(
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
