"""Relays the whole events of a stream from an endpoint to a caller."""

import attrs

from camphorstair.fleet import answer_progress, calls
from camphorstair_core import event_stream
from camphorstair_core.fleet import stream_progress
from camphorstair_platform import headers
from camphorstair_runtime import (
    body_bounds,
    clocks,
    http_client,
    http_messages,
    kept_messages,
)

# Longest event of a stream. A faulty endpoint may send bytes without end.
MAX_EVENT_BYTES = 1024 * 1024


@attrs.define(eq=False)
class StreamRelay:
    """Relays the stream of one attempt.

    :ivar call: The request.
    :ivar exchange: The connection to the endpoint, whose answer's head was
        read.
    :ivar progress: The progress of the answer.
    :ivar kept_answers: What is kept of all answers together.
    :ivar first_part_s: When the first event was sent to the caller; 0 before,
        and if an earlier attempt has begun the answer.
    :ivar splitter: Splits the received bytes into events.
    """

    call: calls.Call
    exchange: http_client.Exchange
    progress: answer_progress.AnswerProgress
    kept_answers: kept_messages.KeptMessages
    first_part_s: float = 0
    splitter: event_stream.EventSplitter = attrs.field(
        factory=event_stream.EventSplitter
    )

    def check_head(self) -> None:
        """Check that an answer that resumes a stream is of the same kind.

        :raises http_client.HttpError: if it has another status or type.
        """
        kind = _answer_kind(self.exchange)
        if self.call.responder.started and kind != self.call.stream_kind:
            raise http_client.HttpError(
                f'{kind} does not go on with {self.call.stream_kind}', sent=True
            )

    async def run(self) -> None:
        """Relay events until the endpoint ends the stream.

        The end is not passed on; ``finish`` does that.

        :raises http_client.HttpError: if the connection breaks or an event is
            too long.
        """
        resumed = self.call.responder.started
        bound = _event_bound()
        chunk = await self._read()
        while chunk is not None:
            events = self.splitter.feed(chunk)
            if events:
                bound = _event_bound()
                await self._free_kept()
                self.progress.note_events()
                await self._send_events(self._take(events, resumed=resumed))
            else:
                http_client.count_part(bound, chunk)
                await self.kept_answers.keep(self.call.kept_answer, len(chunk))
            chunk = await self._read()

    async def finish(self) -> None:
        """End the stream to the caller; one without events has a head only.

        :raises http_client.HttpError: if the endpoint ended the stream within
            an event, or without a length before the first one.
        """
        if self.splitter.pending:
            raise http_client.HttpError(
                'the stream ended within an event', sent=True
            )
        if self.progress.first_event_s is not None:
            self.progress.note_complete()
        elif not self.exchange.framed:
            raise http_client.HttpError(
                'the stream ended before its first event', sent=True
            )
        await self._start()
        await self.call.responder.finish()

    def _take(self, events: bytes, *, resumed: bool) -> bytes:
        """Return the events that the caller lacks.

        :raises http_client.HttpError: if the stream does not go on with those
            that the caller has.
        """
        try:
            return self.call.stream.take(events, resumed=resumed)
        except stream_progress.StreamError as error:
            raise http_client.HttpError(str(error), sent=True) from error

    async def _read(self) -> bytes | None:
        """Read on, after the caller has left room if that is bounded."""
        if self.call.held is not None:
            await self.call.held.wait_room()
        return await self.exchange.read()

    async def _free_kept(self) -> None:
        """Free the parts of an event that has come whole."""
        if self.call.kept_answer.kept_bytes:
            await self.kept_answers.free(self.call.kept_answer)

    async def _send_events(self, events: bytes) -> None:
        """Send events to the caller, after the head if it was not sent."""
        if not events:
            return
        if not self.call.responder.started:
            self.first_part_s = clocks.monotonic_s()
        await self._start()
        await self.call.responder.send(events)

    async def _start(self) -> None:
        """Send the head of the answer, unless it was sent."""
        if not self.call.responder.started:
            self.call.stream_kind = _answer_kind(self.exchange)
            response_headers = headers.for_caller(self.exchange.headers)
            await self.call.responder.start(
                self.exchange.status, response_headers
            )


def _event_bound() -> body_bounds.BodyBound:
    """Return the bound of the event that comes next."""
    return body_bounds.BodyBound(MAX_EVENT_BYTES)


def _answer_kind(exchange: http_client.Exchange) -> str:
    """Return the status and the media type of an answer."""
    content_type = http_messages.header(exchange.headers, 'content-type')
    media_type = content_type.partition(';')[0].strip().lower()
    return f'{exchange.status} {media_type}'
