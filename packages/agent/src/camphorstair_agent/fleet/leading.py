"""Plans expert maps for a rank group and switches the group to them.

Each engine of the group is a rank; a map assigns experts to the ranks. All
of this happens only while this agent has the planner lease of the group. For
a switch the group itself is held: it does not begin a given step until the
hold is released.
"""

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
# A rank that has not prepared a map after this time is sent the order again.
PREPARE_LIMIT_S = 2.0
# Time after an order without a response during which orders count as
# unreliable, so that the group is held further ahead.
UNRELIABLE_ORDERS_S = 10.0

_LOG = logging.getLogger(__name__)


@attrs.define
class _MapPlan:
    """An expert map of the group.

    :ivar version: Version number of the map.
    :ivar sets: The experts of each rank, by set.
    :ivar prepare_sent_s: When each rank was sent the order to prepare the map;
        monotonic clock.
    """

    version: int
    sets: group_planner.Sets
    prepare_sent_s: dict[int, float] = attrs.field(factory=dict)

    def should_send(self, order: group_orders.Order, now_s: float) -> bool:
        """Return whether to send an order now.

        An order to prepare is not repeated within ``PREPARE_LIMIT_S``, as the
        rank may still be copying experts.
        """
        if order.kind is not group_orders.OrderKind.prepare:
            return True
        prepare_sent_s = self.prepare_sent_s.get(order.rank)
        return (
            prepare_sent_s is None or now_s >= prepare_sent_s + PREPARE_LIMIT_S
        )


@attrs.define(eq=False)
class Leader:
    """Runs the planner of a group.

    :ivar agent: The agent's state.
    :ivar calls: Client of the ranks of the group.
    :ivar leadership: The planner lease.
    :ivar membership: The group and rank of the engine on this VM.
    :ivar planner: Estimates the experts' loads and computes new maps.
    :ivar current: The map that the group is being switched to, if any.
    :ivar in_use: The map last known to be in use, if any.
    :ivar held: The holds that the last round saw.
    :ivar epoch: Number of the group formation that ``current`` is for.
    :ivar planned: Number of maps planned under this lease.
    :ivar unreliable_deadline_s: Until when orders count as unreliable;
        monotonic clock.
    """

    agent: state.FleetAgent
    calls: rank_calls.RankCalls
    leadership: leasing.Leadership
    membership: roster.GroupMembership
    planner: group_planner.GroupPlanner
    current: _MapPlan | None = None
    in_use: _MapPlan | None = None
    held: group_orders.Holds = frozenset()
    epoch: int = 0
    planned: int = 0
    unreliable_deadline_s: float = 0

    async def run(self) -> None:
        """Run rounds until the lease is lost.

        Rounds are skipped while some ranks of the group are not registered.
        """
        while self.leadership.held():
            ranks = self.agent.group_members(self.membership.group)
            interval_s = IDLE_INTERVAL_S
            if len(ranks) == self.membership.size:
                interval_s = await self._run_round(ranks)
            await curio.sleep(interval_s)

    async def _run_round(self, ranks: rank_calls.Ranks) -> float:
        """Read the state of all ranks and send the orders that are due.

        :returns: The time until the next round, in seconds.
        """
        idle = self.current is None
        states = await self.calls.states(ranks, with_counts=idle)
        if len(states) < len(ranks):
            return IDLE_INTERVAL_S
        reports = {
            rank: rank_state.report for rank, rank_state in states.items()
        }
        self._discard_outdated_plan(reports)
        orders = self._next_orders(reports, states)
        await self._send_orders(orders, ranks)
        self._finish_switch(reports)
        if self.current is None and not self.held:
            return IDLE_INTERVAL_S
        kinds = {order.kind for order in orders}
        if group_orders.OrderKind.prepare in kinds:
            return PREPARE_INTERVAL_S
        return ORDER_INTERVAL_S

    def _next_orders(
        self,
        reports: group_orders.Reports,
        states: rank_calls.States,
    ) -> list[group_orders.Order]:
        """Return the orders that are due; plan a new map if there is none.

        While the group is held, only the orders that let it continue are due,
        and no map is planned.
        """
        held_before = self.held
        self.held = group_orders.holds(reports)
        if self.held:
            return group_orders.orders_while_held(
                reports, self.membership.size, held_before
            )
        if self.current is None:
            self._plan_map(states)
        if self.current is None:
            return []
        return group_orders.orders_before_hold(
            reports,
            self.membership.size,
            self.current.version,
            # The hold is at another VM, which releases it if this one fails.
            (self.membership.rank + 1) % self.membership.size,
            self._step_margin(),
        )

    def _step_margin(self) -> int:
        """Return how many steps ahead the group is held."""
        if clocks.monotonic_s() < self.unreliable_deadline_s:
            return group_orders.CAUTIOUS_STEP_MARGIN
        return group_orders.STEP_MARGIN

    def _discard_outdated_plan(self, reports: group_orders.Reports) -> None:
        """Discard a plan made for an earlier formation of the group."""
        epoch = max(report.epoch for report in reports.values())
        if epoch != self.epoch:
            self.epoch = epoch
            self.current = None

    def _plan_map(self, states: rank_calls.States) -> None:
        """Plan a new map if the map in use is known and the gain is enough."""
        counts = {
            rank: rank_state.counts
            for rank, rank_state in states.items()
            if rank_state.counts
        }
        sets = self._sets_in_use(states)
        if not counts or sets is None:
            return
        self.planner.note(counts)
        paces = [states[rank].pace for rank in sorted(states)]
        planned_sets = self.planner.plan(sets, paces)
        if planned_sets is None:
            return
        self.planned += 1
        version = group_orders.version_number(
            self.leadership.revision, self.planned
        )
        self.current = _MapPlan(version, planned_sets)
        skew = self.planner.skew(sets, paces)
        self.agent.meters.skew.record(skew)
        _LOG.info(
            'new expert map planned',
            extra={
                'version': version,
                'skew': round(skew, 3),
                'expected': round(self.planner.skew(planned_sets, paces), 3),
                'slowest_pace': max(paces),
            },
        )

    def _sets_in_use(
        self, states: rank_calls.States
    ) -> group_planner.Sets | None:
        """Return the map in use, or None if it is not known.

        It is not known while the ranks report different versions, or until all
        ranks have reported their experts.
        """
        versions = {rank_state.report.version for rank_state in states.values()}
        if len(versions) > 1:
            return None
        version = versions.pop()
        if all(rank_state.experts for rank_state in states.values()):
            sets = tuple(
                tuple(states[rank].experts[index] for rank in sorted(states))
                for index in range(len(states[min(states)].experts))
            )
            self.in_use = _MapPlan(version, sets)
        if self.in_use is None or self.in_use.version != version:
            return None
        return self.in_use.sets

    def _finish_switch(self, reports: group_orders.Reports) -> None:
        """Finish the current plan when every rank uses its version."""
        current = self.current
        if current and all(
            report.version == current.version for report in reports.values()
        ):
            _LOG.info(
                'switch to the new expert map completed',
                extra={'version': current.version},
            )
            self.in_use = current
            self.current = None

    async def _send_orders(
        self,
        orders: list[group_orders.Order],
        ranks: rank_calls.Ranks,
    ) -> None:
        """Send orders to the ranks concurrently."""
        now_s = clocks.monotonic_s()
        async with curio.TaskGroup() as group:
            for order in orders:
                if self.current is None or self.current.should_send(
                    order, now_s
                ):
                    await group.spawn(
                        self._send_order, order, ranks[order.rank]
                    )

    async def _send_order(
        self,
        order: group_orders.Order,
        registration: roster.Registration,
    ) -> None:
        """Send an order, if the lease is still held.

        An order without a response starts the time in which orders count as
        unreliable. An order to prepare is then sent again in the next round.
        """
        if not self.leadership.held():
            return
        current = self.current
        is_prepare = order.kind is group_orders.OrderKind.prepare
        sets = current.sets if current and is_prepare else ()
        if current and is_prepare:
            current.prepare_sent_s[order.rank] = clocks.monotonic_s()
        status = await self.calls.order(order, registration, self.epoch, sets)
        if status:
            return
        self.unreliable_deadline_s = clocks.monotonic_s() + UNRELIABLE_ORDERS_S
        if current and is_prepare:
            current.prepare_sent_s.pop(order.rank, None)
