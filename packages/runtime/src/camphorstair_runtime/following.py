"""Keeps the VM list and the configuration of a process up to date.

In each data centre a few entries (the watchers) watch the platform. Every
process compares revisions with a peer at each interval: usually a watcher of
its own data centre, at times another entry.
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
MIN_FOLLOW_INTERVAL_S = 0.1
MAX_UNANSWERED_ROUNDS = 5
MAX_START_DELAY_S = 0.3
START_PEERS = 3
JITTER_FACTORS = (0.8, 1.2)

_LOG = logging.getLogger(__name__)

Listener = abc.Callable[[], None]


@attrs.define
class Follower:
    """State of the tasks that follow the platform and the peers.

    :ivar state: The state of this process.
    :ivar client: The platform.
    :ivar vm_list_address: ``IP:port`` of the VM list.
    :ivar on_change: Called after a new VM list or configuration is in force.
    :ivar generator: Random generator for the choice of peers and the jitter.
    :ivar peer_availability: Records which peers did not answer recently; they are
        avoided for a time.
    :ivar unanswered_rounds: Consecutive rounds in which no peer answered.
    :ivar peers: Links to the peers.
    :ivar watcher: Watches the configuration at the platform.
    :ivar list_follower: Keeps the VM list up to date.
    """

    state: node.NodeState
    client: platform.PlatformClient
    vm_list_address: str
    on_change: Listener
    generator: random.Random
    peer_availability: watcher_selection.SourceAvailability = attrs.field(
        factory=watcher_selection.SourceAvailability
    )
    unanswered_rounds: int = 0
    peers: peer_links.PeerLinks = attrs.field(init=False)
    watcher: watching.PlatformWatcher = attrs.field(init=False)
    list_follower: list_following.ListFollower = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the peer links, the watcher and the list follower."""
        self.peers = peer_links.PeerLinks(self.state.link_context)
        self.watcher = watching.PlatformWatcher(
            self.state,
            self.client,
            self.on_change,
            self.generator,
        )
        self.list_follower = list_following.ListFollower(
            self.state,
            self.vm_list_address,
            self.on_change,
            self.generator,
        )

    async def run(self) -> None:
        """Follow the platform and the peers until cancelled."""
        await curio.sleep(self.generator.uniform(0, MAX_START_DELAY_S))
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
                await curio.sleep(self._with_jitter(FOLLOW_INTERVAL_S))

    def _calls_platform(self) -> bool:
        """Return whether this process calls the platform itself.

        Watchers always do. Other processes do only while they have no
        configuration and no peer answers.
        """
        if watcher_selection.is_watcher(
            self.state.listed, self._own_location()
        ):
            return True
        return self._no_peer_answers() and not self.state.holder.revision()

    def _no_peer_answers(self) -> bool:
        return self.unanswered_rounds >= MAX_UNANSWERED_ROUNDS

    async def _follow_peers(self) -> None:
        while True:
            await self._compare_with_peers()
            async with curio.ignore_after(self._with_jitter(FOLLOW_INTERVAL_S)):
                await self.state.refresh_requested.wait()
            self.state.refresh_requested.clear()
            await curio.sleep(MIN_FOLLOW_INTERVAL_S)

    async def _compare_with_peers(self) -> None:
        """Compare revisions with one peer.

        While this process has no configuration, stop only after
        ``START_PEERS`` peers have answered or all candidates were tried.
        """
        required = 1 if self.state.holder.revision() else START_PEERS
        answered = 0
        for vm in self._candidates():
            if await self._try_compare(vm):
                answered += 1
            if answered == required:
                break
        self.unanswered_rounds = 0 if answered else self.unanswered_rounds + 1
        self.list_follower.no_peer_answers = self._no_peer_answers()
        if self.unanswered_rounds == MAX_UNANSWERED_ROUNDS:
            self._report_no_peer_answers()

    def _candidates(self) -> list[vms.Vm]:
        return watcher_selection.candidates(
            self.state.listed,
            self._own_location(),
            self.peer_availability,
            clocks.monotonic_s(),
            self.generator,
        )

    async def _try_compare(self, vm: vms.Vm) -> bool:
        try:
            await self._compare(vm)
        except links.LinkError as error:
            _LOG.info('peer %s: %s', vm.name, error)
            watcher_selection.exclude(
                self.peer_availability, vm.name, clocks.monotonic_s()
            )
            return False
        return True

    async def _compare(self, vm: vms.Vm) -> None:
        reply = await self.peers.call(vm, watching.request(self.state))
        if isinstance(reply, messages.ConfigurationReply):
            await self._apply_reply(vm, reply)
        await self.list_follower.compare(self.peers, vm)

    async def _apply_reply(
        self,
        vm: vms.Vm,
        reply: messages.ConfigurationReply,
    ) -> None:
        first = not self.state.holder.revision()
        try:
            taken = await taking.apply_configuration_reply(self.state, reply)
        except deltas.DeltaError:
            whole = messages.ConfigurationRequest(0)
            full_reply = await self.peers.call(vm, whole)
            if not isinstance(full_reply, messages.ConfigurationReply):
                return
            taken = await taking.apply_configuration_reply(
                self.state, full_reply
            )
        if taken:
            if first:
                _LOG.info('first configuration comes from peer %s', vm.name)
            self.on_change()

    def _report_no_peer_answers(self) -> None:
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

    def _own_location(self) -> watcher_selection.ProcessLocation:
        identity = self.state.identity
        return watcher_selection.ProcessLocation(
            identity.name, identity.data_centre
        )

    def _with_jitter(self, interval_s: float) -> float:
        return interval_s * self.generator.uniform(*JITTER_FACTORS)
