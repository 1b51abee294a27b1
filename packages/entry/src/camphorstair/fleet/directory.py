"""Answers the directory's and the readiness calls."""

import http

import attrs

from camphorstair.fleet import state
from camphorstair_core.fleet import membership
from camphorstair_platform import directory
from camphorstair_runtime import http_messages, http_server


@attrs.define(eq=False)
class Directory:
    """Handles the calls of the directory's listeners.

    :ivar entry: The entry's state.
    """

    entry: state.FleetEntry

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one call."""
        await responder.respond(self._answer(request))

    def _answer(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if directory.is_readiness(request):
            return self._readiness()
        question = directory.question(request)
        if question is None:
            body = {'error': f'no call {request.path}'}
            return http_messages.json_response(http.HTTPStatus.NOT_FOUND, body)
        own = self.entry.own_member() if self.entry.ready() else None
        found = membership.addresses(
            self.entry.members, own, question.data_centre
        )
        if not found:
            body = {'error': 'no entry serves'}
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            return http_messages.json_response(status, body)
        return directory.answer(found, membership.ANSWER_LIFE_S)

    def _readiness(self) -> http_messages.Response:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if self.entry.ready():
            status = http.HTTPStatus.OK
        return http_messages.json_response(
            status, {'ready': self.entry.ready()}
        )
