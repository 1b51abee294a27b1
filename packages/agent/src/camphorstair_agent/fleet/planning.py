"""Plans for the rank group of this agent's engine while it holds its lease."""

import logging

import attrs
import curio

from camphorstair_agent.fleet import rank_calls, state
from camphorstair_core.experts import (
    group_orders,
    group_planner,
)
from camphorstair_core.fleet import roster
from camphorstair_fleet import keys, leasing
from camphorstair_platform import store
from camphorstair_runtime import clocks

LEASE_S = 3.0
RENEW_INTERVAL_S = 0.8
IDLE_INTERVAL_S = 0.12
PREPARE_INTERVAL_S = 0.05
ORDER_INTERVAL_S = 0.01
# Agents of higher ranks leave the lease to those of lower ones.
ACQUIRE_DELAY_S = 0.15
ACQUIRE_INTERVAL_S = 1.0
# A copy that takes longer than this is ordered again.
PREPARE_LIMIT_S = 2.0

_LOG = logging.getLogger(__name__)


@attrs.define
class _Plan:
    """The map that is being put in use.

    :ivar version: Its number.
    :ivar sets: Its content.
    :ivar ordered_s: When each rank was told to prepare it.
    """

    version: int
    sets: group_planner.Sets
    ordered_s: dict[int, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Planning:
    """The planner of a group.

    :ivar agent: The agent's state.
    :ivar client: The store.
    :ivar calls: The ranks of the group.
    :ivar leadership: The hold on the group; None before the first.
    :ivar planner: What is known of the experts' loads.
    :ivar current: The plan that is being put in use, if any.
    :ivar in_use: The map in use, as far as it is known.
    :ivar held: The holds that the last round saw.
    :ivar epoch: The formation of the group that the plan is for.
    :ivar planned: Number of maps planned under this lease.
    """

    agent: state.FleetAgent
    client: store.StoreClient
    calls: rank_calls.RankCalls
    leadership: leasing.Leadership | None = None
    planner: group_planner.GroupPlanner | None = None
    current: _Plan | None = None
    in_use: _Plan | None = None
    held: group_orders.Holds = frozenset()
    epoch: int = 0
    planned: int = 0

    async def run(self) -> None:
        """Plan whenever the lease is to be had."""
        while True:
            membership = self._membership()
            if membership is None:
                await curio.sleep(ACQUIRE_INTERVAL_S)
                continue
            await curio.sleep(ACQUIRE_DELAY_S * membership.rank)
            if await self._acquire(membership.group):
                await self._lead(membership)
            await curio.sleep(ACQUIRE_INTERVAL_S)

    def _membership(self) -> roster.GroupMembership | None:
        own = self.agent.own_registration()
        return own.membership if own else None

    async def _acquire(self, group: str) -> bool:
        if group in self.agent.planners:
            return False
        holder = self.agent.settings.name.encode()
        leadership = leasing.Leadership(
            self.client, keys.planner(group), holder, LEASE_S
        )
        try:
            taken = await leadership.acquire()
        except store.StoreError as error:
            _LOG.warning('lease of group %s not taken: %s', group, error)
            return False
        if taken:
            self.leadership = leadership
            self.planned = 0
            self.current = None
            self.in_use = None
            self.held = frozenset()
            _LOG.info('planner of group %s', group)
        return taken

    async def _lead(self, membership: roster.GroupMembership) -> None:
        """Plan until the lease is lost."""
        profile = self.agent.profile()
        if profile is None or not profile.expert_count:
            return
        self.planner = group_planner.GroupPlanner(profile.place_count)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._keep_lease)
            await group.spawn(self._plan, membership, profile.spare_count)
        _LOG.warning('no longer planner of group %s', membership.group)

    async def _keep_lease(self) -> None:
        while True:
            await curio.sleep(RENEW_INTERVAL_S)
            try:
                if not await self.leadership.renew():
                    return
            except store.StoreError as error:
                _LOG.warning('lease not renewed: %s', error)

    async def _plan(
        self,
        membership: roster.GroupMembership,
        spare: int,
    ) -> None:
        while self.leadership.held():
            ranks = self.agent.group_members(membership.group)
            interval_s = IDLE_INTERVAL_S
            if len(ranks) == membership.size:
                interval_s = await self._round(ranks, spare)
            await curio.sleep(interval_s)

    async def _round(
        self,
        ranks: rank_calls.Ranks,
        spare: int,
    ) -> float:
        """Look at all ranks once and give the orders that are due.

        :returns: The time until the next round.
        """
        idle = self.current is None
        states = await self.calls.states(ranks, with_counts=idle)
        if len(states) < len(ranks) or not states:
            return IDLE_INTERVAL_S
        self._note_epoch(states)
        reports = {rank: one.report for rank, one in states.items()}
        held_before, self.held = self.held, group_orders.holds(reports)
        if idle and not self.held:
            self._plan_next(states, spare)
        if self.held:
            orders = group_orders.orders_while_held(
                reports, len(ranks), held_before
            )
        else:
            orders = self._orders_before_hold(reports, len(ranks))
        await self._give(orders, ranks)
        self._note_done(reports)
        if self.current is None and not self.held:
            return IDLE_INTERVAL_S
        preparing = any(
            one.kind is group_orders.OrderKind.prepare for one in orders
        )
        return PREPARE_INTERVAL_S if preparing else ORDER_INTERVAL_S

    def _orders_before_hold(
        self,
        reports: dict[int, group_orders.RankReport],
        size: int,
    ) -> list[group_orders.Order]:
        if self.current is None:
            return []
        return group_orders.orders_before_hold(
            reports, size, self.current.version, self._hold_rank(size)
        )

    def _hold_rank(self, size: int) -> int:
        """Return the rank that holds the group: one of another VM."""
        membership = self._membership()
        own = membership.rank if membership else 0
        return (own + 1) % size

    def _note_epoch(self, states: rank_calls.States) -> None:
        """Drop a plan that was made for an earlier formation."""
        epoch = max(one.report.epoch for one in states.values())
        if epoch != self.epoch:
            self.epoch = epoch
            self.current = None

    def _plan_next(self, states: rank_calls.States, spare: int) -> None:
        counts = {
            rank: one.counts for rank, one in states.items() if one.counts
        }
        sets = self._sets(states)
        if not counts or sets is None:
            return
        self.planner.note(counts)
        planned = self.planner.plan(sets, spare)
        if planned is None:
            return
        self.planned += 1
        version = group_orders.version_number(
            self.leadership.revision, self.planned
        )
        self.current = _Plan(version, planned)
        _LOG.info(
            'new map',
            extra={
                'version': version,
                'skew': round(self.planner.skew(sets), 3),
                'expected': round(self.planner.skew(planned), 3),
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

    def _is_due(self, order: group_orders.Order) -> bool:
        """Tell whether an order is not just being carried out."""
        if order.kind is not group_orders.OrderKind.prepare:
            return True
        now_s = clocks.monotonic_s()
        ordered_s = self.current.ordered_s.get(order.rank)
        if ordered_s is not None and now_s < ordered_s + PREPARE_LIMIT_S:
            return False
        self.current.ordered_s[order.rank] = now_s
        return True

    def _note_done(
        self,
        reports: dict[int, group_orders.RankReport],
    ) -> None:
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
        async with curio.TaskGroup() as group:
            for order in orders:
                if self._is_due(order):
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
        status = await self.calls.order(order, registration, self.epoch, sets)
        if preparing and current and not status:
            current.ordered_s.pop(order.rank, None)
