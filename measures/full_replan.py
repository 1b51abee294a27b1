"""The naive planner: every replica placed anew, tokens split evenly."""

import heapq

from camphorstair_core.experts import maps


def plan(loads: list[float], topology: maps.Topology) -> maps.ExpertMap:
    """Return a map by greedy replication and packing.

    :param loads: Load of each expert.
    :param topology: The ranks.
    """
    counts = replica_counts(loads, topology)
    pieces = sorted(
        (
            (load / count, expert)
            for expert, (load, count) in enumerate(
                zip(loads, counts, strict=True),
            )
            for _ in range(count)
        ),
        reverse=True,
    )
    held: list[list[int]] = [[] for _ in range(topology.ranks)]
    by_rank: list[float] = [0 for _ in held]
    for load, expert in pieces:
        rank = _least_loaded(held, by_rank, expert, topology)
        held[rank].append(expert)
        by_rank[rank] += load
    return _even_shares(held)


def replica_counts(loads: list[float], topology: maps.Topology) -> list[int]:
    """Return replicas of each expert so that the largest part is least."""
    counts = [1 for _ in loads]
    heap: list[tuple[float, int]] = [
        (-load, expert) for expert, load in enumerate(loads)
    ]
    heapq.heapify(heap)
    spare = topology.ranks * topology.slots_per_rank - len(loads)
    for _ in range(spare):
        expert = heap[0][1]
        counts[expert] += 1
        part = loads[expert] / counts[expert]
        full = counts[expert] == topology.ranks
        heapq.heapreplace(heap, (0 if full else -part, expert))
    return counts


def lower_bound(loads: list[float], topology: maps.Topology) -> float:
    """Return the least skew that the slots permit to any map.

    A rank has at least the mean load, and at least the part of an expert that
    the best choice of replicas leaves on it.
    """
    counts = replica_counts(loads, topology)
    largest = max(
        load / count for load, count in zip(loads, counts, strict=True)
    )
    return max(1.0, largest * topology.ranks / sum(loads))


def _least_loaded(
    held: list[list[int]],
    by_rank: list[float],
    expert: int,
    topology: maps.Topology,
) -> int:
    free = [
        rank
        for rank, experts in enumerate(held)
        if len(experts) < topology.slots_per_rank
    ]
    apart = [rank for rank in free if expert not in held[rank]]
    return min(apart or free, key=by_rank.__getitem__)


def _even_shares(held: list[list[int]]) -> maps.ExpertMap:
    counts: dict[int, int] = {}
    for experts in held:
        for expert in experts:
            counts[expert] = counts.get(expert, 0) + 1
    shares = tuple(
        tuple(1 / counts[one] for one in held_here) for held_here in held
    )
    return maps.ExpertMap(tuple(tuple(one) for one in held), shares)
