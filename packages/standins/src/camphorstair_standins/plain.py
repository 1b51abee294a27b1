"""Stand-in for a plain service that books yards.

``python -m camphorstair_standins.plain IP:port [SECONDS a booking takes]``
"""

import http
import sys

import attrs
import curio

from camphorstair_runtime import http_messages, http_server
from camphorstair_standins import serving

BOOKING_S = 0.02


@attrs.define
class Booked:
    """The answer to a booking."""

    booking: int
    request_id: str


@attrs.define
class PlainService:
    """State of the service.

    :ivar runs: How often each request ran, by its identifier.
    :ivar bookings: How often each booking ran, by its idempotency key.
    :ivar booking_s: Time that a booking takes unless its caller says.
    """

    runs: dict[str, int] = attrs.field(factory=dict)
    bookings: dict[str, int] = attrs.field(factory=dict)
    booking_s: float = BOOKING_S

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Book on POST; return the runs on GET."""
        payload: object = self.runs
        if request.path == '/bookings/keys':
            payload = self.bookings
        if request.method == 'POST':
            identifier = request.header('x-request-id')
            self.runs[identifier] = self.runs.get(identifier, 0) + 1
            self._count_booking(request)
            asked = request.header('x-booking-s')
            await curio.sleep(float(asked or self.booking_s))
            payload = Booked(len(self.runs), identifier)
        await responder.respond(
            http_messages.json_response(http.HTTPStatus.OK, payload),
        )

    def _count_booking(self, request: http_messages.Request) -> None:
        key = request.header('idempotency-key')
        self.bookings[key] = self.bookings.get(key, 0) + 1


if __name__ == '__main__':
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else BOOKING_S
    serving.run(sys.argv[1], PlainService(booking_s=seconds).handle)
