"""Keeps the VM list and the configuration of a process up to date."""

import logging
import random
from collections import abc

import attrs
import curio

from camphorstair_core import configuration, messages, vms
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    links,
    node,
    peers,
    platform,
    settings,
    vm_list,
)

FOLLOW_INTERVAL_S = 0.5
PEER_LIMIT_S = 1.0
WATCHERS = 2
SPREAD_SHARES = (0.8, 1.2)

_LOG = logging.getLogger(__name__)

Listener = abc.Callable[[], None]


@attrs.define
class Follower:
    """State of the task that follows the platform or a peer.

    :ivar state: The state of this process.
    :ivar client: The platform.
    :ivar vm_list_address: ``IP:port`` of the VM list.
    :ivar changed: Called after a new list or configuration.
    :ivar generator: Chooses whom to follow, and spreads the calls.
    """

    state: node.NodeState
    client: platform.PlatformClient
    vm_list_address: str
    changed: Listener
    generator: random.Random

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._refresh_list()
            if self._watches():
                await self._read_platform()
            else:
                await self._read_peer()
            spread = self.generator.uniform(*SPREAD_SHARES)
            await curio.sleep(FOLLOW_INTERVAL_S * spread)

    async def _refresh_list(self) -> None:
        try:
            self.state.listed = await vm_list.read(self.vm_list_address)
        except vm_list.VmListError as error:
            _LOG.warning('VM list: %s', error)
            return
        self.changed()

    def _watches(self) -> bool:
        chosen = vms.watchers(
            self.state.listed,
            self.state.identity.data_centre,
            WATCHERS,
        )
        name = self.state.identity.name
        return any(vm.name == name for vm in chosen)

    async def _read_platform(self) -> None:
        try:
            stored = await configuration_store.read(self.client)
        except (
            platform.PlatformError,
            configuration_values.StoreError,
        ) as error:
            _LOG.warning('platform: %s', error)
            await self._read_peer()
            return
        if stored.current is not None:
            self._offer(stored.current)

    async def _read_peer(self) -> None:
        peer = self._choose_peer()
        if peer is None:
            return
        request = messages.ConfigurationRequest(self.state.holder.revision())
        try:
            reply = await peers.call(
                settings.split_address(peer.peers_address),
                self.state.link_context,
                request,
                PEER_LIMIT_S,
            )
        except links.LinkError as error:
            _LOG.info('peer %s: %s', peer.name, error)
            return
        self._take_reply(reply)

    def _choose_peer(self) -> vms.Vm | None:
        entries = [
            vm
            for vm in self.state.listed
            if vm.role is vms.VmRole.entry
            and vm.name != self.state.identity.name
        ]
        place = self.state.identity.data_centre
        near = [vm for vm in entries if vm.data_centre == place]
        candidates = near or entries
        if not candidates:
            return None
        return self.generator.choice(candidates)

    def _take_reply(self, reply: object) -> None:
        if not isinstance(reply, messages.ConfigurationReply):
            return
        if reply.text is not None:
            self._offer(
                configuration.Configuration(
                    reply.revision,
                    reply.change_id,
                    reply.text,
                ),
            )

    def _offer(self, offered: configuration.Configuration) -> None:
        if configuration.offer(self.state.holder, offered):
            _LOG.info(
                'configuration in force',
                extra={
                    'revision': offered.revision,
                    'change_id': offered.change_id,
                },
            )
            self.changed()
        elif self.state.holder.refused:
            _LOG.error('refused: %s', self.state.holder.refused)
