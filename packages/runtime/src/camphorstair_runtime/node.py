"""State that every process of the system has."""

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
    """What a process knows of itself, the others and the configuration.

    :ivar identity: Its name and place.
    :ivar role: What it is for.
    :ivar link_context: TLS context of links to peers, or None.
    :ivar holder: The configuration in force.
    :ivar listed: The last VM list.
    :ivar leaving: Whether it shuts down.
    :ivar load: Its load, for status and heartbeats.
    :ivar vm_list: The VM list with its version, to pass on.
    :ivar behind: Set when another process has a newer configuration.
    :ivar members: What is known of the other processes.
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
    behind: curio.Event = attrs.field(factory=curio.Event)
    members: membership.Members = attrs.field(factory=membership.Members)

    async def notice_revision(self, revision: int) -> None:
        """Take note of the revision in force at another process."""
        if revision > self.holder.revision():
            await self.behind.set()

    def hello(self) -> messages.Hello:
        """Return the heartbeat of this process."""
        return messages.Hello(
            node=self.identity.name,
            data_centre=self.identity.data_centre,
            revision=self.holder.revision(),
            leaving=self.leaving,
            load=self.load,
        )
