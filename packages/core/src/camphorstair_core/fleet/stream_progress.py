"""What a caller has of an event stream over several runs of its request.

Only whole events are passed on, so that a stream that broke off can go on at
another endpoint after the last event that the caller has.
"""

import re

import attrs

from camphorstair_core import event_stream

_IDENTIFIER = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)
_EVENT = re.compile(rb'.*?(?:\n\n|\r\n\r\n)', re.DOTALL)


@attrs.define
class StreamProgress:
    """How far a caller has a stream.

    :ivar last_event: The last event's identifier as sent; empty if none.
    :ivar numbered: Whether all events that the caller has bore identifiers.
    :ivar events: Events passed on.
    """

    last_event: str
    numbered: bool = True
    events: int = 0

    def take(self, events: bytes, *, resumed: bool) -> bytes:
        """Note whole events and return those that the caller lacks.

        :param events: Whole events as an endpoint sent them.
        :param resumed: Whether the caller has events of an earlier run.
        """
        if not resumed:
            self._note(events)
            return events
        lacking = [one for one in _EVENT.findall(events) if self._lacks(one)]
        joined = b''.join(lacking)
        self._note(joined)
        return joined

    def _lacks(self, event: bytes) -> bool:
        found = _IDENTIFIER.search(event)
        if found is None or not self.last_event.isdigit():
            return True
        return int(found[1]) > int(self.last_event)

    def _note(self, events: bytes) -> None:
        if not events:
            return
        count = len(_EVENT.findall(events))
        identifiers = _IDENTIFIER.findall(events)
        self.events += count
        self.numbered = self.numbered and len(identifiers) == count
        if identifiers:
            self.last_event = identifiers[-1].decode()


def cutter() -> event_stream.EventCutter:
    """Return what cuts the bytes of one run into whole events."""
    return event_stream.EventCutter()
