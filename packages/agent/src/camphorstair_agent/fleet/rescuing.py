"""Releases a held rank group when its planner has failed.

A planner always holds the group at a rank on another VM than its own. A held
group does not begin a given step until the hold is released. The agent on the
VM of the holding rank sees the hold. If it lasts too long, that agent completes
the map switch by the same rules as the planner; it is safe for both to do so at
the same time.
"""

import logging

import attrs
import curio

from camphorstair_agent.fleet import rank_calls, state
from camphorstair_core.experts import group_orders
from camphorstair_runtime import clocks

INTERVAL_S = 0.2
# A working planner releases a group within about 0.1 s.
HELD_LIMIT_S = 0.35
ROUND_INTERVAL_S = 0.03

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class HoldWatchdog:
    """Watches the rank on this VM and releases a hold that lasts too long.

    :ivar agent: The agent's state.
    :ivar calls: Client of the ranks of the group.
    """

    agent: state.FleetAgent
    calls: rank_calls.RankCalls

    async def run(self) -> None:
        """Check for a hold every ``INTERVAL_S`` until cancelled."""
        held_step = None
        held_since_s: float = 0
        while True:
            await curio.sleep(INTERVAL_S)
            step = self._held_step()
            now_s = clocks.monotonic_s()
            if step is None or step != held_step:
                held_step = step
                held_since_s = now_s
            elif now_s - held_since_s > HELD_LIMIT_S:
                await self._release_hold(step)

    def _held_step(self) -> int | None:
        """Return the step at which this rank holds the group, or None."""
        report = self.agent.report
        return report.rank.held_step if report and report.rank else None

    async def _release_hold(self, step: int) -> None:
        """Send orders to the ranks until the hold at a step is released."""
        registration = self.agent.own_registration()
        if registration is None or registration.membership is None:
            return
        _LOG.warning(
            'the group is held for too long; releasing it in place of its planner'
        )
        membership = registration.membership
        ranks = self.agent.group_members(membership.group)
        before: group_orders.Holds = frozenset()
        while self._held_step() == step:
            before = await self._run_round(ranks, membership.size, before)
            await curio.sleep(ROUND_INTERVAL_S)

    async def _run_round(
        self,
        ranks: rank_calls.Ranks,
        size: int,
        held_before: group_orders.Holds,
    ) -> group_orders.Holds:
        """Read all ranks and send the orders that are due.

        :param size: Number of ranks in the group.
        :param held_before: The holds that the previous round saw.
        :returns: The holds that this round saw.
        """
        states = await self.calls.states(ranks)
        reports = {
            rank: rank_state.report for rank, rank_state in states.items()
        }
        orders = group_orders.orders_while_held(reports, size, held_before)
        if orders:
            epoch = reports[orders[0].rank].epoch
            await self.calls.arm_or_release(orders, ranks, epoch)
        return group_orders.holds(reports)
