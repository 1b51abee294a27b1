"""Answers directory lookups and readiness checks."""

import http

import attrs

from camphorstair.fleet import state
from camphorstair_core.fleet import membership, roster, subsetting
from camphorstair_fleet import internal_answers
from camphorstair_platform import directory
from camphorstair_runtime import http_messages, http_server


@attrs.define(eq=False)
class Directory:
    """Request handler of the directory and readiness listeners.

    :ivar entry: The entry's state.
    """

    entry: state.FleetEntry

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one directory lookup or readiness check."""
        await responder.respond(self._answer(request))

    def _answer(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if directory.is_readiness_request(request):
            return self._readiness()
        directory_request = directory.directory_request(request)
        if directory_request is None:
            return internal_answers.unknown_call(request)
        addresses = membership.addresses(
            self._listed_members(), directory_request.data_centre
        )
        if not addresses:
            body = {'error': 'no entry serves'}
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            return http_messages.json_response(status, body)
        return directory.answer(addresses, membership.ANSWER_TTL_S)

    def _listed_members(self) -> list[membership.Member]:
        """Return the members to list in the answer.

        Whether to list this entry itself is decided from its own state, which
        is more current than the store. An entry that serves but is not ready,
        as its keys were confirmed too long ago, lists itself only if it knows
        no other member.
        """
        own = self.entry.own_member()
        present = self.entry.members.present.values()
        other_members = [
            member for member in present if member.name != own.name
        ]
        if self.entry.ready() or (self.entry.serves() and not other_members):
            other_members.append(own)
        return subsetting.serving_entries(
            other_members, roster.total_slots(self.entry.endpoints)
        )

    def _readiness(self) -> http_messages.Response:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if self.entry.ready():
            status = http.HTTPStatus.OK
        return http_messages.json_response(
            status, {'ready': self.entry.ready()}
        )
