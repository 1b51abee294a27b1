"""State that every process of the system keeps."""

import typing

import attrs
import curio

from camphorstair_core import (
    configuration,
    membership,
    messages,
    vm_lists,
    vms,
)
from camphorstair_runtime import settings


@attrs.define
class NodeState:
    """State of a process, its peers and the configuration in force.

    :ivar identity: Name, region and data centre of the process.
    :ivar role: Role of the process: entry or agent.
    :ivar link_context: TLS context of links to peers, or None without TLS.
    :ivar holder: Holds the configuration in force.
    :ivar listed: The VMs of the last VM list.
    :ivar leaving: Whether the process is shutting down.
    :ivar load: Load of the process, for status and heartbeats.
    :ivar vm_list: The VM list with its digest, for requests of peers.
    :ivar refresh_requested: Set to compare with a peer before the interval is
        over, because a peer has a newer configuration or a read of the VM
        list has changed it.
    :ivar members: Heartbeats and shutdowns of the other processes.
    """

    identity: settings.Node
    role: vms.VmRole
    link_context: typing.Any = None
    holder: configuration.ConfigurationHolder = attrs.field(
        factory=configuration.ConfigurationHolder,
    )
    listed: list[vms.Vm] = attrs.field(factory=list)
    leaving: bool = False
    load: messages.LoadReport = attrs.field(factory=messages.LoadReport)
    vm_list: vm_lists.ListHolder = attrs.field(factory=vm_lists.ListHolder)
    refresh_requested: curio.Event = attrs.field(factory=curio.Event)
    members: membership.Members = attrs.field(factory=membership.Members)

    async def check_peer_revision(self, revision: int) -> None:
        """Request a comparison with a peer if a peer's revision is newer."""
        if revision > self.holder.revision():
            await self.refresh_requested.set()

    def hello(self) -> messages.Hello:
        """Return the hello message of this process."""
        return messages.Hello(
            node=self.identity.name,
            data_centre=self.identity.data_centre,
            revision=self.holder.revision(),
            leaving=self.leaving,
            load=self.load,
        )
