"""Answers the calls of other entries and of agents."""

import http

import attrs

from camphorstair.fleet import copy_serving, relaying
from camphorstair_fleet import (
    copy_messages,
    internal_answers,
    internal_messages,
)
from camphorstair_runtime import http_messages, http_server


@attrs.define(eq=False)
class InternalService:
    """Request handler of the internal listener.

    :ivar relay: Relays planners' orders.
    :ivar copies: Tells what this entry knows of the store.
    """

    relay: relaying.Relay
    copies: copy_serving.CopyService

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one call; a malformed one is answered 400."""
        try:
            answer = await self._answer(request)
        except internal_messages.MessageError as error:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_REQUEST, error
            )
        await responder.respond(answer)

    async def _answer(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        if request.path == internal_messages.RELAY_PATH:
            return await self.relay.answer(request)
        if request.path == copy_messages.COPY_PATH:
            return await self.copies.answer(request)
        if request.path == copy_messages.UNSETTLED_PATH:
            return await self.copies.answer_unsettled(request)
        return internal_answers.unknown_call(request)
