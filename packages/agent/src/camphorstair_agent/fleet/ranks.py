"""Answers the planner's questions about this VM's rank, and its orders."""

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
    """Handles the planner's calls.

    :ivar calls: The engine, for questions.
    :ivar order_calls: The engine, for orders; one that is left unanswered
        does not hold up the questions.
    """

    calls: engine_calls.EngineCalls
    order_calls: engine_calls.EngineCalls

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one call."""
        try:
            answer = await self._answer(request)
        except (http_client.HttpError, fields.FormatError) as error:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_GATEWAY, error
            )
        except internal_messages.MessageError as fault:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_REQUEST, fault
            )
        await responder.respond(answer)

    async def _answer(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if request.path == internal_messages.ORDER_PATH:
            return internal_answers.whole(await self._order(request.body))
        if request.path == internal_messages.STATE_PATH:
            return internal_answers.whole(await self._state())
        if request.path == internal_messages.STATE_WITH_COUNTS_PATH:
            return internal_answers.whole(await self._state_with_counts())
        return internal_answers.unknown_call(request)

    async def _state(
        self,
        experts: engines.BySet = (),
        counts: engines.BySet = (),
    ) -> internal_messages.RankState:
        answer = await self.calls.call(engines.report_request())
        report = engines.decode_report(answer.body)
        if report.rank is None:
            raise fields.FormatError('the engine is no rank of a group')
        return internal_messages.RankState(
            report.rank, report.pace, experts, counts
        )

    async def _state_with_counts(self) -> internal_messages.RankState:
        counts = await self.calls.call(engines.counts_request())
        maps = await self.calls.call(engines.maps_request())
        experts = engines.decode_maps(maps.body).experts
        return await self._state(
            experts, engines.decode_counts(counts.body, len(experts)).counts
        )

    async def _order(self, content: bytes) -> internal_messages.OrderOutcome:
        found = internal_messages.decode(content, internal_messages.RankOrder)
        request = engines.order_request(found.order, found.epoch, found.sets)
        try:
            answer = await self.order_calls.call(request)
        except http_client.HttpError as error:
            _LOG.warning('order %s: %s', found.order.kind.value, error)
            return internal_messages.OrderOutcome(0)
        return internal_messages.OrderOutcome(answer.status)
