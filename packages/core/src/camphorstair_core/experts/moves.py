"""Finds the move of one replica that levels the ranks most for its cost."""

from collections import abc

from camphorstair_core.experts import layouts, maps

HOT_MARGIN = 0.98
EXPERTS_TRIED = 2
RANKS_TRIED = 3
TRIAL_SWEEPS = 8

SAME_VM_COST = 0.9
SAME_DATA_CENTRE_COST = 0.95
WEIGHT_STORE_COST = 1.0


def improve(
    layout: layouts.Layout,
    topology: maps.Topology,
) -> layouts.Layout | None:
    """Return the layout after the best single move, or None.

    :param layout: A levelled layout; it is not changed.
    :param topology: The ranks.
    """
    best = None
    best_gain: float = 0
    before = layout.excess()
    for move in _candidates(layout):
        trial = layout.copy()
        layouts.apply_move(trial, move)
        layouts.level(trial, TRIAL_SWEEPS)
        cost = source_cost(layout, move, topology)
        gain = (before - trial.excess()) / cost
        if gain > best_gain:
            best = trial
            best_gain = gain
    return best


def source_cost(
    layout: layouts.Layout,
    move: maps.Move,
    topology: maps.Topology,
) -> float:
    """Return the relative cost of a byte from the nearest copy.

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


def _candidates(layout: layouts.Layout) -> abc.Iterator[maps.Move]:
    free = _free_slots(layout)
    for expert in _hot_experts(layout):
        targets = [rank for rank in free if rank not in layout.flows[expert]]
        for rank in targets[:RANKS_TRIED]:
            yield maps.Move(expert, rank, free[rank])


def _hot_experts(layout: layouts.Layout) -> list[int]:
    """Return the experts that load the busiest ranks most."""
    limit = layout.peak() * HOT_MARGIN
    amounts: dict[int, float] = {}
    for rank, load in enumerate(layout.by_rank):
        if load < limit:
            continue
        for expert in layout.held[rank]:
            part = layout.flows[expert][rank]
            amounts[expert] = amounts.get(expert, 0) + part
    ordered = sorted(amounts, key=lambda one: (-amounts[one], one))
    return ordered[:EXPERTS_TRIED]


def _free_slots(layout: layouts.Layout) -> dict[int, int | None]:
    """Return ranks that can take a replica and what it displaces.

    The least loaded come first; a rank at the mean or above is left out.
    """
    free: dict[int, int | None] = {}
    order = sorted(range(len(layout.held)), key=layout.by_rank.__getitem__)
    for rank in order:
        if layout.by_rank[rank] >= 1:
            break
        if len(layout.held[rank]) < layout.capacity:
            free[rank] = None
            continue
        evicted = _least_used(layout, rank)
        if evicted is not None:
            free[rank] = evicted
    return free


def _least_used(layout: layouts.Layout, rank: int) -> int | None:
    """Return the replicated expert that has the least load on a rank."""
    parts = {
        expert: layout.flows[expert][rank]
        for expert in layout.held[rank]
        if len(layout.flows[expert]) > 1
    }
    return min(parts, key=parts.__getitem__, default=None)
