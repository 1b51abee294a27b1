"""Keeps the VM list of a process up to date.

The watchers, a few entries of each data centre, read the list from the
platform; the longer the list, the longer the interval. Another process gets
the changes from a watcher. It reads the list itself only while it has none or
no peer answers.
"""

import logging
import random
from collections import abc

import attrs
import curio

from camphorstair_core import (
    call_pace,
    deltas,
    messages,
    vms,
    watcher_selection,
)
from camphorstair_runtime import clocks, node, peer_links, taking, vm_list

MIN_INTERVAL_S = 2.0
MAX_INTERVAL_S = 60.0
MAX_DELAY_S = 10.0
BYTES_PER_VM = 200
READ_BYTES_PER_S = 2000
JITTER_FACTORS = (0.8, 1.2)

_LOG = logging.getLogger(__name__)


def _new_pace() -> call_pace.CallPace:
    return call_pace.CallPace(max_delay_s=MAX_DELAY_S)


def read_interval_s(vm_count: int) -> float:
    """Return the interval between reads of a list of ``vm_count`` VMs."""
    unbounded_s = vm_count * BYTES_PER_VM / READ_BYTES_PER_S
    return min(max(unbounded_s, MIN_INTERVAL_S), MAX_INTERVAL_S)


@attrs.define
class ListFollower:
    """State of the task that follows the VM list.

    :ivar state: The state of this process.
    :ivar address: ``IP:port`` of the VM list.
    :ivar on_change: Called after the VM list has changed.
    :ivar generator: Random generator for the jitter of the interval.
    :ivar no_peer_answers: Whether no peer answers, so that this process reads
        the list itself.
    :ivar pace: Rate limit and backoff of the reads.
    """

    state: node.NodeState
    address: str
    on_change: abc.Callable[[], None]
    generator: random.Random
    no_peer_answers: bool = False
    pace: call_pace.CallPace = attrs.field(factory=_new_pace)

    async def run(self) -> None:
        """Keep the VM list up to date until cancelled."""
        while True:
            if self._should_read():
                await self._read()
            wait_s = MIN_INTERVAL_S
            if self.state.listed:
                wait_s = read_interval_s(len(self.state.listed))
            share = self.generator.uniform(*JITTER_FACTORS)
            await curio.sleep(wait_s * share)

    async def compare(self, peers: peer_links.PeerLinks, vm: vms.Vm) -> None:
        """Update the list from a peer that is a watcher.

        Does nothing if this process is a watcher or the peer is not.

        :param peers: Links to the peers.
        :param vm: VM of the peer.
        :raises links.LinkError: if the peer does not answer.
        """
        if self._this_process_is_watcher() or not self._peer_is_watcher(vm):
            return
        list_request = messages.VmListRequest(self.state.vm_list.digest)
        if not await self._apply_reply(await peers.call(vm, list_request)):
            return
        self.on_change()

    async def _apply_reply(self, reply: object) -> bool:
        if not isinstance(reply, messages.VmListReply):
            return False
        try:
            return taking.apply_vm_list_reply(self.state, reply)
        except deltas.DeltaError as fault:
            _LOG.info('%s', fault)
            self.state.vm_list.digest = ''
            return False

    def _this_process_is_watcher(self) -> bool:
        identity = self.state.identity
        location = watcher_selection.ProcessLocation(
            identity.name, identity.data_centre
        )
        return watcher_selection.is_watcher(self.state.listed, location)

    def _peer_is_watcher(self, vm: vms.Vm) -> bool:
        location = watcher_selection.ProcessLocation(vm.name, vm.data_centre)
        return watcher_selection.is_watcher(self.state.listed, location)

    def _should_read(self) -> bool:
        if not (
            self._this_process_is_watcher()
            or self.no_peer_answers
            or not self.state.listed
        ):
            return False
        return call_pace.try_acquire(self.pace, clocks.monotonic_s())

    async def _read(self) -> None:
        try:
            listed = await vm_list.read(self.address)
        except vm_list.VmListError as error:
            _LOG.warning('VM list: %s', error)
            now_s = clocks.monotonic_s()
            call_pace.record_failure(self.pace, now_s, self.generator)
            return
        call_pace.record_success(self.pace)
        if taking.apply_vm_list(self.state, listed):
            self.on_change()
            await self.state.refresh_requested.set()
