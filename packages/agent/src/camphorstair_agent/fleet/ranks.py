"""Serves the planner's state requests and orders for the rank on this VM."""

import http
import logging

import attrs

from camphorstair_agent.fleet import engine_calls
from camphorstair_fleet import internal_answers, internal_messages
from camphorstair_platform import engines, fields
from camphorstair_runtime import http_client, http_messages, http_server

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class RankService:
    """Handles the planner's requests.

    :ivar calls: Connection to the engine for reading its state.
    :ivar order_calls: A separate connection for orders, so that an order
        without a response does not delay reads.
    """

    calls: engine_calls.EngineCalls
    order_calls: engine_calls.EngineCalls

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Respond to one request.

        Responds with status 502 if the engine fails, and 400 if the message is
        malformed.
        """
        try:
            answer = await self._answer(request)
        except (http_client.HttpError, fields.FormatError) as error:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_GATEWAY, error
            )
        except internal_messages.MessageError as message_error:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_REQUEST, message_error
            )
        await responder.respond(answer)

    async def _answer(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if request.path == internal_messages.ORDER_PATH:
            return internal_answers.whole(
                await self._execute_order(request.body)
            )
        if request.path == internal_messages.STATE_PATH:
            return internal_answers.whole(await self._read_state())
        if request.path == internal_messages.STATE_WITH_COUNTS_PATH:
            return internal_answers.whole(await self._read_state_with_counts())
        return internal_answers.unknown_call(request)

    async def _read_state(
        self,
        experts: engines.IntegersBySet = (),
        counts: engines.IntegersBySet = (),
    ) -> internal_messages.RankState:
        """Read the rank's state from the engine.

        :param experts: Experts that the rank holds, by set.
        :param counts: How often each expert was chosen, by set.
        :raises fields.FormatError: if the engine is not a rank of a group.
        """
        answer = await self.calls.call(engines.report_request())
        report = engines.decode_report(answer.body)
        if report.rank is None:
            raise fields.FormatError('the engine is not a rank of a group')
        return internal_messages.RankState(
            report.rank, report.pace, experts, counts
        )

    async def _read_state_with_counts(self) -> internal_messages.RankState:
        """Read the rank's state together with its experts and counts."""
        counts = await self.calls.call(engines.counts_request())
        maps = await self.calls.call(engines.maps_request())
        experts = engines.decode_maps(maps.body).experts
        return await self._read_state(
            experts, engines.decode_counts(counts.body, len(experts)).counts
        )

    async def _execute_order(
        self, content: bytes
    ) -> internal_messages.OrderOutcome:
        """Send an order to the engine.

        :returns: The status of the response; 0 if there was none.
        """
        rank_order = internal_messages.decode(
            content, internal_messages.RankOrder
        )
        request = engines.order_request(
            rank_order.order, rank_order.epoch, rank_order.sets
        )
        try:
            answer = await self.order_calls.call(request)
        except http_client.HttpError as error:
            _LOG.warning(
                'order %s got no response: %s',
                rank_order.order.kind.value,
                error,
            )
            return internal_messages.OrderOutcome(0)
        return internal_messages.OrderOutcome(answer.status)
