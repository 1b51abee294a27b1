"""Expert maps, and the topology of the ranks that they are planned for."""

import attrs


class MapError(ValueError):
    """Raised if the experts do not fit into the slots of a rank group."""


@attrs.define(frozen=True)
class Topology:
    """The location and the capacity of the ranks of a group.

    :ivar vms: The VM of each rank.
    :ivar data_centres: The data centre of each rank.
    :ivar slots_per_rank: Number of experts of one layer that a rank can hold.
    """

    vms: tuple[str, ...]
    data_centres: tuple[str, ...]
    slots_per_rank: int

    @property
    def ranks(self) -> int:
        """Return the number of ranks in the group."""
        return len(self.vms)


@attrs.define(frozen=True)
class ExpertMap:
    """The assignment of the experts of one layer to ranks.

    Several ranks may hold the same expert; each copy is called a replica.

    :ivar slots: For each rank the experts that it holds.
    :ivar shares: For each slot the share of its expert's tokens that is sent to
        it; the shares of an expert add up to 1.
    """

    slots: tuple[tuple[int, ...], ...]
    shares: tuple[tuple[float, ...], ...]


@attrs.define(frozen=True)
class Move:
    """The loading of one expert by a rank.

    :ivar expert: The expert.
    :ivar rank: The rank that loads it.
    :ivar evicted: The expert whose slot is reused; None for a free slot.
    """

    expert: int
    rank: int
    evicted: int | None = None


def contiguous(experts: int, topology: Topology) -> ExpertMap:
    """Return the map that assigns consecutive experts to each rank.

    :param experts: Number of experts of the layer.
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
    """Return the ratio of the busiest rank's load to the mean load.

    :returns: 1 if the load is even or zero.
    """
    by_rank = rank_loads(expert_map, loads)
    total = sum(by_rank)
    return max(by_rank) * len(by_rank) / total if total else 1.0


def added(old: ExpertMap, new: ExpertMap) -> list[tuple[int, int]]:
    """Return the replicas that only the new map has, as (rank, expert)."""
    return [
        (rank, expert)
        for rank, held in enumerate(new.slots)
        for expert in held
        if expert not in old.slots[rank]
    ]
