"""Keeps the VM list of a process up to date.

The watchers of each data centre read the platform's list, less often if it is
long; the other processes get its changes from them.
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
ROW_BYTES = 200
READ_BYTES_PER_S = 2000
SPREAD_SHARES = (0.8, 1.2)

_LOG = logging.getLogger(__name__)


def _new_pace() -> call_pace.CallPace:
    return call_pace.CallPace(max_delay_s=MAX_DELAY_S)


def interval_s(vm_count: int) -> float:
    """Return how often to read a list of some length."""
    wanted_s = vm_count * ROW_BYTES / READ_BYTES_PER_S
    return min(max(wanted_s, MIN_INTERVAL_S), MAX_INTERVAL_S)


@attrs.define
class ListFollower:
    """State of the task that follows the VM list.

    :ivar state: The state of this process.
    :ivar address: ``IP:port`` of the VM list.
    :ivar changed: Called after a new list.
    :ivar generator: Spreads the calls.
    :ivar alone: Whether no peer answers.
    :ivar pace: The budget of reads.
    """

    state: node.NodeState
    address: str
    changed: abc.Callable[[], None]
    generator: random.Random
    alone: bool = False
    pace: call_pace.CallPace = attrs.field(factory=_new_pace)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._reads():
                await self._read()
            wait_s = MIN_INTERVAL_S
            if self.state.listed:
                wait_s = interval_s(len(self.state.listed))
            share = self.generator.uniform(*SPREAD_SHARES)
            await curio.sleep(wait_s * share)

    async def compare(self, peers: peer_links.PeerLinks, vm: vms.Vm) -> None:
        """Take the list from a watcher if this process reads none itself.

        :raises links.LinkError: if it does not answer.
        """
        if self._watches() or not self._is_watcher(vm):
            return
        known = messages.VmListRequest(self.state.vm_list.digest)
        if not await self._take(await peers.call(vm, known)):
            return
        self.changed()

    async def _take(self, reply: object) -> bool:
        if not isinstance(reply, messages.VmListReply):
            return False
        try:
            return taking.take_list_reply(self.state, reply)
        except deltas.DeltaError as fault:
            _LOG.info('%s', fault)
            self.state.vm_list.digest = ''
            return False

    def _watches(self) -> bool:
        identity = self.state.identity
        place = watcher_selection.ProcessLocation(
            identity.name, identity.data_centre
        )
        return watcher_selection.is_watcher(self.state.listed, place)

    def _is_watcher(self, vm: vms.Vm) -> bool:
        place = watcher_selection.ProcessLocation(vm.name, vm.data_centre)
        return watcher_selection.is_watcher(self.state.listed, place)

    def _reads(self) -> bool:
        if not (self._watches() or self.alone or not self.state.listed):
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
        if taking.take_list(self.state, listed):
            self.changed()
            await self.state.behind.set()
