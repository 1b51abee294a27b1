"""Cuts a server-sent event stream at the end of an event."""

import re

import attrs

_IDENTIFIER = re.compile(rb'^id: ?(\d+)', re.MULTILINE)
_BOUNDARY = b'\n\n'


@attrs.define
class EventCutter:
    """Bytes of an event that has not come whole.

    :ivar pending: Those bytes.
    :ivar last_event: Number of the last event that has come whole.
    """

    pending: bytes = b''
    last_event: int = 0

    def cut(self, chunk: bytes) -> bytes:
        """Add bytes and return the events that have come whole."""
        received = self.pending + chunk
        whole, boundary, rest = received.rpartition(_BOUNDARY)
        self.pending = rest
        events = whole + boundary
        numbers = _IDENTIFIER.findall(events)
        if numbers:
            self.last_event = int(numbers[-1])
        return events
