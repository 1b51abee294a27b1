"""Pool of idle links to agents."""

import select
import typing

import attrs

from camphorstair_core import vms
from camphorstair_runtime import links, settings

CONNECT_LIMIT_S = 1.0
MAX_IDLE_LINKS = 8


@attrs.define
class LinkPool:
    """Pool of links to agents.

    :ivar context: TLS context of links to peers, or None.
    :ivar idle: Idle links by the name of the agent's VM.
    """

    context: typing.Any
    idle: dict[str, list[links.Link]] = attrs.field(factory=dict)

    async def acquire(self, vm: vms.Vm) -> links.Link:
        """Return an idle link to an agent, or connect a new one.

        Idle links that the agent closed, or that have unexpected data, are
        dropped.

        :raises links.LinkError: if the agent can't be reached.
        """
        idle_links = self.idle.get(vm.name, [])
        while idle_links:
            link = idle_links.pop()
            if not _readable(link):
                return link
            await link.close()
        return await self.connect(vm)

    async def connect(self, vm: vms.Vm) -> links.Link:
        """Connect a new link to an agent.

        :raises links.LinkError: if the agent can't be reached.
        """
        host, port = settings.split_address(vm.peers_address)
        return await links.connect(host, port, self.context, CONNECT_LIMIT_S)

    async def release(self, vm: vms.Vm, link: links.Link) -> None:
        """Return a link whose last exchange is complete to the pool.

        Close it if the pool already has the maximum for this agent.
        """
        idle_links = self.idle.setdefault(vm.name, [])
        if len(idle_links) < MAX_IDLE_LINKS:
            idle_links.append(link)
            return
        await link.close()


def _readable(link: links.Link) -> bool:
    """Return whether an idle link was closed or has unexpected data."""
    poll = select.poll()
    poll.register(link.sock.fileno(), select.POLLIN)
    return bool(link.received or poll.poll(0))
