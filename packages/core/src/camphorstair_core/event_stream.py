"""Splits a stream of server-sent events at event boundaries."""

import re

import attrs

_IDENTIFIER = re.compile(rb'^id: ?(\d{1,18})\r?$', re.MULTILINE)
_BOUNDARIES = (b'\n\n', b'\r\n\r\n')
_LONGEST_BOUNDARY = 4


@attrs.define
class EventSplitter:
    """Buffers a stream of server-sent events and returns complete events.

    :ivar pending: Bytes of the last event while it is incomplete.
    :ivar first_event: First event number in the bytes returned last; 0 if
        these contain no number.
    :ivar last_event: Last event number in the bytes returned last; 0 if these
        contain no number.
    """

    pending: bytearray = attrs.field(factory=bytearray)
    first_event: int = 0
    last_event: int = 0

    def feed(self, chunk: bytes) -> bytes:
        """Append bytes to the buffer and remove all complete events from it.

        :param chunk: The received bytes.
        :returns: The complete events; empty if there are none.
        """
        searched = max(0, len(self.pending) - _LONGEST_BOUNDARY + 1)
        self.pending += chunk
        end = max(
            _end_of_last(self.pending, boundary, searched)
            for boundary in _BOUNDARIES
        )
        if not end:
            self._update_numbers(b'')
            return b''
        events = bytes(self.pending[:end])
        self.pending = self.pending[end:]
        self._update_numbers(events)
        return events

    def flush(self) -> bytes:
        """Return and clear the buffered bytes at the end of the stream."""
        remaining = bytes(self.pending)
        self.pending.clear()
        self._update_numbers(remaining)
        return remaining

    def _update_numbers(self, events: bytes) -> None:
        numbers = _IDENTIFIER.findall(events)
        self.first_event = int(numbers[0]) if numbers else 0
        self.last_event = int(numbers[-1]) if numbers else 0


def _end_of_last(received: bytearray, boundary: bytes, searched: int) -> int:
    """Return the offset after the last boundary; 0 if there is none.

    :param searched: Offset before which no boundary begins.
    """
    start = received.rfind(boundary, searched)
    return 0 if start < 0 else start + len(boundary)
