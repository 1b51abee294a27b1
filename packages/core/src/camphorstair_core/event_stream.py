"""Cuts a server-sent event stream at the end of an event."""

import re

import attrs

_IDENTIFIER = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)
_BOUNDARIES = (b'\n\n', b'\r\n\r\n')


@attrs.define
class EventCutter:
    """Bytes of an event that has not come whole.

    :ivar pending: Those bytes.
    :ivar first_event: Number of the first event of the last cut; 0 if none.
    :ivar last_event: Number of the last event of the last cut; 0 if none.
    """

    pending: bytes = b''
    first_event: int = 0
    last_event: int = 0

    def cut(self, chunk: bytes) -> bytes:
        """Add bytes and return the events that have come whole."""
        received = self.pending + chunk
        end = max(_end_of_last(received, one) for one in _BOUNDARIES)
        self.pending = received[end:]
        events = received[:end]
        self._note_numbers(events)
        return events

    def flush(self) -> bytes:
        """Return what follows the last whole event at the stream's end."""
        rest = self.pending
        self.pending = b''
        self._note_numbers(rest)
        return rest

    def _note_numbers(self, events: bytes) -> None:
        numbers = _IDENTIFIER.findall(events)
        self.first_event = int(numbers[0]) if numbers else 0
        self.last_event = int(numbers[-1]) if numbers else 0


def _end_of_last(received: bytes, boundary: bytes) -> int:
    start = received.rfind(boundary)
    return 0 if start < 0 else start + len(boundary)
