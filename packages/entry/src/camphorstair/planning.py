"""Switch the ranks of a group to another expert map.

The holder of a group's lease sends the orders;
``camphorstair_core.experts.switch`` decides which order is allowed next. A
round sends one request to each agent. Rounds are repeated until every agent has
replied as the current phase requires, so lost and late replies only cost time.
No order is sent after the lease's deadline. Every order carries the fencing
number of its lease: an agent that was fenced with a number refuses orders with
a lower one.
"""

import logging
from collections import abc

import attrs
import curio
import msgspec

from camphorstair_core import decoding, order_messages
from camphorstair_core.experts import fencing, switch
from camphorstair_runtime import links

ROUND_INTERVAL_S = 0.05

_LOG = logging.getLogger(__name__)

Ask = abc.Callable[[str, object], abc.Awaitable[object]]
IsLeaseHeld = abc.Callable[[], bool]


class LeaseLostError(Exception):
    """The lease has ended, or a later holder has fenced an agent."""


@attrs.define
class GroupSwitch:
    """Sends the orders of one lease holder that switches a group's map.

    :ivar group: Name of the group.
    :ivar agents: Names of the group's agents.
    :ivar ask: Sends a message to an agent and returns the reply; raises
        ``LinkError`` without a reply.
    :ivar is_lease_held: Returns whether the lease is held now.
    :ivar holder: State of the switch, for ``experts.switch``.
    :ivar maps: The expert maps by version, as JSON for the engines.
    :ivar boots: Boot identifier of each agent, as last reported.
    :ivar reports: Last report of each agent's rank.
    :ivar round_interval_s: Time between two rounds.
    """

    group: str
    agents: list[str]
    ask: Ask
    is_lease_held: IsLeaseHeld
    holder: switch.Holder
    maps: dict[int, msgspec.Raw]
    boots: dict[str, str] = attrs.field(factory=dict)
    reports: dict[str, switch.RankReport] = attrs.field(factory=dict)
    round_interval_s: float = ROUND_INTERVAL_S

    async def switch_to(self, version: int) -> None:
        """Finish the switch of an earlier holder, then switch to a version.

        :param version: The new version. It must be higher than any version
            that was ever planned.
        :raises LeaseLostError: if this holder may not continue.
        """
        await self._finish_earlier()
        self.holder = switch.begin(self.holder, version)
        while self.holder.phase is switch.Phase.staging:
            await self._send_orders(order_messages.OrderKind.stage_map)
            self.holder = switch.after_staging(
                self.holder, self._rank_reports()
            )
        await self._commit()

    async def restore_cold_ranks(self) -> None:
        """Restore the map of the last switch at ranks that report no map.

        :raises LeaseLostError: if this holder may not continue.
        """
        await self._commit()

    async def _finish_earlier(self) -> None:
        """Fence all agents and finish the switch of an earlier holder."""
        await self._fence_agents()
        self.holder = switch.after_fencing(self.holder)
        while self.holder.phase < switch.Phase.finishing:
            await self._fence_agents()
            self.holder = switch.after_reading(
                self.holder, self._rank_reports()
            )
        if self.holder.phase is switch.Phase.finishing:
            _LOG.info(
                'finishing the switch to version %s of an earlier holder',
                self.holder.target,
            )
            await self._commit()
            self.holder = switch.after_finishing(self.holder)

    async def _commit(self) -> None:
        """Send commit orders until all ranks have switched."""
        await self._send_orders(order_messages.OrderKind.commit_map)
        while not switch.all_switched(self.holder, self._rank_reports()):
            await curio.sleep(self.round_interval_s)
            await self._send_orders(order_messages.OrderKind.commit_map)

    def _rank_reports(self) -> list[switch.RankReport]:
        return [self.reports[name] for name in self.agents]

    async def _fence_agents(self) -> None:
        """Fence every agent with the fencing number and read its report.

        Repeat until each agent has replied once.
        """
        waiting = list(self.agents)
        while waiting:
            self._check_lease()
            waiting = [
                name for name in waiting if not await self._read_report(name)
            ]
            if waiting:
                await curio.sleep(self.round_interval_s)

    async def _read_report(self, name: str) -> bool:
        """Read and record the report of a rank; return whether it succeeded."""
        request = order_messages.FenceRequest(
            self.group,
            self.holder.fencing,
            self.holder.phase.value,
        )
        try:
            reply = await self.ask(name, request)
        except links.LinkError as error:
            _LOG.debug('%s: %s', name, error)
            return False
        if not isinstance(reply, order_messages.FenceReply):
            return False
        self._check_refusal(name, reply.decision)
        return self._record_report(name, reply)

    def _record_report(
        self, name: str, reply: order_messages.FenceReply
    ) -> bool:
        if reply.decision != fencing.Decision.passed:
            return False
        try:
            report = decoding.from_json(reply.engine, switch.RankReport)
        except decoding.FormatError as error:
            _LOG.warning('%s: invalid report of the rank: %s', name, error)
            return False
        self.boots[name] = reply.boot
        self.reports[name] = report
        return True

    async def _send_orders(self, kind: order_messages.OrderKind) -> None:
        """Send every agent an order, between two readings of all reports.

        A rank without a map gets the order to restore its maps instead.
        """
        await self._fence_agents()
        for name in self.agents:
            self._check_lease()
            await self._send_order(name, kind)
        await self._fence_agents()

    async def _send_order(
        self, name: str, kind: order_messages.OrderKind
    ) -> None:
        report = self.reports[name]
        if report.current is None:
            kind = order_messages.OrderKind.restore_map
        order = order_messages.Order(
            self.group,
            self.boots[name],
            self.holder.fencing,
            self.holder.phase.value,
            kind,
            self._order_body(kind),
        )
        try:
            reply = await self.ask(name, order)
        except links.LinkError as error:
            _LOG.debug('%s: %s', name, error)
            return
        if isinstance(reply, order_messages.OrderReply):
            self._check_refusal(name, reply.decision)

    def _order_body(self, kind: order_messages.OrderKind) -> bytes:
        base, target = self.holder.base, self.holder.target
        versions = {'version': target, 'base': base}
        if kind is order_messages.OrderKind.commit_map:
            return msgspec.json.encode(versions)
        known_maps = {
            str(version): self.maps[version]
            for version in (base, target)
            if version in self.maps
        }
        return msgspec.json.encode({**versions, 'maps': known_maps})

    def _check_lease(self) -> None:
        if not self.is_lease_held():
            raise LeaseLostError(f'lease of group "{self.group}" has ended')

    def _check_refusal(self, name: str, decision: str) -> None:
        if decision == fencing.Decision.refused:
            raise LeaseLostError(f'agent "{name}" was fenced by a later holder')
