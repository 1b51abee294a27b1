"""Tracks which events of a stream a caller has received, over several attempts.

Only whole events are forwarded, so that an interrupted stream can be resumed at
another endpoint after the last event that the caller has received.
"""

import re

import attrs

_IDENTIFIER = re.compile(rb'^id: ?(\d{1,18})\r?$', re.MULTILINE)
_NUMBER = re.compile(r'[0-9]{1,18}')
# Events after which their numbers tell whether they are consecutive.
_MIN_EVENTS = 2
_DATA_LINE = re.compile(rb'^data', re.MULTILINE)
_EVENT = re.compile(rb'.*?(?:\n\n|\r\n\r\n)', re.DOTALL)


class StreamError(Exception):
    """A resumed stream does not go on with what its caller has."""


@attrs.define
class StreamProgress:
    """The part of a stream that a caller has received.

    :ivar last_event: The identifier of the last event, as the endpoint sent
        it; empty if there is none.
    :ivar numbered: Whether all forwarded events had identifiers.
    :ivar events: Number of forwarded events.
    :ivar consecutive: Whether the numbers of all of them were consecutive.
    """

    last_event: str
    numbered: bool = True
    events: int = 0
    consecutive: bool = True

    def take(self, events: bytes, *, resumed: bool) -> bytes:
        """Return the events that the caller lacks and record them as forwarded.

        :param events: Whole events as an endpoint sent them.
        :param resumed: Whether the caller has events of an earlier attempt;
            otherwise all events are returned.
        :raises StreamError: if events without a number resume a numbered
            stream, or an event is missing.
        """
        if not resumed:
            self._record(events)
            return events
        missing = [
            event for event in _EVENT.findall(events) if self._is_missing(event)
        ]
        if self.events:
            self._check_continued(missing)
        joined = b''.join(missing)
        self._record(joined)
        return joined

    def _check_continued(self, missing: list[bytes]) -> None:
        """Check that events follow those that the caller has.

        :raises StreamError: if they don't.
        """
        for event in missing:
            identifier = _IDENTIFIER.search(event)
            if identifier is None and _DATA_LINE.search(event):
                raise StreamError(
                    f'an event after {self.last_event} is unnumbered'
                )
        numbers = _IDENTIFIER.findall(b''.join(missing))
        if not numbers or not self.consecutive or self.events < _MIN_EVENTS:
            return
        if not _NUMBER.fullmatch(self.last_event):
            return
        if int(numbers[0]) != int(self.last_event) + 1:
            raise StreamError(f'no event follows {self.last_event}')

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
            self._check_numbers([int(number) for number in identifiers])
            self.last_event = identifiers[-1].decode()

    def _check_numbers(self, numbers: list[int]) -> None:
        """Note whether event numbers follow each other without a gap."""
        first = numbers[0]
        if _NUMBER.fullmatch(self.last_event):
            first = int(self.last_event) + 1
        expected = list(range(first, first + len(numbers)))
        self.consecutive = self.consecutive and numbers == expected
