"""What endpoints and callers saw, and which promises it breaks."""

import http

import attrs

from camphorstair_platform_standins import documents

EVENTS = 12
REVOKE_S = documents.REVOKE_S
DRAIN_S = 2.0
# Faults this long before may still have their effect.
AFTERMATH_S = 3.0
PROMISES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@attrs.frozen
class Run:
    """An endpoint began to work on a request.

    :ivar at_s: When, from the start of the soak.
    """

    attempt: str
    endpoint: str
    at_s: float


@attrs.define
class Call:
    """A caller's request.

    :ivar sent_s: When it was sent, from the start of the soak.
    :ivar ended_s: When it ended.
    :ivar status: The answer's status; 0 if none came whole.
    :ivar body: The whole body.
    """

    attempt: str
    route: str
    key: str
    entry: int
    sent_s: float
    ended_s: float = 0
    status: int = 0
    body: bytes = b''


@attrs.define
class Span:
    """A time in which something unplanned was wrong, with its aftermath."""

    begin_s: float
    end_s: float

    def touches(self, begin_s: float, end_s: float) -> bool:
        """Tell whether it overlaps a time."""
        return self.begin_s <= end_s and begin_s <= self.end_s


@attrs.define
class Witness:
    """All that was seen.

    :ivar revoked_s: When each key was taken away.
    :ivar drained_s: When each endpoint said that it leaves.
    :ivar harm: When something unplanned was wrong.
    :ivar faults: Broken promises that were seen at once.
    """

    runs: list[Run] = attrs.field(factory=list)
    calls: list[Call] = attrs.field(factory=list)
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    drained_s: dict[str, float] = attrs.field(factory=dict)
    harm: list[Span] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)

    def broken(self) -> list[str]:
        """Return the broken promises, in words."""
        return [
            *self.faults,
            *self._twice(),
            *self._untrue(),
            *self._torn(),
            *self._revoked(),
            *self._drained(),
        ]

    def cut_off(self, entry: int, stopped_s: float) -> list[str]:
        """Return the requests that a planned stop of an entry cut off."""
        return [
            f'{call.attempt} was cut off by the stop of entry {entry}'
            for call in self.calls
            if call.entry == entry
            and call.sent_s < stopped_s < call.ended_s
            and not call.status
            and not self._harmed(call.sent_s - AFTERMATH_S, call.ended_s)
        ]

    def _runs_of(self, attempt: str) -> list[Run]:
        return [run for run in self.runs if run.attempt == attempt]

    def _twice(self) -> list[str]:
        return [
            f'booking {call.attempt} ran twice'
            for call in self.calls
            if call.route == 'book' and len(self._runs_of(call.attempt)) > 1
        ]

    def _untrue(self) -> list[str]:
        return [
            f'{call.attempt} was refused by {call.status} and ran'
            for call in self.calls
            if call.status in PROMISES and self._runs_of(call.attempt)
        ]

    def _torn(self) -> list[str]:
        return [
            f'{call.attempt} got a wrong answer: {call.body!r:.80}'
            for call in self.calls
            if call.status == http.HTTPStatus.OK and call.body != _whole(call)
        ]

    def _revoked(self) -> list[str]:
        keys = {call.attempt: call.key for call in self.calls}
        sent_s = {call.attempt: call.sent_s for call in self.calls}
        return [
            f'{run.attempt} ran with a key that was taken away'
            for run in self.runs
            if sent_s[run.attempt]
            > self.revoked_s.get(keys[run.attempt], float('inf')) + REVOKE_S
        ]

    def _drained(self) -> list[str]:
        found = []
        for run in self.runs:
            left_s = self.drained_s.get(run.endpoint)
            if left_s is None or run.at_s < left_s + DRAIN_S:
                continue
            if not self._harmed(left_s - AFTERMATH_S, run.at_s):
                found.append(f'{run.attempt} ran at {run.endpoint}, which left')
        return found

    def _harmed(self, begin_s: float, end_s: float) -> bool:
        return any(span.touches(begin_s, end_s) for span in self.harm)


def events(attempt: str, first: int) -> list[bytes]:
    """Return the events of a stream from a number on."""
    return [
        b'id: %d\ndata: %b\n\n' % (number, attempt.encode())
        for number in range(first, EVENTS + 1)
    ]


def _whole(call: Call) -> bytes:
    if call.route == 'draft':
        return b''.join(events(call.attempt, 1))
    return call.attempt.encode()
