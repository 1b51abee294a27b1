"""What a caller has of an event stream, over all attempts.

A stream goes on after a failure only while the events that the caller has are
numbered one by one: then nothing is passed on twice and nothing is left out.
"""

import re

import attrs

from camphorstair_core import answers, messages

_BOUNDARIES = (b'\n\n', b'\r\n\r\n')


@attrs.define
class EventOffset:
    """How far the caller has the stream.

    :ivar last_event: Number of the last event that the caller has.
    :ivar resumable: Whether the events that it has are numbered one by one.
    :ivar repeated: Events that came again and were dropped.
    """

    last_event: int = 0
    resumable: bool = True
    repeated: int = 0


def take_events(
    offset: EventOffset,
    chunk: messages.ResponseChunk,
    *,
    resumed: bool,
) -> bytes:
    """Return the events of a chunk that the caller lacks.

    :param offset: What the caller has; it is brought up to date.
    :param chunk: The next chunk of the attempt in progress.
    :param resumed: Whether that attempt went on with a started stream.
    :raises errors.RequestError: if an event is missing or can't be placed.
    """
    count = _count_events(chunk.body)
    if not count and not chunk.first_event:
        return chunk.body
    if resumed:
        return _take_resumed(offset, chunk, count)
    follows = chunk.first_event == offset.last_event + 1
    if not _numbered(chunk, count) or (offset.last_event and not follows):
        offset.resumable = False
    offset.last_event = chunk.last_event or offset.last_event
    return chunk.body


def _take_resumed(
    offset: EventOffset,
    chunk: messages.ResponseChunk,
    count: int,
) -> bytes:
    expected = offset.last_event + 1
    if not _numbered(chunk, count):
        raise answers.broken(
            chunk.request_id,
            f'an event after {offset.last_event} bears no number',
        )
    if chunk.first_event > expected:
        raise answers.broken(chunk.request_id, f'event {expected} is missing')
    lacking = max(0, chunk.last_event - offset.last_event)
    offset.repeated += chunk.last_event - chunk.first_event + 1 - lacking
    if not lacking:
        return b''
    offset.last_event = chunk.last_event
    return _from_event(chunk, expected)


def _numbered(chunk: messages.ResponseChunk, count: int) -> bool:
    """Tell whether the events of a chunk are numbered one by one."""
    numbers = chunk.last_event - chunk.first_event + 1
    return chunk.first_event > 0 and numbers == count


def _count_events(body: bytes) -> int:
    """Count the events, whole or not, without the comments."""
    if b'\r' in body:
        body = body.replace(b'\r\n', b'\n')
    blocks = body.count(b'\n\n')
    if body and not body.endswith(b'\n\n'):
        blocks += 1
    return blocks - body.count(b'\n\n:') - body.startswith(b':')


def _from_event(chunk: messages.ResponseChunk, number: int) -> bytes:
    found = re.search(rb'^id: ?%d\r?$' % number, chunk.body, re.MULTILINE)
    if found is None:
        raise answers.broken(chunk.request_id, f'event {number} is missing')
    ends = (
        chunk.body.rfind(boundary, 0, found.start()) + len(boundary)
        for boundary in _BOUNDARIES
        if boundary in chunk.body[: found.start()]
    )
    return chunk.body[max(ends, default=0) :]
