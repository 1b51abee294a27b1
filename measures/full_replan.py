"""Baseline planner that places every replica anew and splits tokens evenly."""

import heapq

from camphorstair_core.experts import maps


def plan(loads: list[float], topology: maps.Topology) -> maps.ExpertMap:
    """Return a map planned by greedy replication and packing.

    Replicas are placed by descending load, each on the least loaded rank with
    a free slot.

    :param loads: Load of each expert.
    :param topology: Ranks and their slots.
    """
    counts = replica_counts(loads, topology)
    replica_loads = sorted(
        (
            (load / count, expert)
            for expert, (load, count) in enumerate(
                zip(loads, counts, strict=True),
            )
            for _ in range(count)
        ),
        reverse=True,
    )
    experts_by_rank: list[list[int]] = [[] for _ in range(topology.ranks)]
    load_by_rank: list[float] = [0 for _ in experts_by_rank]
    for load, expert in replica_loads:
        rank = _least_loaded_rank(
            experts_by_rank, load_by_rank, expert, topology
        )
        experts_by_rank[rank].append(expert)
        load_by_rank[rank] += load
    return _even_shares(experts_by_rank)


def replica_counts(loads: list[float], topology: maps.Topology) -> list[int]:
    """Return the number of replicas of each expert.

    The numbers fill all slots and minimise the largest load of a replica.

    :param loads: Load of each expert.
    :param topology: Ranks and their slots.
    """
    counts = [1 for _ in loads]
    heap: list[tuple[float, int]] = [
        (-load, expert) for expert, load in enumerate(loads)
    ]
    heapq.heapify(heap)
    spare = topology.ranks * topology.slots_per_rank - len(loads)
    for _ in range(spare):
        expert = heap[0][1]
        counts[expert] += 1
        replica_load = loads[expert] / counts[expert]
        on_all_ranks = counts[expert] == topology.ranks
        heapq.heapreplace(heap, (0 if on_all_ranks else -replica_load, expert))
    return counts


def lower_bound(loads: list[float], topology: maps.Topology) -> float:
    """Return a lower bound of the skew of any map with these slots.

    The most loaded rank has at least the mean load, and at least the largest
    load of a replica under the best choice of replicas.

    :param loads: Load of each expert.
    :param topology: Ranks and their slots.
    """
    counts = replica_counts(loads, topology)
    largest_load = max(
        load / count for load, count in zip(loads, counts, strict=True)
    )
    return max(1.0, largest_load * topology.ranks / sum(loads))


def _least_loaded_rank(
    experts_by_rank: list[list[int]],
    load_by_rank: list[float],
    expert: int,
    topology: maps.Topology,
) -> int:
    """Return the least loaded rank with a free slot.

    Ranks without a replica of the expert are preferred.
    """
    free_ranks = [
        rank
        for rank, experts in enumerate(experts_by_rank)
        if len(experts) < topology.slots_per_rank
    ]
    ranks_without_expert = [
        rank for rank in free_ranks if expert not in experts_by_rank[rank]
    ]
    return min(ranks_without_expert or free_ranks, key=load_by_rank.__getitem__)


def _even_shares(experts_by_rank: list[list[int]]) -> maps.ExpertMap:
    counts: dict[int, int] = {}
    for experts in experts_by_rank:
        for expert in experts:
            counts[expert] = counts.get(expert, 0) + 1
    shares = tuple(
        tuple(1 / counts[replica] for replica in rank_experts)
        for rank_experts in experts_by_rank
    )
    return maps.ExpertMap(
        tuple(tuple(held) for held in experts_by_rank), shares
    )
