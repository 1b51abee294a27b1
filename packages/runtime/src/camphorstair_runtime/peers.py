"""Answers the messages of other processes of the system."""

import logging
import pathlib
import resource
import time
from collections import abc

import attrs
import curio

from camphorstair_core import (
    configuration,
    membership,
    membership_messages,
    messages,
    order_messages,
    vm_lists,
)
from camphorstair_runtime import clocks, closing, links, node, traffic

_LOG = logging.getLogger(__name__)
_MS_IN_S = 1000
_ORDER_TYPES = (order_messages.FenceRequest, order_messages.Order)
_TYPES_WITH_REVISION = (
    messages.Hello,
    messages.RequestStart,
    membership_messages.Heartbeat,
)
_STATM = pathlib.Path('/proc/self/statm')

LinkHandler = abc.Callable[
    [links.Link, messages.RequestStart],
    abc.Awaitable[None],
]
OrderHandler = abc.Callable[[object], abc.Awaitable[object]]
NamedTimeSource = abc.Callable[[str, float], float]


def no_named_time(name: str, now_s: float) -> float:
    """Return 0: a process without a directory names no VM."""
    return 0


def _ignore_change() -> None:
    """Do nothing; the default for ``PeerServer.on_change``."""


def status(state: node.NodeState, service: str = '') -> messages.NodeStatus:
    """Return the status of this process.

    :param state: The state of this process.
    :param service: The service of the endpoint, if this is an agent.
    """
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
        refused=state.holder.refused,
        control_bytes=traffic.PROCESS_TRAFFIC.control_bytes,
    )


def _resident_bytes() -> int:
    pages = int(_STATM.read_text(encoding='ascii').split()[1])
    return pages * resource.getpagesize()


def configuration_reply(
    state: node.NodeState,
    request: messages.ConfigurationRequest,
) -> messages.ConfigurationReply:
    """Return the configuration in force if the sender's is older.

    The reply holds deltas if the sender's revision is recent enough, else
    the whole text. It holds only the revision if the sender is up to date.
    """
    current = state.holder.current
    if current is None or current.revision <= request.above_revision:
        return messages.ConfigurationReply(state.holder.revision())
    sender_revision = request.above_revision
    newer_changes = configuration.changes_above(state.holder, sender_revision)
    if sender_revision and newer_changes:
        return messages.ConfigurationReply(
            current.revision,
            current.change_id,
            deltas=newer_changes,
        )
    return messages.ConfigurationReply(
        current.revision,
        current.change_id,
        current.text,
    )


def vm_list_reply(
    state: node.NodeState,
    request: messages.VmListRequest,
) -> messages.VmListReply:
    """Return the VM list if the sender has another version.

    The reply holds the changes if they are known, else the whole list.
    """
    holder = state.vm_list
    if not holder.digest:
        return messages.VmListReply('')
    changes = vm_lists.changes_from(holder, request.digest)
    if changes is None:
        return messages.VmListReply(holder.digest, listed=holder.listed())
    return messages.VmListReply(holder.digest, changes)


def _sender_revision(message: object) -> int:
    """Return the revision in force at the sender, or 0 if not included."""
    if isinstance(message, _TYPES_WITH_REVISION):
        return message.revision
    if isinstance(message, messages.ConfigurationRequest):
        return message.above_revision
    return 0


@attrs.define
class PeerServer:
    """Serves links from other processes.

    :ivar state: The state of this process.
    :ivar service: The service of the endpoint, if this is an agent.
    :ivar run_request: Runs a request, if this is an agent.
    :ivar named_s: Returns the time for which callers may still use a
        directory answer that names a given VM; callers find entries by such
        answers.
    :ivar on_change: Called after another process has sent a heartbeat or
        announced its shutdown.
    :ivar answer_order: Answers a ``FenceRequest`` or an ``Order`` of a lease
        holder, if this is an agent.
    :ivar ended: Whether to read no further messages.
    :ivar idle: Sockets of the links that wait for the next message.
    :ivar running: Number of requests in progress.
    :ivar open_links: Number of open links.
    """

    state: node.NodeState
    service: str = ''
    run_request: LinkHandler | None = None
    named_s: NamedTimeSource = no_named_time
    on_change: abc.Callable[[], None] = _ignore_change
    answer_order: OrderHandler | None = None
    ended: bool = False
    idle: set[curio.io.Socket] = attrs.field(factory=set)
    running: int = 0
    open_links: int = 0

    async def serve(self, sock: curio.io.Socket, address: object) -> None:
        """Answer the messages of one link until it ends, then close it."""
        link = links.accept(sock)
        self.open_links += 1
        try:
            await self._serve(link)
        except links.LinkError as error:
            _LOG.debug('link ended: %s', error)
        finally:
            self.open_links -= 1
            await link.close()

    def idle_links(self) -> int:
        """Return the number of links without a request in progress."""
        return self.open_links - self.running

    def end_idle(self) -> None:
        """Stop reading on the idle links, which ends them.

        A link with a request in progress ends after that request.
        """
        self.ended = True
        for sock in self.idle:
            closing.stop_reading(sock)

    async def _serve(self, link: links.Link) -> None:
        while True:
            try:
                message = await self._receive(link)
            except links.LinkError:
                await self._refuse_unread(link)
                raise
            await self.state.check_peer_revision(_sender_revision(message))
            if isinstance(message, messages.RequestStart):
                await self._run(link, message)
            else:
                await link.send(await self._reply(message))

    async def _receive(self, link: links.Link) -> object:
        self.idle.add(link.sock)
        if self.ended:
            closing.stop_reading(link.sock)
        try:
            return await link.receive()
        finally:
            self.idle.discard(link.sock)

    async def _refuse_unread(self, link: links.Link) -> None:
        """Refuse all requests that were sent on the link but not read.

        The entry can then send them elsewhere, since none of them has run.
        """
        if not self.ended or self.run_request is None:
            return
        await link.send(
            messages.RequestRefused(
                request_id='',
                code='leaving',
                message='the link ends; no request on its way was read',
                retry_after_ms=0,
                load=self.state.load,
                revision=self.state.holder.revision(),
            ),
        )
        await closing.linger(link.sock)

    async def _run(
        self,
        link: links.Link,
        start: messages.RequestStart,
    ) -> None:
        if self.run_request is None:
            raise links.LinkError(
                'received a request, but this process runs none'
            )
        self.running += 1
        try:
            await self.run_request(link, start)
        finally:
            self.running -= 1

    async def _reply(self, message: object) -> object:
        if isinstance(message, _ORDER_TYPES) and self.answer_order is not None:
            return await self.answer_order(message)
        return self._answer(message)

    def _answer(self, message: object) -> object:
        if isinstance(message, messages.Hello):
            return self.state.hello()
        if isinstance(message, messages.ConfigurationRequest):
            return configuration_reply(self.state, message)
        if isinstance(message, messages.VmListRequest):
            return vm_list_reply(self.state, message)
        if isinstance(message, messages.StatusRequest):
            return status(self.state, self.service)
        if isinstance(message, membership_messages.Heartbeat):
            return self._answer_heartbeat(message)
        if isinstance(message, membership_messages.Leaving):
            return self._answer_leaving(message)
        raise links.LinkError(f'unexpected {type(message).__name__}')

    def _answer_heartbeat(
        self,
        received: membership_messages.Heartbeat,
    ) -> membership_messages.Heartbeat:
        membership.record_heartbeat(
            self.state.members,
            received,
            clocks.monotonic_s(),
        )
        self.on_change()
        return heartbeat(self.state)

    def _answer_leaving(
        self,
        received: membership_messages.Leaving,
    ) -> membership_messages.LeavingReply:
        now_s = clocks.monotonic_s()
        membership.record_leaving(self.state.members, received, now_s)
        _LOG.info('peer leaves', extra={'peer': received.node})
        self.on_change()
        return membership_messages.LeavingReply(
            self.state.identity.name,
            round(self.named_s(received.node, now_s) * _MS_IN_S),
        )


def heartbeat(state: node.NodeState) -> membership_messages.Heartbeat:
    """Return the heartbeat of this process."""
    return membership_messages.Heartbeat(
        state.identity.name,
        state.holder.revision(),
        state.leaving,
        membership.down_members(state.members, clocks.monotonic_s()),
    )


async def call(
    address: tuple[str, int],
    context: object,
    message: object,
    timeout_s: float,
) -> object:
    """Send a message to another process on a new link, return the reply.

    :param address: IP address and port of the process.
    :param context: TLS context, or None.
    :param message: The message.
    :param timeout_s: Timeout of the connect, and once more of the reply.
    :raises links.LinkError: if the call fails or times out.
    """
    link = await links.connect(*address, context, timeout_s)
    try:
        return await curio.timeout_after(timeout_s, link.call, message)
    except curio.TaskTimeout as error:
        raise links.LinkError(f'{address}: no answer in time') from error
    finally:
        await link.close()
