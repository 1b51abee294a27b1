"""The events of several attempts add up to one uninterrupted stream.

After a break, a new attempt may repeat events that the caller already has.
Each event must reach the caller exactly once and in order.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core import (
    answers,
    errors,
    event_offsets,
    event_stream,
    messages,
)

EVENT_COUNT = 12
# Number of repeated events, sizes of the reads in bytes, end of a line.
Attempt = tuple[int, list[int], bytes]
ATTEMPTS = st.tuples(
    st.integers(0, 4),
    st.lists(st.integers(1, 60), min_size=1, max_size=8),
    st.sampled_from([b'\n', b'\r\n']),
)


def _events(first: int, last: int, line_end: bytes = b'\n') -> bytes:
    """Return events of consecutive numbers, first and last included."""
    numbers = range(first, last + 1)
    lines = [_event(number, line_end) for number in numbers]
    return b''.join(lines)


def _event(number: int, line_end: bytes) -> bytes:
    return b'id: %d%bdata: text%b' % (number, line_end, line_end * 2)


def _chunk(body: bytes) -> messages.ResponseChunk:
    """Return the response chunk that carries the complete events of a body."""
    splitter = event_stream.EventSplitter()
    events = splitter.feed(body)
    return messages.ResponseChunk(
        'mine', 1, 1, splitter.last_event, events, splitter.first_event
    )


@given(st.lists(ATTEMPTS, max_size=6))
def test_resumed_attempts_yield_complete_stream(
    broken: list[Attempt],
) -> None:
    offset = event_offsets.EventOffset()
    text = b''
    # The last attempt reads the rest of the stream in one part.
    broken.append((0, [10_000], b'\n'))
    for repeated, sizes, line_end in broken:
        resumed = offset.last_event > 0
        first = max(0, offset.last_event - repeated) + 1
        stream = _events(first, EVENT_COUNT, line_end)
        splitter = event_stream.EventSplitter()
        for size in sizes:
            body = splitter.feed(stream[:size])
            stream = stream[size:]
            chunk = messages.ResponseChunk(
                'mine', 1, 1, splitter.last_event, body, splitter.first_event
            )
            text += event_offsets.accept_events(offset, chunk, resumed=resumed)
    assert text.replace(b'\r', b'') == _events(1, EVENT_COUNT)
    assert offset.resumable


def test_a_missing_event_is_an_error() -> None:
    offset = event_offsets.EventOffset(last_event=3)
    with pytest.raises(errors.RequestError, match='event 4 is missing'):
        event_offsets.accept_events(offset, _chunk(_events(5, 6)), resumed=True)


def test_stream_without_event_ids_is_not_resumable() -> None:
    offset = event_offsets.EventOffset()
    body = b'data: text\n\n'
    taken = event_offsets.accept_events(offset, _chunk(body), resumed=False)
    assert taken == body
    assert not offset.resumable
    offset = event_offsets.EventOffset(last_event=3)
    with pytest.raises(errors.RequestError, match='bears no number'):
        event_offsets.accept_events(offset, _chunk(body), resumed=True)


def test_comments_are_not_counted_as_events() -> None:
    offset = event_offsets.EventOffset(last_event=3)
    body = b''.join((b': still there\n\n', _events(4, 5)))
    assert event_offsets.accept_events(offset, _chunk(body), resumed=True)
    assert offset.last_event == 5


def test_flush_returns_incomplete_last_event() -> None:
    splitter = event_stream.EventSplitter()
    assert not splitter.feed(b'data: half')
    assert splitter.flush() == b'data: half'


def test_heads_and_refusals_of_other_attempts_are_dropped() -> None:
    progress = answers.AnswerProgress('mine', 2)
    load = messages.LoadReport()
    assert not answers.belongs_to_attempt(
        progress, messages.ResponseHead('mine', 1, 200, [], load)
    )
    assert not answers.belongs_to_attempt(
        progress, messages.RequestRefused('other', 'overloaded', '', 0, load)
    )
    assert progress.dropped == 2
