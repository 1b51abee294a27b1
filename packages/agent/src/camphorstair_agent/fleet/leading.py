"""Plans for a rank group and puts the plans in use, under its lease."""

import logging

import attrs
import curio

from camphorstair_agent.fleet import rank_calls, state
from camphorstair_core.experts import group_orders, group_planner
from camphorstair_core.fleet import roster
from camphorstair_fleet import leasing
from camphorstair_runtime import clocks

IDLE_INTERVAL_S = 0.12
PREPARE_INTERVAL_S = 0.05
ORDER_INTERVAL_S = 0.01
# A copy that takes longer than this is ordered again.
PREPARE_LIMIT_S = 2.0
# Orders are taken to be unreliable for this long after one had no answer.
CAUTION_S = 10.0

_LOG = logging.getLogger(__name__)


@attrs.define
class _Plan:
    """A map of the group.

    :ivar version: Its number.
    :ivar sets: Its content.
    :ivar ordered_s: When each rank was told to prepare it.
    """

    version: int
    sets: group_planner.Sets
    ordered_s: dict[int, float] = attrs.field(factory=dict)

    def due(self, order: group_orders.Order, now_s: float) -> bool:
        """Tell whether an order is not just being carried out."""
        if order.kind is not group_orders.OrderKind.prepare:
            return True
        ordered_s = self.ordered_s.get(order.rank)
        return ordered_s is None or now_s >= ordered_s + PREPARE_LIMIT_S


@attrs.define(eq=False)
class Leader:
    """The planner of a group.

    :ivar agent: The agent's state.
    :ivar calls: The ranks of the group.
    :ivar leadership: The lease.
    :ivar membership: The place of this agent's engine in the group.
    :ivar planner: What is known of the experts' loads.
    :ivar current: The plan that is being put in use, if any.
    :ivar in_use: The map in use, as far as it is known.
    :ivar held: The holds that the last round saw.
    :ivar epoch: The formation of the group that the plan is for.
    :ivar planned: Number of maps planned under this lease.
    :ivar cautious_deadline_s: Until when orders may be left unanswered.
    """

    agent: state.FleetAgent
    calls: rank_calls.RankCalls
    leadership: leasing.Leadership
    membership: roster.GroupMembership
    planner: group_planner.GroupPlanner
    current: _Plan | None = None
    in_use: _Plan | None = None
    held: group_orders.Holds = frozenset()
    epoch: int = 0
    planned: int = 0
    cautious_deadline_s: float = 0

    async def run(self) -> None:
        """Plan until the lease is lost."""
        while self.leadership.held():
            ranks = self.agent.group_members(self.membership.group)
            interval_s = IDLE_INTERVAL_S
            if len(ranks) == self.membership.size:
                interval_s = await self._round(ranks)
            await curio.sleep(interval_s)

    async def _round(self, ranks: rank_calls.Ranks) -> float:
        """Look at all ranks once and give the orders that are due.

        :returns: The time until the next round.
        """
        idle = self.current is None
        states = await self.calls.states(ranks, with_counts=idle)
        if len(states) < len(ranks):
            return IDLE_INTERVAL_S
        reports = {rank: one.report for rank, one in states.items()}
        self._note_epoch(reports)
        orders = self._orders(reports, states)
        await self._give(orders, ranks)
        self._note_done(reports)
        if self.current is None and not self.held:
            return IDLE_INTERVAL_S
        kinds = {one.kind for one in orders}
        if group_orders.OrderKind.prepare in kinds:
            return PREPARE_INTERVAL_S
        return ORDER_INTERVAL_S

    def _orders(
        self,
        reports: group_orders.Reports,
        states: rank_calls.States,
    ) -> list[group_orders.Order]:
        held_before = self.held
        self.held = group_orders.holds(reports)
        if self.held:
            return group_orders.orders_while_held(
                reports, self.membership.size, held_before
            )
        if self.current is None:
            self._plan_next(states)
        if self.current is None:
            return []
        return group_orders.orders_before_hold(
            reports,
            self.membership.size,
            self.current.version,
            # The hold is at another VM, which lets go if this one is silent.
            (self.membership.rank + 1) % self.membership.size,
            self._margin(),
        )

    def _margin(self) -> int:
        """Return how far ahead the group is held."""
        if clocks.monotonic_s() < self.cautious_deadline_s:
            return group_orders.CAUTIOUS_STEP_MARGIN
        return group_orders.STEP_MARGIN

    def _note_epoch(self, reports: group_orders.Reports) -> None:
        """Drop a plan that was made for an earlier formation."""
        epoch = max(one.epoch for one in reports.values())
        if epoch != self.epoch:
            self.epoch = epoch
            self.current = None

    def _plan_next(self, states: rank_calls.States) -> None:
        counts = {
            rank: one.counts for rank, one in states.items() if one.counts
        }
        sets = self._sets(states)
        if not counts or sets is None:
            return
        self.planner.note(counts)
        paces = [states[rank].pace for rank in sorted(states)]
        planned = self.planner.plan(sets, paces)
        if planned is None:
            return
        self.planned += 1
        version = group_orders.version_number(
            self.leadership.revision, self.planned
        )
        self.current = _Plan(version, planned)
        skew = self.planner.skew(sets, paces)
        self.agent.meters.skew.record(skew)
        _LOG.info(
            'new map',
            extra={
                'version': version,
                'skew': round(skew, 3),
                'expected': round(self.planner.skew(planned, paces), 3),
                'slowest_pace': max(paces),
            },
        )

    def _sets(self, states: rank_calls.States) -> group_planner.Sets | None:
        """Return the map in use, or None if that is not known."""
        versions = {one.report.version for one in states.values()}
        if len(versions) > 1:
            return None
        version = versions.pop()
        if all(one.experts for one in states.values()):
            sets = tuple(
                tuple(states[rank].experts[index] for rank in sorted(states))
                for index in range(len(states[min(states)].experts))
            )
            self.in_use = _Plan(version, sets)
        if self.in_use is None or self.in_use.version != version:
            return None
        return self.in_use.sets

    def _note_done(self, reports: group_orders.Reports) -> None:
        current = self.current
        if current and all(
            one.version == current.version for one in reports.values()
        ):
            _LOG.info('map in use', extra={'version': current.version})
            self.in_use = current
            self.current = None

    async def _give(
        self,
        orders: list[group_orders.Order],
        ranks: rank_calls.Ranks,
    ) -> None:
        now_s = clocks.monotonic_s()
        async with curio.TaskGroup() as group:
            for order in orders:
                if self.current is None or self.current.due(order, now_s):
                    await group.spawn(self._order, order, ranks[order.rank])

    async def _order(
        self,
        order: group_orders.Order,
        registration: roster.Registration,
    ) -> None:
        if not self.leadership.held():
            return
        current = self.current
        preparing = order.kind is group_orders.OrderKind.prepare
        sets = current.sets if current and preparing else ()
        if current and preparing:
            current.ordered_s[order.rank] = clocks.monotonic_s()
        status = await self.calls.order(order, registration, self.epoch, sets)
        if status:
            return
        self.cautious_deadline_s = clocks.monotonic_s() + CAUTION_S
        if current and preparing:
            current.ordered_s.pop(order.rank, None)
