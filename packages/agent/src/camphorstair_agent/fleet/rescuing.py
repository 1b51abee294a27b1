"""Lets a held group go on when its planner is silent.

A planner holds the group at the rank of another VM than its own. That rank's
agent sees the hold; if it lasts, the agent completes the change by the same
rule as the planner, which does no harm if both do.
"""

import logging

import attrs
import curio

from camphorstair_agent.fleet import rank_calls, state
from camphorstair_core.experts import group_orders
from camphorstair_runtime import clocks

INTERVAL_S = 0.1
# A planner lets a group go within some 0.1 s.
HELD_LIMIT_S = 0.35
ROUND_INTERVAL_S = 0.03

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Rescue:
    """Watches the hold of this VM's rank.

    :ivar agent: The agent's state.
    :ivar calls: The ranks of the group.
    """

    agent: state.FleetAgent
    calls: rank_calls.RankCalls

    async def run(self) -> None:
        """Watch for ever."""
        held_step = None
        since_s: float = 0
        while True:
            await curio.sleep(INTERVAL_S)
            step = self._held_step()
            now_s = clocks.monotonic_s()
            if step is None or step != held_step:
                held_step = step
                since_s = now_s
            elif now_s - since_s > HELD_LIMIT_S:
                await self._release(step)

    def _held_step(self) -> int | None:
        report = self.agent.report
        return report.rank.held_step if report and report.rank else None

    async def _release(self, step: int) -> None:
        own = self.agent.own_registration()
        if own is None or own.membership is None:
            return
        _LOG.warning('the group is held and its planner is silent')
        membership = own.membership
        ranks = self.agent.group_members(membership.group)
        before: group_orders.Holds = frozenset()
        while self._held_step() == step:
            before = await self._complete(ranks, membership.size, before)
            await curio.sleep(ROUND_INTERVAL_S)

    async def _complete(
        self,
        ranks: rank_calls.Ranks,
        size: int,
        held_before: group_orders.Holds,
    ) -> group_orders.Holds:
        """Give the orders that are due; return the holds that were seen."""
        states = await self.calls.states(ranks, with_counts=False)
        reports = {rank: one.report for rank, one in states.items()}
        orders = group_orders.orders_while_held(reports, size, held_before)
        async with curio.TaskGroup() as group:
            for order in orders:
                epoch = reports[order.rank].epoch
                registration = ranks[order.rank]
                await group.spawn(
                    self.calls.order, order, registration, epoch, ()
                )
        return group_orders.holds(reports)
