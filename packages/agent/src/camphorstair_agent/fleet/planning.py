"""Takes the lease of this engine's rank group, and plans while it is held."""

import logging

import attrs
import curio

from camphorstair_agent.fleet import leading, rank_calls, state
from camphorstair_core.experts import group_planner
from camphorstair_core.fleet import roster
from camphorstair_fleet import keys, leasing
from camphorstair_platform import store

LEASE_S = 3.0
RENEW_INTERVAL_S = 0.8
# Agents of higher ranks leave the lease to those of lower ones.
ACQUIRE_DELAY_S = 0.15
ACQUIRE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Planning:
    """The candidacy of this agent.

    :ivar agent: The agent's state.
    :ivar client: The store.
    :ivar calls: The ranks of the group.
    """

    agent: state.FleetAgent
    client: store.StoreClient
    calls: rank_calls.RankCalls

    async def run(self) -> None:
        """Plan whenever the lease is to be had."""
        while True:
            own = self.agent.own_registration()
            if own is not None and own.membership is not None:
                await curio.sleep(ACQUIRE_DELAY_S * own.membership.rank)
                await self._stand(own.membership)
            await curio.sleep(ACQUIRE_INTERVAL_S)

    async def _stand(self, membership: roster.GroupMembership) -> None:
        """Take the lease if nobody has it, and plan until it is lost."""
        profile = self.agent.profile()
        if profile is None or not profile.expert_count:
            return
        leadership = await self._acquire(membership.group)
        if leadership is None:
            return
        leader = leading.Leader(
            self.agent,
            self.calls,
            leadership,
            membership,
            group_planner.GroupPlanner(
                profile.place_count, profile.spare_count
            ),
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_keep, leadership)
            leads = await group.spawn(leader.run)
        if leads.exception is not None:
            _LOG.error('planning ended', exc_info=leads.exception)
        _LOG.warning('no longer planner of group %s', membership.group)

    async def _acquire(self, group: str) -> leasing.Leadership | None:
        own = self.agent.settings.name
        if self.agent.planners.get(group, own) != own:
            return None
        leadership = leasing.Leadership(
            self.client, keys.planner(group), own.encode(), LEASE_S
        )
        try:
            if group in self.agent.planners:
                await leadership.end_former()
            taken = await leadership.acquire()
        except store.StoreError as error:
            _LOG.warning('lease of group %s not taken: %s', group, error)
            return None
        if not taken:
            return None
        _LOG.info('planner of group %s', group)
        return leadership


async def _keep(leadership: leasing.Leadership) -> None:
    """Renew the lease until it is lost."""
    while leadership.held():
        await curio.sleep(RENEW_INTERVAL_S)
        try:
            await leadership.renew()
        except store.StoreError as error:
            _LOG.warning('lease not renewed: %s', error)
