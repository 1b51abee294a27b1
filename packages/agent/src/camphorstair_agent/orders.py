"""Passes orders to the engine, and refuses those of earlier holders."""

import http
import logging
import uuid
from collections import abc

import attrs
import curio
import msgspec

from camphorstair_core import order_messages
from camphorstair_core.experts import fencing, switch
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

Exchange = abc.Callable[
    [str, bytes],
    abc.Awaitable[http_messages.Response],
]
ReadNumber = abc.Callable[[str], abc.Awaitable[int]]


@attrs.define(frozen=True)
class _Staged:
    version: int
    base: int


@attrs.define
class OrderGate:
    """State of the order path at an agent.

    :ivar exchange: Sends the engine a method and a body.
    :ivar read_number: Reads the current fencing number of a group.
    :ivar boot: Identifier of this run of the agent.
    :ivar fences: What is known of each group's numbers.
    :ivar lock: Held while one order is decided on and passed.
    """

    exchange: Exchange
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
        report = await self.exchange('GET', b'')
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
        if not await self._on_base(order):
            refusal = fencing.Decision.not_on_base.value
            return order_messages.OrderReply(self.boot, refusal)
        done = await self.exchange('POST', body)
        return order_messages.OrderReply(
            self.boot,
            decision.value,
            done.status,
            done.body,
        )

    async def _on_base(self, order: order_messages.Order) -> bool:
        """Tell whether the rank works on what a map is staged upon."""
        if order.kind is not order_messages.OrderKind.stage_map:
            return True
        answer = await self.exchange('GET', b'')
        try:
            report = msgspec.json.decode(answer.body, type=switch.RankReport)
            staged = msgspec.json.decode(order.body, type=_Staged)
        except msgspec.DecodeError as error:
            _LOG.warning('order to stage a map: %s', error)
            return False
        return switch.may_stage(report, staged.version, staged.base)

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


async def exchange_with(
    address: str,
    method: str,
    body: bytes,
) -> http_messages.Response:
    """Return the engine's answer; a failure is an answer as well.

    :param address: ``IP:port`` of the engine.
    """
    headers = [('content-type', 'application/json')]
    request = http_messages.Request(method, PATH, headers, body)
    try:
        async with curio.timeout_after(ENGINE_LIMIT_S):
            return await http_client.fetch(address, request)
    except (curio.TaskTimeout, http_client.HttpError) as error:
        _LOG.warning('engine does not answer an order: %r', error)
        return http_messages.Response(http.HTTPStatus.BAD_GATEWAY, [], b'')
