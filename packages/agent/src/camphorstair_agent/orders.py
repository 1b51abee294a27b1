"""Forwards orders to the engine and refuses those of former lease holders.

Each order carries the fencing number of the lease under which it was sent.
"""

import http
import logging
import uuid
from collections import abc

import attrs
import curio
import msgspec

from camphorstair_core import decoding, order_messages
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
ReadFencingNumber = abc.Callable[[str], abc.Awaitable[int]]


@attrs.define(frozen=True)
class _StagedMap:
    """Version and base version of the map in a ``stage_map`` order."""

    version: int
    base: int


@attrs.define
class OrderGate:
    """Checks the fencing number of each order before the engine gets it.

    :ivar exchange: Calls the engine with a method and a body; returns its
        response.
    :ivar read_fencing_number: Reads the current fencing number of a group
        from the platform.
    :ivar boot: Identifier of this run of the agent process.
    :ivar fences: The highest order number known of each group.
    :ivar lock: Held while an order is checked and forwarded.
    """

    exchange: Exchange
    read_fencing_number: ReadFencingNumber
    boot: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    fences: dict[str, fencing.Fence] = attrs.field(factory=dict)
    lock: curio.Lock = attrs.field(factory=curio.Lock)

    async def answer(self, message: object) -> object:
        """Return the reply to a message of a lease holder.

        :param message: A ``FenceRequest`` or an ``Order``.
        :raises links.LinkError: if the message is of another type.
        """
        async with self.lock:
            if isinstance(message, order_messages.FenceRequest):
                return await self._answer_fence_request(message)
            if isinstance(message, order_messages.Order):
                return await self._execute_order(message)
        raise links.LinkError(f'unexpected {type(message).__name__}')

    async def _answer_fence_request(
        self,
        request: order_messages.FenceRequest,
    ) -> order_messages.FenceReply:
        """Raise the fence to a holder's number if the number passes.

        :returns: The decision, with the engine's report if the number passed.
        """
        number = fencing.OrderNumber(request.fencing, request.sequence)
        decision = await self._check_number(request.group, number, self.boot)
        if decision is not fencing.Decision.passed:
            return order_messages.FenceReply(self.boot, decision.value)
        report = await self.exchange('GET', b'')
        return order_messages.FenceReply(self.boot, decision.value, report.body)

    async def _execute_order(
        self,
        order: order_messages.Order,
    ) -> order_messages.OrderReply:
        """Forward an order to the engine if its fencing number is current."""
        number = fencing.OrderNumber(order.fencing, order.sequence)
        decision = await self._check_number(order.group, number, order.boot)
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
        if not await self._base_matches(order):
            refusal = fencing.Decision.not_on_base.value
            return order_messages.OrderReply(self.boot, refusal)
        response = await self.exchange('POST', body)
        return order_messages.OrderReply(
            self.boot,
            decision.value,
            response.status,
            response.body,
        )

    async def _base_matches(self, order: order_messages.Order) -> bool:
        """Return whether the rank's current map allows an order.

        A map may be staged only on a rank that uses the base version or
        already uses the new version. Other orders are always allowed.
        """
        if order.kind is not order_messages.OrderKind.stage_map:
            return True
        answer = await self.exchange('GET', b'')
        try:
            report = decoding.from_json(answer.body, switch.RankReport)
            staged = decoding.from_json(order.body, _StagedMap)
        except decoding.FormatError as error:
            _LOG.warning(
                'order to stage a map refused: malformed message: %s', error
            )
            return False
        return switch.may_stage(report, staged.version, staged.base)

    async def _check_number(
        self,
        group: str,
        number: fencing.OrderNumber,
        boot: str,
    ) -> fencing.Decision:
        """Check an order number, and raise the fence to it if it passes.

        :param boot: The agent run that the order is meant for.
        """
        fence = await self._load_fence(group)
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

    async def _load_fence(self, group: str) -> fencing.Fence:
        """Return the fence of a group.

        After a restart of the agent, the current number is read from the
        platform. If that fails, the fence has no number, and orders are held
        back.
        """
        fence = self.fences.get(group, fencing.Fence(self.boot))
        if fence.highest is not None:
            return fence
        try:
            current = await self.read_fencing_number(group)
        except (platform.PlatformError, leases.LeaseError) as error:
            _LOG.warning('reading the fencing number failed: %s', error)
            return fence
        return fencing.raise_to(fence, fencing.OrderNumber(current))


async def call_engine(
    address: str,
    method: str,
    body: bytes,
) -> http_messages.Response:
    """Call the engine and return its response.

    :param address: ``IP:port`` of the engine.
    :param method: The HTTP method.
    :param body: The request body, JSON.
    :returns: The response; status 502 with an empty body if the call fails or
        takes longer than ``ENGINE_LIMIT_S``.
    """
    headers = [('content-type', 'application/json')]
    request = http_messages.Request(method, PATH, headers, body)
    try:
        async with curio.timeout_after(ENGINE_LIMIT_S):
            return await http_client.fetch(address, request)
    except (curio.TaskTimeout, http_client.HttpError) as error:
        _LOG.warning('the engine did not answer: %r', error)
        return http_messages.Response(http.HTTPStatus.BAD_GATEWAY, [], b'')
