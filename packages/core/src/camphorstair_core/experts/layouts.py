"""A map in the making: replicas, their flows, the load of each rank.

The flows of an expert over its replicas are levelled one expert after
another. Each turn lowers the sum of the squared rank loads, which is convex,
so the turns converge to its minimum, and that is the least peak as well.
"""

import attrs

from camphorstair_core.experts import maps

SWEEP_TOLERANCE = 0.002
SWEEPS = 40
RISK = 0.03
FLOW_WEIGHT = 0.003


@attrs.define
class Layout:
    """A mutable map of one layer under a given load.

    :ivar loads: Load of each expert; the mean of a rank is 1.
    :ivar capacity: Slots of a rank.
    :ivar flows: For each expert the load on each rank that holds it.
    :ivar held: For each rank the experts that it holds.
    :ivar by_rank: Load of each rank.
    """

    loads: list[float]
    capacity: int
    flows: list[dict[int, float]]
    held: list[list[int]]
    by_rank: list[float]

    def copy(self) -> 'Layout':
        """Return a layout that can be changed apart from this one."""
        return Layout(
            self.loads,
            self.capacity,
            [flow.copy() for flow in self.flows],
            [experts.copy() for experts in self.held],
            self.by_rank.copy(),
        )

    def peak(self) -> float:
        """Return the load of the busiest rank, which is the skew."""
        return max(self.by_rank)

    def unevenness(self) -> float:
        """Return how uneven the ranks are, and how easily they become so.

        Squared differences of the ranks from the mean, and squared flows: a
        large flow into one rank shifts that rank alone when the popularity of
        its expert changes.
        """
        uneven = sum((load - 1) ** 2 for load in self.by_rank)
        risk = sum(part**2 for flow in self.flows for part in flow.values())
        return uneven + RISK * risk


def build(
    expert_map: maps.ExpertMap,
    loads: list[float],
    capacity: int,
) -> Layout:
    """Return the layout of a map under a load.

    :param expert_map: The map.
    :param loads: Load of each expert in any unit.
    :param capacity: Slots of a rank.
    """
    unit = sum(loads) / len(expert_map.slots) or 1.0
    scaled = [load / unit for load in loads]
    flows: list[dict[int, float]] = [{} for _ in loads]
    for rank, experts in enumerate(expert_map.slots):
        for expert, share in zip(experts, expert_map.shares[rank], strict=True):
            flows[expert][rank] = scaled[expert] * share
    held = [list(one) for one in expert_map.slots]
    by_rank = maps.rank_loads(expert_map, scaled)
    return Layout(scaled, capacity, flows, held, by_rank)


def to_map(layout: Layout) -> maps.ExpertMap:
    """Return the map that a layout stands for."""
    slots = tuple(tuple(experts) for experts in layout.held)
    shares = tuple(
        tuple(_share(layout, expert, rank) for expert in experts)
        for rank, experts in enumerate(slots)
    )
    return maps.ExpertMap(slots, shares)


def _share(layout: Layout, expert: int, rank: int) -> float:
    flow = layout.flows[expert]
    load = layout.loads[expert]
    return flow[rank] / load if load else 1 / len(flow)


def level(layout: Layout, sweeps: int = SWEEPS) -> None:
    """Spread each replicated expert so that the busiest rank has least.

    :param layout: The layout.
    :param sweeps: How often to go over the replicated experts at most.
    """
    replicated = [
        expert for expert, flow in enumerate(layout.flows) if len(flow) > 1
    ]
    for _ in range(sweeps):
        largest: float = 0
        for expert in replicated:
            largest = max(largest, _level_expert(layout, expert))
        if largest < SWEEP_TOLERANCE:
            break


def _level_expert(layout: Layout, expert: int) -> float:
    flow = layout.flows[expert]
    by_rank = layout.by_rank
    others = {rank: by_rank[rank] - part for rank, part in flow.items()}
    weight = 1 + FLOW_WEIGHT
    height = _water_level(
        sorted(others.values()),
        layout.loads[expert] * weight,
    )
    largest: float = 0
    for rank, base in others.items():
        part = max(height - base, 0) / weight
        largest = max(largest, abs(part - flow[rank]))
        flow[rank] = part
        by_rank[rank] = base + part
    return largest


def _water_level(bases: list[float], amount: float) -> float:
    """Return the level to which an amount fills columns of given heights."""
    below = amount
    height: float = 0
    for count, base in enumerate(bases):
        if count and height <= base:
            break
        below += base
        height = below / (count + 1)
    return height


def apply_move(layout: Layout, move: maps.Move) -> None:
    """Put an expert on a rank, in place of a replica of another.

    :param layout: The layout; the new replica takes no load yet.
    :param move: The move.
    """
    if move.evicted is not None:
        layout.held[move.rank].remove(move.evicted)
        _drop_flow(layout, move.evicted, move.rank)
    layout.held[move.rank].append(move.expert)
    layout.flows[move.expert][move.rank] = 0


def _drop_flow(layout: Layout, expert: int, rank: int) -> None:
    flow = layout.flows[expert]
    part = flow.pop(rank)
    layout.by_rank[rank] -= part
    for other in flow:
        flow[other] += part / len(flow)
        layout.by_rank[other] += part / len(flow)
