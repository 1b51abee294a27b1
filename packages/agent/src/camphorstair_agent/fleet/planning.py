"""Acquires the planner lease of the engine's rank group and plans under it."""

import logging

import attrs
import curio

from camphorstair_agent.fleet import (
    leading,
    map_planning,
    order_crashes,
    rank_calls,
    round_logs,
    spread_calls,
    state,
)
from camphorstair_core.experts import group_planner
from camphorstair_core.fleet import roster
from camphorstair_fleet import keys, leasing
from camphorstair_platform import store, store_errors

LEASE_S = 3.0
RENEW_INTERVAL_S = 0.8
# Delay per rank before an attempt, so that the agent of the lowest rank
# usually gets the lease.
ACQUIRE_DELAY_S = 0.15
ACQUIRE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class PlannerCandidate:
    """Makes this agent a candidate for the planner of its rank group.

    :ivar agent: The agent's state.
    :ivar client: Client of the store, which holds the lease.
    :ivar calls: Client of the ranks of the group.
    :ivar crashes: Keeps orders that crash engines from being given again.
    """

    agent: state.FleetAgent
    client: store.StoreClient
    calls: rank_calls.RankCalls
    crashes: order_crashes.OrderCrashes

    async def run(self) -> None:
        """Until cancelled, try to acquire the lease; plan while it is held."""
        while True:
            registration = self.agent.own_registration()
            if registration is not None and registration.membership is not None:
                await curio.sleep(
                    ACQUIRE_DELAY_S * registration.membership.rank
                )
                await self._plan_under_lease(registration.membership)
            await curio.sleep(ACQUIRE_INTERVAL_S)

    async def _plan_under_lease(
        self, membership: roster.GroupMembership
    ) -> None:
        """Acquire the lease if it is free, and plan until it is lost.

        Does nothing if the service has no experts.
        """
        profile = self.agent.profile()
        if profile is None or not profile.expert_count:
            return
        leadership = await self._acquire(membership.group)
        if leadership is None:
            return
        spread = spread_calls.SpreadCalls(self.calls)
        planner = group_planner.GroupPlanner(
            profile.place_count, profile.spare_count
        )
        rounds = round_logs.RoundLog()
        leader = leading.Leader(
            self.agent,
            self.calls,
            spread,
            leadership,
            membership,
            self.crashes,
            map_planning.MapPlanner(
                self.agent.meters, spread, leadership, planner, rounds
            ),
            rounds=rounds,
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_renew_until_lost, leadership)
            leader_task = await group.spawn(leader.run)
        if leader_task.exception is not None:
            _LOG.error('the planner failed', exc_info=leader_task.exception)
        _LOG.warning('stopped planning for group %s', membership.group)

    async def _acquire(self, group: str) -> leasing.Leadership | None:
        """Acquire the planner lease of a group.

        If an earlier process on this VM still holds the lease, its lease is
        ended first.

        :returns: The lease; None if another VM holds it or the store fails.
        """
        own_name = self.agent.settings.name
        if self.agent.planners.get(group, own_name) != own_name:
            return None
        leadership = leasing.Leadership(
            self.client, keys.planner(group), own_name.encode(), LEASE_S
        )
        try:
            if group in self.agent.planners:
                await leadership.end_previous_lease()
            taken = await leadership.acquire()
        except store_errors.StoreError as error:
            _LOG.warning(
                'acquiring the planner lease of group %s failed: %s',
                group,
                error,
            )
            return None
        if not taken:
            return None
        _LOG.info('acquired the planner lease of group %s', group)
        return leadership


async def _renew_until_lost(leadership: leasing.Leadership) -> None:
    """Renew the lease periodically until it is lost."""
    while leadership.held():
        await curio.sleep(RENEW_INTERVAL_S)
        try:
            await leadership.renew()
        except store_errors.StoreError as error:
            _LOG.warning('renewing the planner lease failed: %s', error)
