"""Relays planners' orders to the engines of ranks.

A hold order makes a rank group wait before a step until the hold is released.
Planners run on VMs that also run ranks. If such a VM sent a hold order directly
and then stopped, the rank on that VM could not be reached either, and the group
would be left waiting. The VM of an entry runs no rank, so planners send hold
orders through an entry.
"""

import http
import logging

import attrs
import curio

from camphorstair.fleet import state
from camphorstair_core.fleet import roster
from camphorstair_fleet import internal_answers, internal_messages
from camphorstair_platform import engines
from camphorstair_runtime import http_client, http_messages

# Longest wait for an engine's answer.
ENGINE_LIMIT_S = 0.25

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Relay:
    """Relays orders to engines.

    :ivar entry: The entry's state.
    """

    entry: state.FleetEntry

    async def answer(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        """Relay the order in a planner's call; return the answer to the call.

        :raises internal_messages.MessageError: if the body of the call is not a
            valid order.
        """
        relayed = internal_messages.decode(
            request.body, internal_messages.RelayedOrder
        )
        if not self._is_rank(relayed.address):
            unknown_rank = internal_messages.MessageError(
                f'no rank is registered at {relayed.address}'
            )
            return internal_answers.failure(
                http.HTTPStatus.NOT_FOUND, unknown_rank
            )
        status = await _send_order(relayed)
        return internal_answers.whole(internal_messages.OrderOutcome(status))

    def _is_rank(self, address: str) -> bool:
        """Return whether a rank is registered at an address."""
        endpoint = roster.at_address(self.entry.endpoints, address)
        return (
            endpoint is not None
            and endpoint.registration.membership is not None
        )


async def _send_order(relayed: internal_messages.RelayedOrder) -> int:
    """Send an order to an engine.

    :returns: The HTTP status of the engine's answer; 0 if the exchange with the
        engine fails or takes longer than ``ENGINE_LIMIT_S``.
    """
    told = relayed.order
    request = engines.order_request(told.order, told.epoch, told.sets)
    status = 0
    try:
        async with curio.timeout_after(ENGINE_LIMIT_S):
            status = (await http_client.fetch(relayed.address, request)).status
    except (curio.TaskTimeout, http_client.HttpError) as error:
        _LOG.warning('order to %s failed: %r', relayed.address, error)
    _LOG.info(
        'order %s relayed',
        told.order.kind.value,
        extra={
            'engine': relayed.address,
            'rank': told.order.rank,
            'step': told.order.step,
            'status': status,
        },
    )
    return status
