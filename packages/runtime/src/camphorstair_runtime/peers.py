"""Answers what other processes of the system ask."""

import logging
import pathlib
import resource
import time
from collections import abc

import attrs
import curio

from camphorstair_core import messages
from camphorstair_runtime import links, node

_LOG = logging.getLogger(__name__)
_STATM = pathlib.Path('/proc/self/statm')

LinkHandler = abc.Callable[
    [links.Link, messages.RequestStart],
    abc.Awaitable[None],
]


def status(state: node.NodeState, service: str = '') -> messages.NodeStatus:
    """Return the state of this process."""
    return messages.NodeStatus(
        node=state.identity.name,
        role=state.role.value,
        data_centre=state.identity.data_centre,
        revision=state.holder.revision(),
        leaving=state.leaving,
        load=state.load,
        service=service,
        memory_bytes=_resident_bytes(),
        processor_s=time.process_time(),
    )


def _resident_bytes() -> int:
    pages = int(_STATM.read_text(encoding='ascii').split()[1])
    return pages * resource.getpagesize()


def configuration_reply(
    state: node.NodeState,
    request: messages.ConfigurationRequest,
) -> messages.ConfigurationReply:
    """Return the configuration in force if the asker's is older."""
    current = state.holder.current
    if current is None or current.revision <= request.above_revision:
        return messages.ConfigurationReply(state.holder.revision())
    return messages.ConfigurationReply(
        current.revision,
        current.change_id,
        current.text,
    )


@attrs.define
class PeerServer:
    """Serves links from other processes.

    :ivar state: The state of this process.
    :ivar service: The service behind it, if it is an agent.
    :ivar run_request: Runs a request, if it is an agent.
    """

    state: node.NodeState
    service: str = ''
    run_request: LinkHandler | None = None

    async def serve(self, sock: curio.io.Socket, address: object) -> None:
        """Answer the messages of one link."""
        link = links.accept(sock)
        try:
            await self._serve(link)
        except links.LinkError as error:
            _LOG.debug('link ended: %s', error)
        finally:
            await link.close()

    async def _serve(self, link: links.Link) -> None:
        while True:
            message = await link.receive()
            if isinstance(message, messages.RequestStart):
                await self._run(link, message)
            else:
                await link.send(self._answer(message))

    async def _run(
        self,
        link: links.Link,
        start: messages.RequestStart,
    ) -> None:
        if self.run_request is None:
            raise links.LinkError('a request came to a process without one')
        await self.run_request(link, start)

    def _answer(self, message: object) -> object:
        if isinstance(message, messages.Hello):
            return self.state.hello()
        if isinstance(message, messages.ConfigurationRequest):
            return configuration_reply(self.state, message)
        if isinstance(message, messages.StatusRequest):
            return status(self.state, self.service)
        raise links.LinkError(f'unexpected {type(message).__name__}')


async def call(
    address: tuple[str, int],
    context: object,
    message: object,
    timeout_s: float,
) -> object:
    """Ask another process one thing on a link of its own.

    :raises links.LinkError: if it does not answer in time.
    """
    link = await links.connect(*address, context, timeout_s)
    try:
        return await curio.timeout_after(timeout_s, link.call, message)
    except curio.TaskTimeout as error:
        raise links.LinkError(f'{address}: no answer') from error
    finally:
        await link.close()
