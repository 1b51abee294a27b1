"""What operators do: apply rules, and ask all processes for their state."""

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
ASKED_AT_ONCE = 64


@attrs.define
class Fleet:
    """How the command line reaches the fleet.

    :ivar checked: The settings of any entry.
    :ivar context: TLS context of links, or None.
    """

    checked: settings.EntrySettings
    context: object

    def client(self) -> platform.PlatformClient:
        """Return a client of the platform."""
        return platform.PlatformClient(self.checked.platform.key_value)


@attrs.define
class Answers:
    """What the processes of the VM list said of themselves.

    :ivar found: The states of those that answered.
    :ivar silent: The names of the others.
    """

    found: list[messages.NodeStatus] = attrs.field(factory=list)
    silent: list[str] = attrs.field(factory=list)

    def lacking(self, revision: int) -> list[str]:
        """Return who answered and has not reported a revision."""
        return sorted(one.node for one in self.found if one.revision < revision)

    def highest(self) -> int:
        """Return the highest revision that was answered, or 0."""
        return max((one.revision for one in self.found), default=0)

    def refusals(self) -> list[str]:
        """Return who refused a configuration, and why."""
        return [
            f'{one.node}: {one.refused}' for one in self.found if one.refused
        ]


async def statuses(fleet: Fleet) -> list[messages.NodeStatus]:
    """Ask every process of the VM list for its state."""
    return (await ask_all(fleet)).found


async def ask_all(fleet: Fleet) -> Answers:
    """Ask every process of the VM list for its state.

    :raises vm_list.VmListError: if the list can't be read.
    """
    listed = await vm_list.read(fleet.checked.platform.vm_list)
    answers = Answers()
    allowed = curio.Semaphore(ASKED_AT_ONCE)
    async with curio.TaskGroup() as group:
        for vm in listed:
            await group.spawn(_ask, fleet, vm, answers, allowed)
    return answers


async def _ask(
    fleet: Fleet,
    vm: vms.Vm,
    answers: Answers,
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
    """Return the answer of a VM's process, or None."""
    address = settings.split_address(vm.peers_address)
    try:
        return await peers.call(address, fleet.context, message, limit_s)
    except links.LinkError:
        return None
