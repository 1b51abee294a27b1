"""Takes the ranks of a group through a switch of their expert map.

The holder of a group's lease gives the orders; what may be ordered next is
decided by ``camphorstair_core.experts.switch``. A round asks every agent until
all have answered as the phase needs it, so lost and late answers only cost
time. Nothing is ordered after the lease's deadline.
"""

import logging
from collections import abc

import attrs
import curio
import msgspec

from camphorstair_core import order_messages
from camphorstair_core.experts import fencing, switch
from camphorstair_runtime import links

ROUND_INTERVAL_S = 0.05

_LOG = logging.getLogger(__name__)

Ask = abc.Callable[[str, object], abc.Awaitable[object]]
StillHeld = abc.Callable[[], bool]


class LeaseLostError(Exception):
    """The lease ended, or a later holder has fenced an agent."""


@attrs.define
class GroupSwitch:
    """The shell of one holder.

    :ivar group: The group.
    :ivar agents: Its agents by name.
    :ivar ask: Asks an agent one thing; raises ``LinkError`` without an answer.
    :ivar still_held: Tells whether the lease is held now.
    :ivar holder: The decisions' state.
    :ivar maps: The maps by version, as JSON for the engines.
    :ivar boots: Run of each agent, as it last said.
    :ivar reports: Last report of each agent's rank.
    :ivar round_interval_s: Time between two rounds.
    """

    group: str
    agents: list[str]
    ask: Ask
    still_held: StillHeld
    holder: switch.Holder
    maps: dict[int, msgspec.Raw]
    boots: dict[str, str] = attrs.field(factory=dict)
    reports: dict[str, switch.RankReport] = attrs.field(factory=dict)
    round_interval_s: float = ROUND_INTERVAL_S

    async def switch_to(self, version: int) -> None:
        """Settle what an earlier holder began, then switch to a version.

        :param version: Higher than any version that was ever planned.
        :raises LeaseLostError: if this holder may not go on.
        """
        await self._settle()
        self.holder = switch.begin(self.holder, version)
        while self.holder.phase is switch.Phase.staging:
            await self._round(order_messages.OrderKind.stage_map)
            self.holder = switch.after_staging(self.holder, self._known())
        await self._commit()

    async def tend(self) -> None:
        """Give ranks that came back cold the map of the last switch.

        :raises LeaseLostError: if this holder may not go on.
        """
        await self._commit()

    async def _settle(self) -> None:
        await self._fence()
        self.holder = switch.after_fencing(self.holder)
        while self.holder.phase < switch.Phase.finishing:
            await self._fence()
            self.holder = switch.after_reading(self.holder, self._known())
        if self.holder.phase is switch.Phase.finishing:
            _LOG.info('finishing version %s', self.holder.target)
            await self._commit()
            self.holder = switch.after_finishing(self.holder)

    async def _commit(self) -> None:
        await self._round(order_messages.OrderKind.commit_map)
        while not switch.all_switched(self.holder, self._known()):
            await curio.sleep(self.round_interval_s)
            await self._round(order_messages.OrderKind.commit_map)

    def _known(self) -> list[switch.RankReport]:
        return [self.reports[name] for name in self.agents]

    async def _fence(self) -> None:
        """Have every agent take over the number and report, once each."""
        waiting = list(self.agents)
        while waiting:
            self._check_lease()
            waiting = [name for name in waiting if not await self._read(name)]
            if waiting:
                await curio.sleep(self.round_interval_s)

    async def _read(self, name: str) -> bool:
        """Read a rank's report; tell whether it was to be had."""
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
        return self._keep(name, reply)

    def _keep(self, name: str, reply: order_messages.FenceReply) -> bool:
        if reply.decision != fencing.Decision.passed:
            return False
        try:
            report = msgspec.json.decode(reply.engine, type=switch.RankReport)
        except msgspec.DecodeError as error:
            _LOG.warning('%s: report of its rank: %s', name, error)
            return False
        self.boots[name] = reply.boot
        self.reports[name] = report
        return True

    async def _round(self, kind: order_messages.OrderKind) -> None:
        """Give every agent an order, and a cold rank its maps instead."""
        await self._fence()
        for name in self.agents:
            self._check_lease()
            await self._order(name, kind)
        await self._fence()

    async def _order(self, name: str, kind: order_messages.OrderKind) -> None:
        report = self.reports[name]
        if report.current is None:
            kind = order_messages.OrderKind.restore_map
        order = order_messages.Order(
            self.group,
            self.boots[name],
            self.holder.fencing,
            self.holder.phase.value,
            kind,
            self._body(kind),
        )
        try:
            reply = await self.ask(name, order)
        except links.LinkError as error:
            _LOG.debug('%s: %s', name, error)
            return
        if isinstance(reply, order_messages.OrderReply):
            self._check_refusal(name, reply.decision)

    def _body(self, kind: order_messages.OrderKind) -> bytes:
        base, target = self.holder.base, self.holder.target
        versions = {'version': target, 'base': base}
        if kind is order_messages.OrderKind.commit_map:
            return msgspec.json.encode(versions)
        found = {
            str(version): self.maps[version]
            for version in (base, target)
            if version in self.maps
        }
        return msgspec.json.encode({**versions, 'maps': found})

    def _check_lease(self) -> None:
        if not self.still_held():
            raise LeaseLostError(f'lease of group "{self.group}" has ended')

    def _check_refusal(self, name: str, decision: str) -> None:
        if decision == fencing.Decision.refused:
            raise LeaseLostError(f'{name} obeys a later holder')
