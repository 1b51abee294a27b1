"""Plans the expert maps of a rank group from the choices that it counts."""

import logging

import attrs
import curio

from camphorstair_agent.fleet import (
    instruments,
    rank_calls,
    round_logs,
    spread_calls,
)
from camphorstair_core.experts import group_orders, group_planner
from camphorstair_fleet import leasing
from camphorstair_runtime import clocks

# A rank that has not prepared a map after this time is sent the order again.
PREPARE_LIMIT_S = 2.0

_LOG = logging.getLogger(__name__)


@attrs.define
class MapPlan:
    """An expert map of the group.

    :ivar version: Version number of the map.
    :ivar sets: The experts of each rank, by set.
    :ivar prepare_sent_s: When each rank was sent the order to prepare the map;
        monotonic clock.
    """

    version: int
    sets: group_planner.Sets
    prepare_sent_s: dict[int, float] = attrs.field(factory=dict)

    def due_prepares(
        self, orders: rank_calls.Orders, now_s: float
    ) -> rank_calls.Orders:
        """Return the orders to prepare that are sent now, and note the time.

        An order is not repeated within ``PREPARE_LIMIT_S``, as the rank may
        still be copying experts.
        """
        due = [
            order
            for order in orders
            if now_s
            >= self.prepare_sent_s.get(order.rank, now_s - PREPARE_LIMIT_S)
            + PREPARE_LIMIT_S
        ]
        for order in due:
            self.prepare_sent_s[order.rank] = now_s
        return due


@attrs.define(eq=False)
class MapPlanner:
    """Plans new maps while a planner lease is held.

    :ivar meters: Records the skew of the maps in use.
    :ivar spread: Client of all ranks of the group.
    :ivar leadership: The planner lease.
    :ivar planner: Estimates the experts' loads and computes new maps.
    :ivar rounds: Logs why rounds plan no new map.
    :ivar in_use: The map last known to be in use, if any.
    :ivar epoch: Number of the group's formation.
    :ivar planned: Number of maps planned under this lease.
    """

    meters: instruments.Instruments
    spread: spread_calls.SpreadCalls
    leadership: leasing.Leadership
    planner: group_planner.GroupPlanner
    rounds: round_logs.RoundLog = attrs.field(factory=round_logs.RoundLog)
    in_use: MapPlan | None = None
    epoch: int = 0
    planned: int = 0

    async def plan(
        self, ranks: rank_calls.Ranks, states: rank_calls.States
    ) -> MapPlan | None:
        """Return a new map, or None if the gain would be too small.

        None also if the map in use is not known.
        """
        sets = await self._sets_in_use(ranks, states)
        self.planner.note(await self.spread.counts(ranks))
        if sets is None:
            return None
        paces = [states[rank].pace for rank in sorted(states)]
        planned_sets = await self._compute(sets, paces)
        if planned_sets is None:
            self.rounds.note(
                round_logs.Reason.small_gain,
                clocks.monotonic_s(),
                lambda: {
                    'skew': round(self.planner.skew(sets, paces), 3),
                    'slowest_pace': max(paces),
                },
            )
            return None
        self.planned += 1
        version = group_orders.version_number(
            self.leadership.era, self.leadership.revision, self.planned
        )
        skew = self.planner.skew(sets, paces)
        self.meters.skew.record(skew)
        _LOG.info(
            'new expert map planned',
            extra={
                'version': version,
                'skew': round(skew, 3),
                'expected': round(self.planner.skew(planned_sets, paces), 3),
                'slowest_pace': max(paces),
            },
        )
        return MapPlan(version, planned_sets)

    async def _compute(
        self, sets: group_planner.Sets, paces: list[float]
    ) -> group_planner.Sets | None:
        """Compute a new map while other tasks run between its steps."""
        steps = self.planner.plan_steps(sets, paces)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value
            await curio.sleep(0)

    async def _sets_in_use(
        self, ranks: rank_calls.Ranks, states: rank_calls.States
    ) -> group_planner.Sets | None:
        """Return the map in use, or None if it is not known.

        It is not known while the ranks report different versions, or until all
        ranks have reported their experts.
        """
        versions = {rank_state.report.version for rank_state in states.values()}
        if len(versions) > 1:
            self.rounds.note(
                round_logs.Reason.mixed_maps,
                clocks.monotonic_s(),
                lambda: {'versions': len(versions)},
            )
            return None
        version = versions.pop()
        if self.in_use is None or self.in_use.version != version:
            self.in_use = await self._read_map(ranks, version)
        if self.in_use is None:
            self.rounds.note(
                round_logs.Reason.unread_map,
                clocks.monotonic_s(),
                lambda: {'version': version},
            )
        return self.in_use.sets if self.in_use else None

    async def _read_map(
        self, ranks: rank_calls.Ranks, version: int
    ) -> MapPlan | None:
        """Read a map from its ranks; None unless all of them use it."""
        experts = await self.spread.experts(ranks)
        if len(experts) < len(ranks):
            return None
        if any(held.version != version for held in experts.values()):
            return None
        by_rank = [experts[rank].sets for rank in sorted(experts)]
        return MapPlan(version, tuple(zip(*by_rank, strict=True)))
