"""Finds the move of a replica with the best ratio of gain to cost.

The gain is the decrease of the layout's unevenness.
"""

import heapq
from collections import abc

import attrs

from camphorstair_core.experts import layouts, maps

EXPERTS_TRIED = 2
RANKS_TRIED = 2
TRIAL_SWEEPS = 3
FOLLOWING_SWEEPS = 8

SAME_VM_COST = 0.9
SAME_DATA_CENTRE_COST = 0.95
WEIGHT_STORE_COST = 1.0


@attrs.define(frozen=True)
class Improvement:
    """The layout that results from the best moves.

    :ivar layout: The layout.
    :ivar loaded: Number of replicas that ranks have to load for it.
    """

    layout: layouts.Layout
    loaded: int


def improve(
    layout: layouts.Layout,
    topology: maps.Topology,
    min_gain: float,
    budget: int,
) -> Improvement | None:
    """Return the layout after the move with the best ratio of gain to cost.

    Two moves are made where another rank has to take over an expert first.

    :param layout: A balanced layout; it is not changed.
    :param topology: The ranks.
    :param min_gain: Minimum decrease of the unevenness, divided by the cost.
    :param budget: Number of replicas that may be loaded.
    :returns: The result, or None if no move gains enough.
    """
    best = None
    best_gain = min_gain
    before = layout.unevenness()
    for candidate in _candidates(layout):
        if len(candidate) > budget:
            continue
        trial = layout.copy()
        cost: float = 0
        for move in candidate:
            cost += source_cost(trial, move, topology)
            layouts.apply_move(trial, move)
        layouts.level(trial, TRIAL_SWEEPS)
        gain = (before - trial.unevenness()) / cost
        if gain > best_gain:
            best, best_gain = Improvement(trial, len(candidate)), gain
    if best is not None:
        layouts.level(best.layout, FOLLOWING_SWEEPS)
    return best


def source_cost(
    layout: layouts.Layout,
    move: maps.Move,
    topology: maps.Topology,
) -> float:
    """Return the relative cost per byte of loading from the nearest copy.

    :param layout: The layout before the move.
    :param move: The move.
    :param topology: The ranks.
    """
    holders = layout.flows[move.expert]
    vm = topology.vms[move.rank]
    if any(topology.vms[rank] == vm for rank in holders):
        return SAME_VM_COST
    data_centre = topology.data_centres[move.rank]
    if any(topology.data_centres[rank] == data_centre for rank in holders):
        return SAME_DATA_CENTRE_COST
    return WEIGHT_STORE_COST


def _candidates(layout: layouts.Layout) -> abc.Iterator[list[maps.Move]]:
    free = _free_slots(layout)
    least_loaded = min(range(len(layout.held)), key=layout.by_rank.__getitem__)
    for expert in _hot_experts(layout):
        flow = layout.flows[expert]
        targets = [rank for rank in free if rank not in flow]
        tried = targets[:RANKS_TRIED]
        if least_loaded in targets:
            tried.append(least_loaded)
        for rank in dict.fromkeys(tried):
            yield [maps.Move(expert, rank, free[rank])]
        if least_loaded not in free and least_loaded not in flow:
            yield from _free_slot_moves(layout, expert, least_loaded, free)


def _free_slot_moves(
    layout: layouts.Layout,
    expert: int,
    rank: int,
    free: dict[int, int | None],
) -> abc.Iterator[list[maps.Move]]:
    """Yield two moves that free a slot of a full rank and load an expert.

    The rank holds no replicated expert that it could evict, so its least loaded
    expert is moved to another rank first.
    """
    coldest = min(layout.held[rank], key=layout.loads.__getitem__)
    for target, evicted in free.items():
        if evicted not in {expert, coldest}:
            yield [
                maps.Move(coldest, target, evicted),
                maps.Move(expert, rank, coldest),
            ]
            return


def _hot_experts(layout: layouts.Layout) -> list[int]:
    """Return the experts for which one more replica may help most.

    These are the expert with the most load on the busiest rank, and the
    experts with the largest flows.
    """
    largest = heapq.nlargest(
        EXPERTS_TRIED,
        range(len(layout.flows)),
        key=lambda expert: max(layout.flows[expert].values()),
    )
    busiest = max(range(len(layout.held)), key=layout.by_rank.__getitem__)
    hottest = max(
        layout.held[busiest],
        key=lambda expert: layout.flows[expert][busiest],
    )
    return list(dict.fromkeys([hottest, *largest]))


def _free_slots(layout: layouts.Layout) -> dict[int, int | None]:
    """Return the ranks that can hold one more replica, the best targets first.

    :returns: For each rank the expert that it would evict; None if it has a
        free slot.
    """
    free: dict[int, int | None] = {}
    for rank, held in enumerate(layout.held):
        if len(held) < layout.capacity:
            free[rank] = None
            continue
        evicted = _least_loaded_replica(layout, rank)
        if evicted is not None:
            free[rank] = evicted
    return dict(
        sorted(free.items(), key=lambda target: _target_cost(layout, *target))
    )


def _target_cost(
    layout: layouts.Layout, rank: int, evicted: int | None
) -> float:
    """Return the cost of a rank as a target; lower is better.

    The cost is the load of the rank plus the load of the evicted replica; a
    rank with a free slot is preferred.
    """
    if evicted is None:
        return layout.by_rank[rank] - 1
    return layout.by_rank[rank] + layout.flows[evicted][rank]


def _least_loaded_replica(layout: layouts.Layout, rank: int) -> int | None:
    """Return a rank's replicated expert with the least load there, or None."""
    parts = {
        expert: layout.flows[expert][rank]
        for expert in layout.held[rank]
        if len(layout.flows[expert]) > 1
    }
    return min(parts, key=parts.__getitem__, default=None)
