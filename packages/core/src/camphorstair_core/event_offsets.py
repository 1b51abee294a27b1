"""Tracks which events of a stream a caller has received, over all attempts.

A stream can be resumed after a failure only if the events that the caller has
received are numbered consecutively. Then no event is repeated or lost.
"""

import re

import attrs

from camphorstair_core import answers, messages

_BOUNDARIES = (b'\n\n', b'\r\n\r\n')


@attrs.define
class EventOffset:
    """Position of the caller in an event stream.

    :ivar last_event: Number of the last event that the caller has received.
    :ivar resumable: Whether the events received so far are numbered
        consecutively.
    :ivar repeated: Number of events that were received again and dropped.
    """

    last_event: int = 0
    resumable: bool = True
    repeated: int = 0


def accept_events(
    offset: EventOffset,
    chunk: messages.ResponseChunk,
    *,
    resumed: bool,
) -> bytes:
    """Return the events of a chunk that the caller has not received yet.

    :param offset: The caller's position, which is updated.
    :param chunk: The next chunk of the current attempt.
    :param resumed: Whether the current attempt resumes a started stream.
    :returns: The bytes to send to the caller; may be empty.
    :raises errors.RequestError: if a resumed stream lacks an event, or has
        one without a number.
    """
    count = _count_events(chunk.body)
    if not count and not chunk.first_event:
        return chunk.body
    if resumed:
        return _new_resumed_events(offset, chunk, count)
    contiguous = chunk.first_event == offset.last_event + 1
    if not _is_numbered(chunk, count) or (offset.last_event and not contiguous):
        offset.resumable = False
    offset.last_event = chunk.last_event or offset.last_event
    return chunk.body


def _new_resumed_events(
    offset: EventOffset,
    chunk: messages.ResponseChunk,
    count: int,
) -> bytes:
    """Return the new events of a chunk from a resumed stream."""
    expected = offset.last_event + 1
    if not _is_numbered(chunk, count):
        raise answers.broken(
            chunk.request_id,
            f'an event after {offset.last_event} bears no number',
        )
    if chunk.first_event > expected:
        raise answers.broken(chunk.request_id, f'event {expected} is missing')
    new_count = max(0, chunk.last_event - offset.last_event)
    offset.repeated += chunk.last_event - chunk.first_event + 1 - new_count
    if not new_count:
        return b''
    offset.last_event = chunk.last_event
    return _from_event(chunk, expected)


def _is_numbered(chunk: messages.ResponseChunk, count: int) -> bool:
    """Return whether the events of a chunk are numbered consecutively."""
    numbers = chunk.last_event - chunk.first_event + 1
    return chunk.first_event > 0 and numbers == count


def _count_events(body: bytes) -> int:
    """Return the number of events, including an incomplete last one.

    Comments (blocks that start with a colon) are not counted.
    """
    if b'\r' in body:
        body = body.replace(b'\r\n', b'\n')
    blocks = body.count(b'\n\n')
    if body and not body.endswith(b'\n\n'):
        blocks += 1
    return blocks - body.count(b'\n\n:') - body.startswith(b':')


def _from_event(chunk: messages.ResponseChunk, number: int) -> bytes:
    """Return the body of a chunk from the start of a given event.

    :raises errors.RequestError: if the chunk does not contain the event.
    """
    id_line = re.search(rb'^id: ?%d\r?$' % number, chunk.body, re.MULTILINE)
    if id_line is None:
        raise answers.broken(chunk.request_id, f'event {number} is missing')
    preceding_ends = (
        chunk.body.rfind(boundary, 0, id_line.start()) + len(boundary)
        for boundary in _BOUNDARIES
        if boundary in chunk.body[: id_line.start()]
    )
    return chunk.body[max(preceding_ends, default=0) :]
