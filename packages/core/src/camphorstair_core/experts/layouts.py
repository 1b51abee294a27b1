"""A mutable expert map that the planner changes step by step.

A layout holds the replicas of each expert, the load that flows to each replica,
and the load of each rank. The flows are balanced for one expert after another.
Each step lowers the sum of the squared rank loads. This sum is convex, so the
steps converge to its minimum, which has the lowest peak load as well.
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

    :ivar loads: Load of each expert, scaled so that the mean load of a rank
        is 1.
    :ivar capacity: Slots of a rank.
    :ivar flows: For each expert its load on each rank that holds a replica.
    :ivar held: For each rank the experts that it holds.
    :ivar by_rank: Load of each rank.
    """

    loads: list[float]
    capacity: int
    flows: list[dict[int, float]]
    held: list[list[int]]
    by_rank: list[float]

    def copy(self) -> 'Layout':
        """Return an independent copy."""
        return Layout(
            self.loads,
            self.capacity,
            [flow.copy() for flow in self.flows],
            [experts.copy() for experts in self.held],
            self.by_rank.copy(),
        )

    def peak(self) -> float:
        """Return the load of the busiest rank.

        It equals the skew, because the mean load of a rank is 1.
        """
        return max(self.by_rank)

    def unevenness(self) -> float:
        """Return a penalty for uneven ranks and for the risk of unevenness.

        The penalty adds the squared deviations of the rank loads from the mean
        and, weighted by ``RISK``, the squared flows. A large flow into one
        rank is a risk: when the popularity of its expert changes, it changes
        the load of that rank alone.
        """
        deviation = sum((load - 1) ** 2 for load in self.by_rank)
        risk = sum(part**2 for flow in self.flows for part in flow.values())
        return deviation + RISK * risk


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
    held = [list(rank_experts) for rank_experts in expert_map.slots]
    by_rank = maps.rank_loads(expert_map, scaled)
    return Layout(scaled, capacity, flows, held, by_rank)


def to_map(layout: Layout) -> maps.ExpertMap:
    """Return the immutable map of a layout."""
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
    """Balance the flows of all replicated experts to lower the peak load.

    :param layout: The layout to change.
    :param sweeps: Maximum number of iterations over the replicated experts.
    """
    replicated = [
        expert for expert, flow in enumerate(layout.flows) if len(flow) > 1
    ]
    for _ in range(sweeps):
        largest_change: float = 0
        for expert in replicated:
            largest_change = max(largest_change, _level_expert(layout, expert))
        if largest_change < SWEEP_TOLERANCE:
            break


def _level_expert(layout: Layout, expert: int) -> float:
    flow = layout.flows[expert]
    by_rank = layout.by_rank
    base_loads = {rank: by_rank[rank] - part for rank, part in flow.items()}
    weight = 1 + FLOW_WEIGHT
    height = _water_level(
        sorted(base_loads.values()),
        layout.loads[expert] * weight,
    )
    largest_change: float = 0
    for rank, base in base_loads.items():
        part = max(height - base, 0) / weight
        largest_change = max(largest_change, abs(part - flow[rank]))
        flow[rank] = part
        by_rank[rank] = base + part
    return largest_change


def _water_level(bases: list[float], amount: float) -> float:
    """Return the level to which an amount of water fills columns.

    :param bases: The heights of the columns, in ascending order.
    :param amount: The amount, with columns of width 1.
    """
    volume = amount
    height: float = 0
    for count, base in enumerate(bases):
        if count and height <= base:
            break
        volume += base
        height = volume / (count + 1)
    return height


def apply_move(layout: Layout, move: maps.Move) -> None:
    """Add a replica to a rank, and remove the evicted replica if there is one.

    The load of the evicted replica is split evenly among the expert's other
    replicas. The new replica has no load until the flows are balanced.

    :param layout: The layout to change.
    :param move: The move.
    """
    if move.evicted is not None:
        layout.held[move.rank].remove(move.evicted)
        _redistribute_flow(layout, move.evicted, move.rank)
    layout.held[move.rank].append(move.expert)
    layout.flows[move.expert][move.rank] = 0


def _redistribute_flow(layout: Layout, expert: int, rank: int) -> None:
    flow = layout.flows[expert]
    part = flow.pop(rank)
    layout.by_rank[rank] -= part
    for remaining_rank in flow:
        flow[remaining_rank] += part / len(flow)
        layout.by_rank[remaining_rank] += part / len(flow)
