"""Expert maps and the topology that they are planned for."""

import attrs


class MapError(ValueError):
    """An expert map that no rank group can run."""


@attrs.define(frozen=True)
class Topology:
    """Where the ranks of a group are.

    :ivar vms: The VM of each rank.
    :ivar data_centres: The data centre of each rank.
    :ivar slots_per_rank: Experts of one layer that a rank can hold.
    """

    vms: tuple[str, ...]
    data_centres: tuple[str, ...]
    slots_per_rank: int

    @property
    def ranks(self) -> int:
        """Return how many ranks the group has."""
        return len(self.vms)


@attrs.define(frozen=True)
class ExpertMap:
    """Where the experts of one layer are, and how tokens go to replicas.

    :ivar slots: For each rank the experts that it holds.
    :ivar shares: For each slot the share of its expert's tokens that it takes;
        the shares of an expert add up to 1.
    """

    slots: tuple[tuple[int, ...], ...]
    shares: tuple[tuple[float, ...], ...]


@attrs.define(frozen=True)
class Move:
    """One expert that a rank has to load.

    :ivar expert: The expert.
    :ivar rank: The rank that loads it.
    :ivar evicted: The expert that leaves the slot, or None.
    """

    expert: int
    rank: int
    evicted: int | None = None


def contiguous(experts: int, topology: Topology) -> ExpertMap:
    """Return the map that gives each rank a block of experts.

    :param experts: Experts of the layer.
    :param topology: The ranks.
    :raises MapError: if the slots can't hold every expert.
    """
    ranks = topology.ranks
    bounds = [rank * experts // ranks for rank in range(ranks + 1)]
    slots = tuple(
        tuple(range(bounds[rank], bounds[rank + 1])) for rank in range(ranks)
    )
    if max(len(held) for held in slots) > topology.slots_per_rank:
        raise MapError(f'{experts} experts do not fit {topology}')
    shares = tuple(tuple(1.0 for _ in held) for held in slots)
    return ExpertMap(slots, shares)


def rank_loads(expert_map: ExpertMap, loads: list[float]) -> list[float]:
    """Return the load of each rank.

    :param expert_map: The map.
    :param loads: Load of each expert.
    """
    return [
        sum(
            loads[expert] * share
            for expert, share in zip(held, shares, strict=True)
        )
        for held, shares in zip(
            expert_map.slots,
            expert_map.shares,
            strict=True,
        )
    ]


def skew(expert_map: ExpertMap, loads: list[float]) -> float:
    """Return the load of the busiest rank over the mean; 1 is even."""
    by_rank = rank_loads(expert_map, loads)
    total = sum(by_rank)
    return max(by_rank) * len(by_rank) / total if total else 1.0


def added(old: ExpertMap, new: ExpertMap) -> list[tuple[int, int]]:
    """Return the pairs of rank and expert that only the new map has."""
    return [
        (rank, expert)
        for rank, held in enumerate(new.slots)
        for expert in held
        if expert not in old.slots[rank]
    ]
