"""Passes orders to the engine, and refuses those of earlier holders."""

import http
import logging
import uuid
from collections import abc

import attrs
import curio
import msgspec

from camphorstair_core import order_messages
from camphorstair_core.experts import fencing
from camphorstair_runtime import (
    http_client,
    http_messages,
    leases,
    links,
    platform,
)

ENGINE_LIMIT_S = 5.0
PATH = '/orders'

_LOG = logging.getLogger(__name__)

ReadNumber = abc.Callable[[str], abc.Awaitable[int]]


@attrs.define
class OrderGate:
    """State of the order path at an agent.

    :ivar address: ``IP:port`` of the engine.
    :ivar read_number: Reads the current fencing number of a group.
    :ivar boot: Identifier of this run of the agent.
    :ivar fences: What is known of each group's numbers.
    :ivar lock: Held while one order is decided on and passed.
    """

    address: str
    read_number: ReadNumber
    boot: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    fences: dict[str, fencing.Fence] = attrs.field(factory=dict)
    lock: curio.Lock = attrs.field(factory=curio.Lock)

    async def answer(self, message: object) -> object:
        """Answer a message of a holder.

        :raises links.LinkError: if it is no such message.
        """
        async with self.lock:
            if isinstance(message, order_messages.FenceRequest):
                return await self._fence(message)
            if isinstance(message, order_messages.Order):
                return await self._order(message)
        raise links.LinkError(f'unexpected {type(message).__name__}')

    async def _fence(
        self,
        request: order_messages.FenceRequest,
    ) -> order_messages.FenceReply:
        number = fencing.OrderNumber(request.fencing, request.sequence)
        decision = await self._decide(request.group, number, self.boot)
        if decision is not fencing.Decision.passed:
            return order_messages.FenceReply(self.boot, decision.value)
        report = await self._exchange('GET', b'')
        return order_messages.FenceReply(self.boot, decision.value, report.body)

    async def _order(
        self,
        order: order_messages.Order,
    ) -> order_messages.OrderReply:
        number = fencing.OrderNumber(order.fencing, order.sequence)
        decision = await self._decide(order.group, number, order.boot)
        if decision is not fencing.Decision.passed:
            return order_messages.OrderReply(self.boot, decision.value)
        body = msgspec.json.encode(
            {
                'kind': order.kind,
                'group': order.group,
                'fencing': order.fencing,
                'details': msgspec.Raw(order.body or b'null'),
            },
        )
        done = await self._exchange('POST', body)
        return order_messages.OrderReply(
            self.boot,
            decision.value,
            done.status,
            done.body,
        )

    async def _decide(
        self,
        group: str,
        number: fencing.OrderNumber,
        boot: str,
    ) -> fencing.Decision:
        fence = await self._known(group)
        decision = fencing.decide(fence, number, boot)
        if decision is fencing.Decision.passed:
            self.fences[group] = fencing.raise_to(fence, number)
        else:
            _LOG.warning(
                'order %s',
                decision.value,
                extra={'group': group, 'fencing': number.fencing},
            )
        return decision

    async def _known(self, group: str) -> fencing.Fence:
        """Return the fence of a group; read its number after a restart."""
        fence = self.fences.get(group, fencing.Fence(self.boot))
        if fence.highest is not None:
            return fence
        try:
            current = await self.read_number(group)
        except (platform.PlatformError, leases.LeaseError) as error:
            _LOG.warning('fencing number unknown: %s', error)
            return fence
        return fencing.raise_to(fence, fencing.OrderNumber(current))

    async def _exchange(
        self,
        method: str,
        body: bytes,
    ) -> http_messages.Response:
        """Return the engine's answer; a failure is an answer as well."""
        headers = [('content-type', 'application/json')]
        request = http_messages.Request(method, PATH, headers, body)
        try:
            async with curio.timeout_after(ENGINE_LIMIT_S):
                return await http_client.fetch(self.address, request)
        except (curio.TaskTimeout, http_client.HttpError) as error:
            _LOG.warning('engine does not answer an order: %r', error)
            return http_messages.Response(
                http.HTTPStatus.BAD_GATEWAY,
                [],
                b'',
            )
