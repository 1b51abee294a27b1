"""Links to agents that wait for their next request."""

import select
import typing

import attrs

from camphorstair_core import vms
from camphorstair_runtime import links, settings

CONNECT_LIMIT_S = 1.0
IDLE_LINKS = 8


@attrs.define
class LinkPool:
    """Idle links by the name of the agent's VM.

    :ivar context: TLS context of links to peers, or None.
    """

    context: typing.Any
    idle: dict[str, list[links.Link]] = attrs.field(factory=dict)

    async def take(self, vm: vms.Vm) -> links.Link:
        """Return a link to an agent that nothing else uses.

        :raises links.LinkError: if the agent can't be reached.
        """
        kept = self.idle.get(vm.name, [])
        while kept:
            link = kept.pop()
            if not _readable(link):
                return link
            await link.close()
        return await self.connect(vm)

    async def connect(self, vm: vms.Vm) -> links.Link:
        """Return a new link to an agent.

        :raises links.LinkError: if the agent can't be reached.
        """
        host, port = settings.split_address(vm.peers_address)
        return await links.connect(host, port, self.context, CONNECT_LIMIT_S)

    async def give_back(self, vm: vms.Vm, link: links.Link) -> None:
        """Keep a link whose last exchange is complete."""
        kept = self.idle.setdefault(vm.name, [])
        if len(kept) < IDLE_LINKS:
            kept.append(link)
            return
        await link.close()


def _readable(link: links.Link) -> bool:
    """Tell whether an idle link has ended or holds what nobody waits for."""
    poll = select.poll()
    poll.register(link.sock.fileno(), select.POLLIN)
    return bool(link.received or poll.poll(0))
