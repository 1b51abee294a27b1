"""Tracks which events of a stream a caller has received, over several attempts.

Only whole events are forwarded, so that an interrupted stream can be resumed at
another endpoint after the last event that the caller has received.
"""

import re

import attrs

from camphorstair_core import event_stream

_IDENTIFIER = re.compile(rb'^id: ?(\d{1,18})\r?$', re.MULTILINE)
_NUMBER = re.compile(r'[0-9]{1,18}')
_EVENT = re.compile(rb'.*?(?:\n\n|\r\n\r\n)', re.DOTALL)


@attrs.define
class StreamProgress:
    """The part of a stream that a caller has received.

    :ivar last_event: The identifier of the last event, as the endpoint sent
        it; empty if there is none.
    :ivar numbered: Whether all forwarded events had identifiers.
    :ivar events: Number of forwarded events.
    """

    last_event: str
    numbered: bool = True
    events: int = 0

    def take(self, events: bytes, *, resumed: bool) -> bytes:
        """Return the events that the caller lacks and record them as forwarded.

        :param events: Whole events as an endpoint sent them.
        :param resumed: Whether the caller has events of an earlier attempt;
            otherwise all events are returned.
        """
        if not resumed:
            self._record(events)
            return events
        missing = [
            event for event in _EVENT.findall(events) if self._is_missing(event)
        ]
        joined = b''.join(missing)
        self._record(joined)
        return joined

    def _is_missing(self, event: bytes) -> bool:
        identifier = _IDENTIFIER.search(event)
        if identifier is None or not _NUMBER.fullmatch(self.last_event):
            return True
        return int(identifier[1]) > int(self.last_event)

    def _record(self, events: bytes) -> None:
        if not events:
            return
        count = len(_EVENT.findall(events))
        identifiers = _IDENTIFIER.findall(events)
        self.events += count
        self.numbered = self.numbered and len(identifiers) == count
        if identifiers:
            self.last_event = identifiers[-1].decode()


def splitter() -> event_stream.EventSplitter:
    """Return a splitter of one attempt's bytes into whole events."""
    return event_stream.EventSplitter()
