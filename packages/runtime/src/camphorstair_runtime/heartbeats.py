"""Exchanges heartbeats with a few other entries at regular intervals."""

import logging
import random
from collections import abc

import attrs
import curio

from camphorstair_core import membership, membership_messages, vms
from camphorstair_runtime import (
    announcing,
    clocks,
    links,
    node,
    peers,
    settings,
)

JITTER_FACTORS = (0.9, 1.1)
CALL_LIMIT_S = 1.0

_LOG = logging.getLogger(__name__)


@attrs.define
class HeartbeatExchange:
    """State of the task that exchanges heartbeats.

    :ivar state: The state of this process.
    :ivar on_change: Called when entries have missed their heartbeats.
    :ivar generator: Random generator for the jitter of the interval.
    :ivar watched_links: Open links to the watched entries, by name.
    """

    state: node.NodeState
    on_change: abc.Callable[[], None]
    generator: random.Random
    watched_links: dict[str, links.Link] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Announce this process, then exchange heartbeats until cancelled."""
        await announcing.announce_presence(self.state)
        while True:
            await self._run_round()
            await self._sleep()

    async def _sleep(self) -> None:
        jitter = self.generator.uniform(*JITTER_FACTORS)
        await curio.sleep(membership.HEARTBEAT_INTERVAL_S * jitter)

    async def _run_round(self) -> None:
        others = {vm.name: vm for vm in announcing.other_entries(self.state)}
        names = membership.watched(list(others), self.state.identity.name)
        members = self.state.members
        membership.expect(members, names, clocks.monotonic_s())
        for stale_name in set(self.watched_links) - set(names):
            await self.watched_links.pop(stale_name).close()
        async with curio.TaskGroup() as group:
            for name in names:
                await group.spawn(self._exchange, others[name])
        now_s = clocks.monotonic_s()
        missing = membership.mark_missing(members, names, now_s)
        listed = {vm.name for vm in self.state.listed}
        membership.remove_expired(members, listed, now_s)
        if missing:
            _LOG.warning('heartbeats missed', extra={'peers': missing})
            self.on_change()
            await announcing.announce_presence(self.state)

    async def _exchange(self, vm: vms.Vm) -> None:
        try:
            reply = await curio.timeout_after(CALL_LIMIT_S, self._call, vm)
        except (links.LinkError, curio.TaskTimeout) as error:
            _LOG.info('peer %s: no heartbeat: %r', vm.name, error)
            link = self.watched_links.pop(vm.name, None)
            if link is not None:
                await link.close()
            return
        if isinstance(reply, membership_messages.Heartbeat):
            membership.record_heartbeat(
                self.state.members,
                reply,
                clocks.monotonic_s(),
            )

    async def _call(self, vm: vms.Vm) -> object:
        link = self.watched_links.get(vm.name)
        if link is None:
            host, port = settings.split_address(vm.peers_address)
            context = self.state.link_context
            link = await links.connect(host, port, context, CALL_LIMIT_S)
            self.watched_links[vm.name] = link
        return await link.call(peers.heartbeat(self.state))
