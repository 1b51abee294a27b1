"""Tells other entries and agents what this entry knows of the store."""

import http

import attrs

from camphorstair_core.fleet import content_age, store_copy
from camphorstair_fleet import (
    internal_answers,
    internal_messages,
    mirroring,
    sources,
)
from camphorstair_runtime import clocks, http_messages


@attrs.define(eq=False)
class CopyService:
    """Answers the calls of processes that follow this entry's copy.

    :ivar mirror: The entry's mirror of the store.
    """

    mirror: mirroring.Mirror

    async def answer(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer with the changes that a process lacks.

        Waits for the next round if there are none. Answers 503 while the store
        does not answer this entry, so that the process asks elsewhere.

        :raises internal_messages.MessageError: if the call is malformed.
        """
        call = internal_messages.decode(
            request.body, internal_messages.CopyCall
        )
        received_s = clocks.boottime_s()
        update = self._update(call)
        if update is not None and not update.rows and not update.whole:
            await self.mirror.wait_round(sources.WATCH_WAIT_S)
            update = self._update(call)
        if update is None:
            error = internal_messages.MessageError('the store does not answer')
            return internal_answers.failure(
                http.HTTPStatus.SERVICE_UNAVAILABLE, error
            )
        now_s = clocks.boottime_s()
        reply = internal_messages.CopyReply(
            update,
            content_age.age_s(self.mirror.freshness, now_s),
            now_s - received_s,
        )
        return internal_answers.whole(reply)

    def _update(
        self, call: internal_messages.CopyCall
    ) -> store_copy.Update | None:
        if self.mirror.failed:
            return None
        return store_copy.updates_since(
            self.mirror.known, call.era, call.revision, call.prefixes
        )
