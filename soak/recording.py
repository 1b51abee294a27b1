"""Records requests at callers and endpoints, and checks the promises.

The promises are that no booking runs twice, that a request answered with one
of ``NOT_RUN_STATUSES`` did not run, that a complete response has the right
body, that a planned stop of an entry cuts off no request, and that revoked
keys and drained endpoints are out of use after ``REVOKE_S`` and ``DRAIN_S``.
"""

import http

import attrs

from camphorstair_platform_standins import documents

EVENTS = 12
REVOKE_S = documents.REVOKE_S
DRAIN_S = 2.0
# Retry-After of a refusal by an endpoint.
RETRY_AFTER_S = 2
# A fault may still have an effect for this time after its end.
FAULT_EFFECT_S = 3.0
# A response with one of these status codes promises that the request did not
# run.
NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@attrs.frozen
class Arrival:
    """A request that reached an endpoint, where it ran or was refused.

    :ivar attempt: Attempt identifier of the request.
    :ivar endpoint: Name of the endpoint.
    :ivar at_s: Time of its arrival, from the start of the run.
    """

    attempt: str
    endpoint: str
    at_s: float


@attrs.define
class Call:
    """A request at its caller.

    :ivar attempt: Attempt identifier of the request.
    :ivar route: Name of the route.
    :ivar key: API key of the request.
    :ivar entry: Number of the entry that it was sent to.
    :ivar sent_s: Time when it was sent, from the start of the run.
    :ivar ended_s: Time when the response was complete or the caller gave up.
    :ivar status: Status code; 0 if no complete response arrived.
    :ivar body: The complete body.
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
class FaultPeriod:
    """Period in which an unplanned fault may have an effect.

    :ivar begin_s: Start of the fault, from the start of the run.
    :ivar end_s: End of the fault plus ``FAULT_EFFECT_S``.
    """

    begin_s: float
    end_s: float

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Return whether the period overlaps another one."""
        return self.begin_s <= end_s and begin_s <= self.end_s


@attrs.define
class Recording:
    """Everything recorded in a run. Times are from the start of the run.

    :ivar runs: Requests that endpoints executed.
    :ivar refusals: Requests that endpoints refused with Retry-After.
    :ivar leaving_reports: Requests whose answer said that the endpoint leaves.
    :ivar calls: Requests of callers.
    :ivar revoked_s: Time at which each key was revoked.
    :ivar drained_s: Time at which each endpoint was registered as draining.
    :ivar unplanned_fault_periods: Periods affected by unplanned faults.
    :ivar lost_answer_periods: Periods in which entries may not get the answers
        of endpoints.
    :ivar interruptions_s: Times at which each entry was started again, or
        resumed after a freeze.
    :ivar faults: Descriptions of broken promises detected during the run.
    """

    runs: list[Arrival] = attrs.field(factory=list)
    refusals: list[Arrival] = attrs.field(factory=list)
    leaving_reports: list[Arrival] = attrs.field(factory=list)
    calls: list[Call] = attrs.field(factory=list)
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    drained_s: dict[str, float] = attrs.field(factory=dict)
    unplanned_fault_periods: list[FaultPeriod] = attrs.field(factory=list)
    lost_answer_periods: list[FaultPeriod] = attrs.field(factory=list)
    interruptions_s: dict[int, list[float]] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)

    def broken(self) -> list[str]:
        """Return descriptions of all broken promises."""
        return [
            *self.faults,
            *self._duplicate_bookings(),
            *self._false_refusals(),
            *self._wrong_bodies(),
            *self._runs_with_revoked_keys(),
            *self._runs_after_draining(),
        ]

    def record_interruption(self, entry: int, at_s: float) -> None:
        """Record that an entry was started again, or resumed."""
        self.interruptions_s.setdefault(entry, []).append(at_s)

    def may_not_know(self, entry: int, begin_s: float, end_s: float) -> bool:
        """Return whether an entry may not know at a time what it was told.

        :param entry: Number of the entry.
        :param begin_s: When an endpoint told it something.
        :param end_s: The later time.
        """
        interruptions_s = self.interruptions_s.get(entry, [])
        return any(begin_s <= at_s <= end_s for at_s in interruptions_s) or any(
            period.overlaps(begin_s, begin_s)
            for period in self.lost_answer_periods
        )

    def cut_off(self, entry: int, stopped_s: float) -> list[str]:
        """Describe the requests that a planned stop of an entry cut off.

        Requests that an unplanned fault may have affected are left out.

        :param entry: Number of the entry.
        :param stopped_s: Time of the stop, from the start of the run.
        """
        return [
            f'{call.attempt} was cut off by the stop of entry {entry}'
            for call in self.calls
            if call.entry == entry
            and call.sent_s < stopped_s < call.ended_s
            and not call.status
            and not self._was_disturbed(
                call.sent_s - FAULT_EFFECT_S, call.ended_s
            )
        ]

    def _runs_of(self, attempt: str) -> list[Arrival]:
        return [run for run in self.runs if run.attempt == attempt]

    def _duplicate_bookings(self) -> list[str]:
        return [
            f'booking {call.attempt} ran twice'
            for call in self.calls
            if call.route == 'book' and len(self._runs_of(call.attempt)) > 1
        ]

    def _false_refusals(self) -> list[str]:
        return [
            f'{call.attempt} was refused by {call.status} and ran'
            for call in self.calls
            if call.status in NOT_RUN_STATUSES and self._runs_of(call.attempt)
        ]

    def _wrong_bodies(self) -> list[str]:
        return [
            f'{call.attempt} got a wrong answer: {call.body!r:.80}'
            for call in self.calls
            if call.status == http.HTTPStatus.OK
            and call.body != _expected_body(call)
        ]

    def _runs_with_revoked_keys(self) -> list[str]:
        keys = {call.attempt: call.key for call in self.calls}
        sent_s = {call.attempt: call.sent_s for call in self.calls}
        return [
            f'{run.attempt} ran with a key that was taken away'
            for run in self.runs
            if sent_s[run.attempt]
            > self.revoked_s.get(keys[run.attempt], float('inf')) + REVOKE_S
        ]

    def _runs_after_draining(self) -> list[str]:
        violations = []
        for run in self.runs:
            draining_since_s = self.drained_s.get(run.endpoint)
            if (
                draining_since_s is None
                or run.at_s < draining_since_s + DRAIN_S
            ):
                continue
            if not self._was_disturbed(
                draining_since_s - FAULT_EFFECT_S, run.at_s
            ):
                violations.append(
                    f'{run.attempt} ran at {run.endpoint}, which left'
                )
        return violations

    def _was_disturbed(self, begin_s: float, end_s: float) -> bool:
        return any(
            period.overlaps(begin_s, end_s)
            for period in self.unplanned_fault_periods
        )


def events(attempt: str, first: int) -> list[bytes]:
    """Return the events of a stream, starting at a number.

    :param attempt: Attempt identifier, the data of each event.
    :param first: Number of the first event; a whole stream starts at 1.
    """
    return [
        b'id: %d\ndata: %b\n\n' % (number, attempt.encode())
        for number in range(first, EVENTS + 1)
    ]


def _expected_body(call: Call) -> bytes:
    if call.route == 'draft':
        return b''.join(events(call.attempt, 1))
    return call.attempt.encode()
