"""Fake back end for plain (non-model) requests: it takes yard bookings.

``python -m camphorstair_standins.plain IP:port [SECONDS]``

``SECONDS`` is the time that each booking takes, 0.02 if it is left out.
"""

import http
import sys

import attrs
import curio

from camphorstair_runtime import http_messages, http_server
from camphorstair_standins import serving

BOOKING_S = 0.02


@attrs.define
class BookingReply:
    """JSON body of the response to a booking.

    :ivar booking: Number of different request identifiers so far.
    :ivar request_id: Value of the ``x-request-id`` header.
    """

    booking: int
    request_id: str


@attrs.define
class PlainService:
    """HTTP handler that counts bookings.

    :ivar runs: Number of executions by ``x-request-id``.
    :ivar bookings: Number of executions by idempotency key.
    :ivar booking_s: Duration of a booking whose request has no
        ``x-booking-s`` header.
    """

    runs: dict[str, int] = attrs.field(factory=dict)
    bookings: dict[str, int] = attrs.field(factory=dict)
    booking_s: float = BOOKING_S

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Execute a booking on POST; return the execution counts on GET.

        ``GET /bookings/keys`` returns the counts by idempotency key, any other
        GET those by request identifier. A booking is answered with the status
        in its ``x-booking-status`` header, 200 without one.
        """
        status = request.header('x-booking-status') or http.HTTPStatus.OK
        payload: object = self.runs
        if request.path == '/bookings/keys':
            payload = self.bookings
        if request.method == 'POST':
            identifier = request.header('x-request-id')
            self.runs[identifier] = self.runs.get(identifier, 0) + 1
            self._count_booking(request)
            requested_s = request.header('x-booking-s')
            await curio.sleep(float(requested_s or self.booking_s))
            payload = BookingReply(len(self.runs), identifier)
        await responder.respond(
            http_messages.json_response(int(status), payload),
        )

    def _count_booking(self, request: http_messages.Request) -> None:
        key = request.header('idempotency-key')
        self.bookings[key] = self.bookings.get(key, 0) + 1


if __name__ == '__main__':
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else BOOKING_S
    serving.run(sys.argv[1], PlainService(booking_s=seconds).handle)
