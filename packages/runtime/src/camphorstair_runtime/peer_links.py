"""Cache of open links to peers that a process calls repeatedly."""

import typing

import attrs
import curio

from camphorstair_core import vms
from camphorstair_runtime import links, settings

CALL_LIMIT_S = 1.0
MAX_OPEN_LINKS = 3


@attrs.define
class PeerLinks:
    """Open links to peers; the least recently used ones are closed.

    :ivar context: TLS context, or None for plain TCP.
    :ivar open_links: The open links by VM name, least recently used first.
    """

    context: typing.Any
    open_links: dict[str, links.Link] = attrs.field(factory=dict)

    async def call(self, vm: vms.Vm, message: object) -> object:
        """Send a message to a peer and return the reply.

        A link that fails is closed; the next call opens a new one.

        :param vm: The peer's VM.
        :param message: The message.
        :raises links.LinkError: if the call fails or takes longer than
            ``CALL_LIMIT_S``.
        """
        link = self.open_links.pop(vm.name, None)
        try:
            return await curio.timeout_after(
                CALL_LIMIT_S,
                self._call,
                vm,
                link,
                message,
            )
        except curio.TaskTimeout as timeout:
            raise links.LinkError(f'{vm.name}: no reply') from timeout

    async def close(self) -> None:
        """Close all links."""
        while self.open_links:
            await self.open_links.popitem()[1].close()

    async def _call(
        self,
        vm: vms.Vm,
        link: links.Link | None,
        message: object,
    ) -> object:
        if link is None:
            address = settings.split_address(vm.peers_address)
            link = await links.connect(*address, self.context, CALL_LIMIT_S)
        try:
            reply = await link.call(message)
        except BaseException:
            await link.close()
            raise
        self.open_links[vm.name] = link
        while len(self.open_links) > MAX_OPEN_LINKS:
            oldest = self.open_links.pop(next(iter(self.open_links)))
            await oldest.close()
        return reply
