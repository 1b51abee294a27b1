"""Answers the directory's and the readiness calls."""

import http

import attrs

from camphorstair.fleet import state
from camphorstair_core.fleet import membership
from camphorstair_fleet import internal_answers
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
            return internal_answers.unknown_call(request)
        found = membership.addresses(self._named(), question.data_centre)
        if not found:
            body = {'error': 'no entry serves'}
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            return http_messages.json_response(status, body)
        return directory.answer(found, membership.ANSWER_LIFE_S)

    def _named(self) -> list[membership.Member]:
        """Return the members that callers are told of.

        Whether this entry is one it knows better than the store. An entry
        whose knowledge is too old for keys names itself only if it knows no
        other.
        """
        own = self.entry.own_member()
        present = self.entry.members.present.values()
        others = [one for one in present if one.name != own.name]
        if self.entry.ready() or (self.entry.serves() and not others):
            return [*others, own]
        return others

    def _readiness(self) -> http_messages.Response:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if self.entry.ready():
            status = http.HTTPStatus.OK
        return http_messages.json_response(
            status, {'ready': self.entry.ready()}
        )
