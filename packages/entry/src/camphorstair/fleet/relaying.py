"""Gives engines the orders for which a planner asks.

A VM that stops just after its order to hold a rank group leaves the group
waiting if it is the VM of a rank, since that rank can't be reached either. The
VM of an entry has no rank.
"""

import http
import logging

import attrs
import curio

from camphorstair.fleet import state
from camphorstair_fleet import internal_answers, internal_messages
from camphorstair_platform import engines
from camphorstair_runtime import http_client, http_messages, http_server

ENGINE_LIMIT_S = 0.25

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Relay:
    """Handles the planners' calls.

    :ivar entry: The entry's state.
    """

    entry: state.FleetEntry

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one call."""
        try:
            answer = await self._answer(request)
        except internal_messages.MessageError as error:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_REQUEST, error
            )
        await responder.respond(answer)

    async def _answer(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if request.path != internal_messages.RELAY_PATH:
            return internal_answers.unknown_call(request)
        asked = internal_messages.decode(
            request.body, internal_messages.RelayedOrder
        )
        if not self._is_rank(asked.address):
            fault = internal_messages.MessageError(
                f'no rank at {asked.address}'
            )
            return internal_answers.failure(http.HTTPStatus.NOT_FOUND, fault)
        status = await _give(asked)
        return internal_answers.whole(internal_messages.OrderOutcome(status))

    def _is_rank(self, address: str) -> bool:
        return any(
            one.registration.address == address
            and one.registration.membership is not None
            for one in self.entry.endpoints.endpoints.values()
        )


async def _give(asked: internal_messages.RelayedOrder) -> int:
    """Return the status of the engine's answer; 0 if there is none."""
    told = asked.order
    request = engines.order_request(told.order, told.epoch, told.sets)
    status = 0
    try:
        async with curio.timeout_after(ENGINE_LIMIT_S):
            status = (await http_client.fetch(asked.address, request)).status
    except (curio.TaskTimeout, http_client.HttpError) as error:
        _LOG.warning('order to %s: %r', asked.address, error)
    _LOG.info(
        'order %s relayed',
        told.order.kind.value,
        extra={
            'engine': asked.address,
            'rank': told.order.rank,
            'step': told.order.step,
            'status': status,
        },
    )
    return status
