"""Status requests to all processes, for the operators' commands."""

import attrs
import curio

from camphorstair_core import messages, vms
from camphorstair_runtime import (
    links,
    peers,
    platform,
    settings,
    vm_list,
)

STATUS_LIMIT_S = 1.0
MAX_CONCURRENT_REQUESTS = 64


@attrs.define
class Fleet:
    """Access of the command line to the fleet.

    :ivar checked: The settings of any entry.
    :ivar context: TLS context of links, or None.
    """

    checked: settings.EntrySettings
    context: object

    def client(self) -> platform.PlatformClient:
        """Return a client of the platform."""
        return platform.PlatformClient(self.checked.platform.key_value)


@attrs.define
class StatusReplies:
    """Answers of the processes in the VM list to a status request.

    :ivar found: The states of the processes that answered.
    :ivar silent: The names of the VMs that did not answer.
    """

    found: list[messages.NodeStatus] = attrs.field(factory=list)
    silent: list[str] = attrs.field(factory=list)

    def outdated(self, revision: int) -> list[str]:
        """Return the names of processes that report an older revision."""
        return sorted(
            reply.node for reply in self.found if reply.revision < revision
        )

    def highest(self) -> int:
        """Return the highest revision that a process reports, or 0."""
        return max((reply.revision for reply in self.found), default=0)

    def refusals(self) -> list[str]:
        """Return the processes that refused a configuration, with reasons."""
        return [
            f'{reply.node}: {reply.refused}'
            for reply in self.found
            if reply.refused
        ]


async def statuses(fleet: Fleet) -> list[messages.NodeStatus]:
    """Return the states of all processes that answer.

    :raises vm_list.VmListError: if the VM list can't be read.
    """
    return (await request_statuses(fleet)).found


async def request_statuses(fleet: Fleet) -> StatusReplies:
    """Ask every process in the VM list for its state.

    The number of concurrent requests and the time for each are limited.

    :raises vm_list.VmListError: if the VM list can't be read.
    """
    listed = await vm_list.read(fleet.checked.platform.vm_list)
    answers = StatusReplies()
    allowed = curio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with curio.TaskGroup() as group:
        for vm in listed:
            await group.spawn(_ask_status, fleet, vm, answers, allowed)
    return answers


async def _ask_status(
    fleet: Fleet,
    vm: vms.Vm,
    answers: StatusReplies,
    allowed: curio.Semaphore,
) -> None:
    async with allowed:
        reply = await call(fleet, vm, messages.StatusRequest(), STATUS_LIMIT_S)
    if isinstance(reply, messages.NodeStatus):
        answers.found.append(reply)
    else:
        answers.silent.append(vm.name)


async def call(
    fleet: Fleet,
    vm: vms.Vm,
    message: object,
    limit_s: float,
) -> object:
    """Return the reply of a VM's process, or None if it does not reply."""
    address = settings.split_address(vm.peers_address)
    try:
        return await peers.call(address, fleet.context, message, limit_s)
    except links.LinkError:
        return None
