"""Finds the move of one replica that levels the ranks most for its cost."""

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
class Improved:
    """A layout after some moves.

    :ivar layout: The layout.
    :ivar loaded: Replicas that ranks have to load for it.
    """

    layout: layouts.Layout
    loaded: int


def improve(
    layout: layouts.Layout,
    topology: maps.Topology,
    least_gain: float,
    budget: int,
) -> Improved | None:
    """Return the layout after the move that gains most for its cost.

    One move, or two where a rank has to give away an expert first.

    :param layout: A levelled layout; it is not changed.
    :param topology: The ranks.
    :param least_gain: Least fall of the unevenness for each move.
    :param budget: Replicas that may be loaded.
    :returns: The layout, or None if no move is worth its cost.
    """
    best = None
    best_gain = least_gain
    before = layout.unevenness()
    for found in _candidates(layout):
        if len(found) > budget:
            continue
        trial = layout.copy()
        cost: float = 0
        for move in found:
            cost += source_cost(trial, move, topology)
            layouts.apply_move(trial, move)
        layouts.level(trial, TRIAL_SWEEPS)
        gain = (before - trial.unevenness()) / cost
        if gain > best_gain:
            best, best_gain = Improved(trial, len(found)), gain
    if best is not None:
        layouts.level(best.layout, FOLLOWING_SWEEPS)
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


def _candidates(layout: layouts.Layout) -> abc.Iterator[list[maps.Move]]:
    free = _free_slots(layout)
    idlest = min(range(len(layout.held)), key=layout.by_rank.__getitem__)
    for expert in _hot_experts(layout):
        flow = layout.flows[expert]
        targets = [rank for rank in free if rank not in flow]
        tried = targets[:RANKS_TRIED]
        if idlest in targets:
            tried.append(idlest)
        for rank in dict.fromkeys(tried):
            yield [maps.Move(expert, rank, free[rank])]
        if idlest not in free and idlest not in flow:
            yield from _exchange(layout, expert, idlest, free)


def _exchange(
    layout: layouts.Layout,
    expert: int,
    rank: int,
    free: dict[int, int | None],
) -> abc.Iterator[list[maps.Move]]:
    """Yield the two moves that free a slot of a rank without replicas."""
    coldest = min(layout.held[rank], key=layout.loads.__getitem__)
    for other, evicted in free.items():
        if evicted not in {expert, coldest}:
            yield [
                maps.Move(coldest, other, evicted),
                maps.Move(expert, rank, coldest),
            ]
            return


def _hot_experts(layout: layouts.Layout) -> list[int]:
    """Return the experts of which one more replica may help most.

    These load the busiest ranks most, or have the largest flows.
    """
    largest = heapq.nlargest(
        EXPERTS_TRIED,
        range(len(layout.flows)),
        key=lambda one: max(layout.flows[one].values()),
    )
    busiest = max(range(len(layout.held)), key=layout.by_rank.__getitem__)
    hottest = max(
        layout.held[busiest],
        key=lambda one: layout.flows[one][busiest],
    )
    return list(dict.fromkeys([hottest, *largest]))


def _free_slots(layout: layouts.Layout) -> dict[int, int | None]:
    """Return ranks that can take a replica and what it displaces.

    The least loaded come first, and among those the least displaced.
    """
    free: dict[int, int | None] = {}
    for rank, held in enumerate(layout.held):
        if len(held) < layout.capacity:
            free[rank] = None
            continue
        evicted = _least_used(layout, rank)
        if evicted is not None:
            free[rank] = evicted
    return dict(sorted(free.items(), key=lambda row: _burden(layout, *row)))


def _burden(layout: layouts.Layout, rank: int, evicted: int | None) -> float:
    """Return what speaks against a rank: its load and what it gives up."""
    if evicted is None:
        return layout.by_rank[rank] - 1
    return layout.by_rank[rank] + layout.flows[evicted][rank]


def _least_used(layout: layouts.Layout, rank: int) -> int | None:
    """Return the replicated expert that has the least load on a rank."""
    parts = {
        expert: layout.flows[expert][rank]
        for expert in layout.held[rank]
        if len(layout.flows[expert]) > 1
    }
    return min(parts, key=parts.__getitem__, default=None)
