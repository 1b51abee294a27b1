"""Switches a rank group to new expert maps.

Each engine of the group is a rank; a map assigns experts to the ranks. All
of this happens only while this agent has the planner lease of the group. For
a switch the group itself is held: it does not begin a given step until the
hold is released. The held step is so far ahead that the hold is normally
released before the group gets there, so that no stream pauses.
"""

import logging
from collections import abc

import attrs
import curio

from camphorstair_agent.fleet import (
    map_planning,
    order_crashes,
    rank_calls,
    round_logs,
    spread_calls,
    state,
)
from camphorstair_core.experts import group_orders, step_margins
from camphorstair_core.fleet import roster
from camphorstair_fleet import leasing
from camphorstair_runtime import clocks

# Time between rounds while no map is being switched. Larger groups have longer
# ones, so that reading their counts takes the same share of the processor.
IDLE_INTERVAL_S = 0.12
IDLE_INTERVAL_PER_RANK_S = 0.006
PREPARE_INTERVAL_S = 0.05
ORDER_INTERVAL_S = 0.01
# Most ranks that a line about missing ones names.
MAX_LOGGED_RANKS = 4
# Time after an order without a response during which orders count as
# unreliable, so that the group is held further ahead.
UNRELIABLE_ORDERS_S = 10.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Leader:
    """Runs the planner of a group.

    :ivar agent: The agent's state.
    :ivar calls: Client of the single ranks of the group.
    :ivar spread: Client of all ranks of the group for large messages.
    :ivar leadership: The planner lease.
    :ivar membership: The group and rank of the engine on this VM.
    :ivar crashes: Keeps orders that crash engines from being given again.
    :ivar maps: Plans new maps.
    :ivar current: The map that the group is being switched to, if any.
    :ivar held: The holds that the last round saw.
    :ivar hold_sent_s: When the last order to hold was sent; monotonic clock.
    :ivar pace: How fast the group makes steps and how long switches take.
    :ivar unreliable_deadline_s: Until when orders count as unreliable;
        monotonic clock.
    :ivar rounds: Logs why rounds plan no new map.
    :ivar unanswered: Orders without an answer since the last round.
    :ivar unanswered_hold_step: Step of the last order to hold that had no answer;
        0 if there was none.
    """

    agent: state.FleetAgent
    calls: rank_calls.RankCalls
    spread: spread_calls.SpreadCalls
    leadership: leasing.Leadership
    membership: roster.GroupMembership
    crashes: order_crashes.OrderCrashes
    maps: map_planning.MapPlanner
    current: map_planning.MapPlan | None = None
    held: group_orders.Holds = frozenset()
    hold_sent_s: float = 0
    pace: step_margins.GroupPace = attrs.field(factory=step_margins.GroupPace)
    unreliable_deadline_s: float = 0
    rounds: round_logs.RoundLog = attrs.field(factory=round_logs.RoundLog)
    unanswered: rank_calls.Orders = attrs.field(factory=list)
    unanswered_hold_step: int = 0

    async def run(self) -> None:
        """Run rounds until the lease is lost.

        Rounds are skipped while some ranks of the group are not registered.
        """
        while self.leadership.held():
            ranks = self.agent.group_members(self.membership.group)
            interval_s = self._idle_interval_s()
            if len(ranks) == self.membership.size:
                interval_s = await self._run_round(ranks)
            else:
                self._note_missing(round_logs.Reason.unregistered, ranks)
            await curio.sleep(interval_s)

    async def _run_round(self, ranks: rank_calls.Ranks) -> float:
        """Read the state of all ranks and send the orders that are due.

        :returns: The time until the next round, in seconds.
        """
        states = await self.calls.states(ranks)
        await self._check_unanswered(states, ranks)
        if len(states) < len(ranks):
            self._note_missing(round_logs.Reason.silent, states)
            return self._idle_interval_s()
        reports = _reports(states)
        await self._record_progress(reports)
        held_before = self.held
        self.held = group_orders.holds(reports)
        if self.held:
            await self._continue_held_group(states, ranks, held_before)
            return ORDER_INTERVAL_S
        if self.current is None:
            self.current = await self._plan(ranks, states)
        if self.current is None:
            return self._idle_interval_s()
        return await self._advance_switch(reports, ranks)

    def _note_missing(
        self, reason: round_logs.Reason, present: abc.Container[int]
    ) -> None:
        """Note a round for which some ranks are missing."""
        missing = [
            rank for rank in range(self.membership.size) if rank not in present
        ]
        self.rounds.note(
            reason,
            clocks.monotonic_s(),
            lambda: {
                'missing': len(missing),
                'first_missing': missing[:MAX_LOGGED_RANKS],
            },
        )

    async def _plan(
        self, ranks: rank_calls.Ranks, states: rank_calls.States
    ) -> map_planning.MapPlan | None:
        """Return a new map, or None if there is none to switch to now."""
        group = self.membership.group
        if not self.crashes.may_begin_switch(group):
            self.rounds.note(
                round_logs.Reason.quarantined, clocks.monotonic_s()
            )
            return None
        planned = await self.maps.plan(ranks, states)
        if planned is not None:
            self.crashes.note_begun(group)
        return planned

    async def _check_unanswered(
        self, states: rank_calls.States, ranks: rank_calls.Ranks
    ) -> None:
        """Find out whether orders without an answer have crashed engines.

        Ranks that report their state have not crashed. The others are checked
        in a task of its own, as a group that is held must not wait for it.
        """
        silent = [
            order for order in self.unanswered if order.rank not in states
        ]
        self.unanswered.clear()
        if silent:
            await curio.spawn(self.crashes.check, silent, ranks, daemon=True)

    def _idle_interval_s(self) -> float:
        """Return the time between rounds, longer for the more ranks to read."""
        return max(
            IDLE_INTERVAL_S, IDLE_INTERVAL_PER_RANK_S * self.membership.size
        )

    async def _record_progress(self, reports: group_orders.Reports) -> None:
        """Note the group's pace; end or discard the current switch."""
        epoch = max(report.epoch for report in reports.values())
        if epoch != self.maps.epoch:
            self.maps.epoch = epoch
            self.current = None
        step = max(report.step for report in reports.values())
        step_margins.record_step(self.pace, step, clocks.monotonic_s())
        current = self.current
        if current and all(
            report.version == current.version for report in reports.values()
        ):
            _LOG.info(
                'switch to the new expert map completed',
                extra={'version': current.version},
            )
            self.maps.in_use = current
            self.current = None
            await self.crashes.note_completed(self.membership.group)

    async def _continue_held_group(
        self,
        states: rank_calls.States,
        ranks: rank_calls.Ranks,
        held_before: group_orders.Holds,
    ) -> None:
        """Send the orders that let a held group continue.

        Ranks report their state after an order, so the hold is released
        without another round if all of them confirm that they are armed.
        """
        reports = _reports(states)
        orders = group_orders.orders_while_held(
            reports, self.membership.size, held_before
        )
        after = await self._send_orders(orders, ranks)
        armed = orders and orders[0].kind is group_orders.OrderKind.arm
        if armed and len(after) == len(orders):
            reports.update(_reports(after))
            orders = group_orders.orders_while_held(
                reports, self.membership.size, held_before
            )
            await self._send_orders(orders, ranks)
        if any(order.kind is group_orders.OrderKind.go for order in orders):
            step_margins.record_switch(
                self.pace, self.hold_sent_s, clocks.monotonic_s()
            )

    async def _advance_switch(
        self,
        reports: group_orders.Reports,
        ranks: rank_calls.Ranks,
    ) -> float:
        """Send the orders of the current switch that are due before its hold.

        :returns: The time until the next round, in seconds.
        """
        current = self.current
        if current is None:
            return self._idle_interval_s()
        orders = group_orders.orders_before_hold(
            reports,
            self.membership.size,
            current.version,
            # The hold is at another VM, which releases it if this one fails.
            (self.membership.rank + 1) % self.membership.size,
            self._step_margin(),
            self.unanswered_hold_step,
        )
        if not orders or not self.leadership.held():
            return ORDER_INTERVAL_S
        if orders[0].kind is group_orders.OrderKind.prepare:
            await self._prepare(current, orders, ranks)
            return PREPARE_INTERVAL_S
        self.hold_sent_s = clocks.monotonic_s()
        hold = orders[0]
        status = await self.calls.hold(hold, ranks[hold.rank], self.maps.epoch)
        if not status:
            self.unanswered_hold_step = hold.step
            self._record_unanswered([hold])
        return 0

    def _step_margin(self) -> int:
        """Return how many steps ahead the group is held."""
        margin = step_margins.margin(self.pace)
        if clocks.monotonic_s() < self.unreliable_deadline_s:
            return max(margin, group_orders.CAUTIOUS_STEP_MARGIN)
        return margin

    async def _prepare(
        self,
        current: map_planning.MapPlan,
        orders: rank_calls.Orders,
        ranks: rank_calls.Ranks,
    ) -> None:
        """Send the map to the ranks that have not received it recently."""
        due = current.due_prepares(orders, clocks.monotonic_s())
        if not due:
            return
        answered = await self.spread.prepare(
            due, ranks, self.maps.epoch, current.sets
        )
        for order in due:
            if order.rank not in answered:
                current.prepare_sent_s.pop(order.rank, None)
        unanswered = [sent for sent in due if sent.rank not in answered]
        if unanswered:
            self._record_unanswered(unanswered)

    async def _send_orders(
        self, orders: rank_calls.Orders, ranks: rank_calls.Ranks
    ) -> rank_calls.States:
        """Send orders while the lease is held; return the states afterwards."""
        if not self.leadership.held():
            return {}
        after = await self.calls.arm_or_release(orders, ranks, self.maps.epoch)
        unanswered = [order for order in orders if order.rank not in after]
        if unanswered:
            self._record_unanswered(unanswered)
        return after

    def _record_unanswered(self, orders: rank_calls.Orders) -> None:
        """Count orders as unreliable for a while after some had no response."""
        self.unanswered.extend(orders)
        self.unreliable_deadline_s = clocks.monotonic_s() + UNRELIABLE_ORDERS_S


def _reports(states: rank_calls.States) -> group_orders.Reports:
    return {rank: rank_state.report for rank, rank_state in states.items()}
