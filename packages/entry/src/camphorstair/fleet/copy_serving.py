"""Tells other entries and agents what this entry knows of the store."""

import http
from collections import abc

import attrs

from camphorstair_core.fleet import content_age, store_copy
from camphorstair_fleet import (
    copy_messages,
    internal_answers,
    internal_messages,
    mirroring,
    sources,
)
from camphorstair_runtime import clocks, http_messages

# Longest wait for an era that another process has read already.
ERA_LIMIT_S = 0.6


@attrs.define(eq=False)
class CopyService:
    """Answers the calls of processes that follow this entry's copy.

    :ivar mirror: The entry's mirror of the store.
    :ivar is_informed: Returns whether the entry knows what the store's latest
        return has not settled.
    """

    mirror: mirroring.Mirror
    is_informed: abc.Callable[[], bool]

    async def answer(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer with the changes that a process lacks.

        Waits for the next round if there are none. Answers 503 while the store
        does not answer this entry, so that the process asks elsewhere.

        :raises internal_messages.MessageError: if the call is malformed.
        """
        call = internal_messages.decode(request.body, copy_messages.CopyCall)
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
        reply = copy_messages.CopyReply(
            update,
            content_age.age_s(self.mirror.freshness, now_s),
            now_s - received_s,
        )
        return internal_answers.whole(reply)

    async def answer_unsettled(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer with the keys that are unsettled since the store's return.

        Waits a short time until this entry has read the era of the caller.

        :raises internal_messages.MessageError: if the call is malformed.
        """
        call = internal_messages.decode(
            request.body, copy_messages.UnsettledCall
        )
        deadline_s = clocks.monotonic_s() + ERA_LIMIT_S
        known = self.mirror.known
        while known.rows_era < call.era and clocks.monotonic_s() < deadline_s:
            await self.mirror.wait_round(ERA_LIMIT_S)
        return internal_answers.whole(
            copy_messages.UnsettledReply(
                known.rows_era, store_copy.unsettled(known), self.is_informed()
            )
        )

    def _update(self, call: copy_messages.CopyCall) -> store_copy.Update | None:
        if self.mirror.failed:
            return None
        return store_copy.updates_since(
            self.mirror.known, call.era, call.revision, call.prefixes
        )
