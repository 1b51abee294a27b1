"""Keeps the VM list and the configuration of a process up to date.

A few entries of each data centre watch the platform; all processes compare
revisions with one of them at each interval, and now and then with any entry.
"""

import logging
import random
from collections import abc

import attrs
import curio

from camphorstair_core import deltas, messages, vms, watcher_selection
from camphorstair_runtime import (
    clocks,
    links,
    list_following,
    node,
    peer_links,
    platform,
    taking,
    watching,
)

FOLLOW_INTERVAL_S = 1.0
PROMPT_INTERVAL_S = 0.1
LONELY_ROUNDS = 5
START_SPREAD_S = 0.3
START_SOURCES = 3
SPREAD_SHARES = (0.8, 1.2)

_LOG = logging.getLogger(__name__)

Listener = abc.Callable[[], None]


@attrs.define
class Follower:
    """State of the tasks that follow the platform and the peers.

    :ivar state: The state of this process.
    :ivar client: The platform.
    :ivar vm_list_address: ``IP:port`` of the VM list.
    :ivar changed: Called after a new list or configuration.
    :ivar generator: Chooses whom to follow, and spreads the calls.
    :ivar sources: Who did not answer of late.
    :ivar lonely_rounds: Rounds in a row in which no peer answered.
    """

    state: node.NodeState
    client: platform.PlatformClient
    vm_list_address: str
    changed: Listener
    generator: random.Random
    sources: watcher_selection.SourceAvailability = attrs.field(
        factory=watcher_selection.SourceAvailability
    )
    lonely_rounds: int = 0
    peers: peer_links.PeerLinks = attrs.field(init=False)
    watcher: watching.PlatformWatcher = attrs.field(init=False)
    list_follower: list_following.ListFollower = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin without links."""
        self.peers = peer_links.PeerLinks(self.state.link_context)
        self.watcher = watching.PlatformWatcher(
            self.state,
            self.client,
            self.changed,
            self.generator,
        )
        self.list_follower = list_following.ListFollower(
            self.state,
            self.vm_list_address,
            self.changed,
            self.generator,
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        await curio.sleep(self.generator.uniform(0, START_SPREAD_S))
        async with curio.TaskGroup() as group:
            await group.spawn(self.list_follower.run)
            await group.spawn(self._follow_peers)
            await group.spawn(self._watch_platform)

    async def _watch_platform(self) -> None:
        while True:
            if self._calls_platform():
                await self.watcher.step()
            else:
                await self.watcher.stop()
                await curio.sleep(self._spread(FOLLOW_INTERVAL_S))

    def _calls_platform(self) -> bool:
        """Tell whether this process asks the platform itself.

        Watchers do; another one only while no peer at all answers it and it
        has no configuration.
        """
        if watcher_selection.is_watcher(self.state.listed, self._place()):
            return True
        return self._alone() and not self.state.holder.revision()

    def _alone(self) -> bool:
        return self.lonely_rounds >= LONELY_ROUNDS

    async def _follow_peers(self) -> None:
        while True:
            await self._ask_round()
            async with curio.ignore_after(self._spread(FOLLOW_INTERVAL_S)):
                await self.state.behind.wait()
            self.state.behind.clear()
            await curio.sleep(PROMPT_INTERVAL_S)

    async def _ask_round(self) -> None:
        """Compare revisions with one peer; with several at the start."""
        wanted = 1 if self.state.holder.revision() else START_SOURCES
        answered = 0
        for vm in self._candidates():
            if await self._ask(vm):
                answered += 1
            if answered == wanted:
                break
        self.lonely_rounds = 0 if answered else self.lonely_rounds + 1
        self.list_follower.alone = self._alone()
        if self.lonely_rounds == LONELY_ROUNDS:
            self._report_lonely()

    def _candidates(self) -> list[vms.Vm]:
        return watcher_selection.candidates(
            self.state.listed,
            self._place(),
            self.sources,
            clocks.monotonic_s(),
            self.generator,
        )

    async def _ask(self, vm: vms.Vm) -> bool:
        try:
            await self._compare(vm)
        except links.LinkError as error:
            _LOG.info('peer %s: %s', vm.name, error)
            watcher_selection.exclude(
                self.sources, vm.name, clocks.monotonic_s()
            )
            return False
        return True

    async def _compare(self, vm: vms.Vm) -> None:
        reply = await self.peers.call(vm, watching.request(self.state))
        if isinstance(reply, messages.ConfigurationReply):
            await self._take(vm, reply)
        await self.list_follower.compare(self.peers, vm)

    async def _take(
        self,
        vm: vms.Vm,
        reply: messages.ConfigurationReply,
    ) -> None:
        first = not self.state.holder.revision()
        try:
            taken = await taking.take_reply(self.state, reply)
        except deltas.DeltaError:
            whole = messages.ConfigurationRequest(0)
            again = await self.peers.call(vm, whole)
            if not isinstance(again, messages.ConfigurationReply):
                return
            taken = await taking.take_reply(self.state, again)
        if taken:
            if first:
                _LOG.info('first configuration comes from peer %s', vm.name)
            self.changed()

    def _report_lonely(self) -> None:
        reason = self.watcher.failure or 'not asked'
        if self.state.holder.revision():
            _LOG.warning(
                'no peer answers; revision %s stays in force; platform: %s',
                self.state.holder.revision(),
                reason,
            )
            return
        _LOG.error(
            'no configuration, nothing is served: no peer answers;'
            ' platform: %s',
            reason,
        )

    def _place(self) -> watcher_selection.ProcessLocation:
        identity = self.state.identity
        return watcher_selection.ProcessLocation(
            identity.name, identity.data_centre
        )

    def _spread(self, interval_s: float) -> float:
        return interval_s * self.generator.uniform(*SPREAD_SHARES)
