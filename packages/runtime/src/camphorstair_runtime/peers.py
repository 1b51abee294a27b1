"""Answers what other processes of the system ask."""

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
_ORDERS = (order_messages.FenceRequest, order_messages.Order)
_WITH_REVISION = (
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
NamedSource = abc.Callable[[str, float], float]


def never_named(name: str, now_s: float) -> float:
    """Return the time of a process that has no directory."""
    return 0


def _ignore_change() -> None:
    """Take no notice of a change."""


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
        refused=state.holder.refused,
        control_bytes=traffic.PROCESS.control_bytes,
    )


def _resident_bytes() -> int:
    pages = int(_STATM.read_text(encoding='ascii').split()[1])
    return pages * resource.getpagesize()


def configuration_reply(
    state: node.NodeState,
    request: messages.ConfigurationRequest,
) -> messages.ConfigurationReply:
    """Return the configuration in force if the asker's is older.

    As deltas, if the asker's revision is recent.
    """
    current = state.holder.current
    if current is None or current.revision <= request.above_revision:
        return messages.ConfigurationReply(state.holder.revision())
    above = request.above_revision
    recent = configuration.changes_above(state.holder, above)
    if above and recent:
        return messages.ConfigurationReply(
            current.revision,
            current.change_id,
            deltas=recent,
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
    """Return the VM list if the asker's is another version."""
    holder = state.vm_list
    if not holder.digest:
        return messages.VmListReply('')
    changes = vm_lists.changes_from(holder, request.digest)
    if changes is None:
        return messages.VmListReply(holder.digest, listed=holder.listed())
    return messages.VmListReply(holder.digest, changes)


def _revision(message: object) -> int:
    """Return the revision in force at the sender, or 0 if it is not said."""
    if isinstance(message, _WITH_REVISION):
        return message.revision
    if isinstance(message, messages.ConfigurationRequest):
        return message.above_revision
    return 0


@attrs.define
class PeerServer:
    """Serves links from other processes.

    :ivar state: The state of this process.
    :ivar service: The service behind it, if it is an agent.
    :ivar run_request: Runs a request, if it is an agent.
    :ivar named_s: How long directory answers that name a VM are in force.
    :ivar changed: Called when a process said that it leaves or is there.
    :ivar answer_order: Answers a message of a holder, if it is an agent.
    :ivar ended: Whether no further message is read.
    :ivar idle: Sockets of links on which no message is awaited or answered.
    :ivar running: Number of requests in progress.
    :ivar open_links: Number of open links.
    """

    state: node.NodeState
    service: str = ''
    run_request: LinkHandler | None = None
    named_s: NamedSource = never_named
    changed: abc.Callable[[], None] = _ignore_change
    answer_order: OrderHandler | None = None
    ended: bool = False
    idle: set[curio.io.Socket] = attrs.field(factory=set)
    running: int = 0
    open_links: int = 0

    async def serve(self, sock: curio.io.Socket, address: object) -> None:
        """Answer the messages of one link."""
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
        """Return on how many links no request is in progress."""
        return self.open_links - self.running

    def end_idle(self) -> None:
        """End the links on which no request is in progress."""
        self.ended = True
        for sock in self.idle:
            closing.stop_reading(sock)

    async def _serve(self, link: links.Link) -> None:
        while True:
            try:
                message = await self._receive(link)
            except links.LinkError:
                await self._say_ended(link)
                raise
            await self.state.notice_revision(_revision(message))
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

    async def _say_ended(self, link: links.Link) -> None:
        """Tell an entry that no request it may have sent was read."""
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
            raise links.LinkError('a request came to a process without one')
        self.running += 1
        try:
            await self.run_request(link, start)
        finally:
            self.running -= 1

    async def _reply(self, message: object) -> object:
        if isinstance(message, _ORDERS) and self.answer_order is not None:
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
        self.changed()
        return heartbeat(self.state)

    def _answer_leaving(
        self,
        received: membership_messages.Leaving,
    ) -> membership_messages.LeavingReply:
        now_s = clocks.monotonic_s()
        membership.record_leaving(self.state.members, received, now_s)
        _LOG.info('peer leaves', extra={'peer': received.node})
        self.changed()
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
