"""Fake endpoints of a soak test; they record each request they execute."""

import http
import time
from collections import abc

import attrs
import curio

from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import http_messages, http_server
from soak import recording

EVENT_GAP_S = 0.03
WORK_S = 0.05


@attrs.define(eq=False)
class Endpoint:
    """HTTP handler of a fake endpoint.

    :ivar name: Identifier of the endpoint.
    :ivar seen: Records the requests that were executed.
    :ivar elapsed_s: Returns the time since the start of the run.
    :ivar leaving: Whether its answers say that it leaves.
    :ivar refusing_until_s: Until this time from the start of the run it
        refuses requests with Retry-After.
    """

    name: str
    seen: recording.Recording
    elapsed_s: abc.Callable[[], float] = time.monotonic
    leaving: bool = False
    refusing_until_s: float = 0

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Record and execute a request; refuse one meant for another endpoint.

        A path under ``/draft/`` is answered by a stream of events, any other
        path by one body.
        """
        attempt = request.header(exchange_headers.ATTEMPT)
        headers = exchange_headers.sealed(attempt)
        expected = request.header(exchange_headers.EXPECTED_ENDPOINT)
        if expected != self.name:
            status = http.HTTPStatus.MISDIRECTED_REQUEST
            answer = http_messages.Response(status, headers[:1], b'')
            await responder.respond(answer)
            return
        arrival = recording.Arrival(attempt, self.name, self.elapsed_s())
        if arrival.at_s < self.refusing_until_s:
            self.seen.refusals.append(arrival)
            await responder.respond(_refusal(headers))
            return
        self.seen.runs.append(arrival)
        if self.leaving:
            self.seen.leaving_reports.append(arrival)
            headers.append(exchange_headers.LEAVING)
        if not request.path.startswith('/draft/'):
            await curio.sleep(WORK_S)
            await responder.respond(
                http_messages.Response(
                    http.HTTPStatus.OK, headers, attempt.encode()
                )
            )
            return
        first = int(request.header(exchange_headers.LAST_EVENT) or 0) + 1
        await responder.start(http.HTTPStatus.OK, headers)
        for event in recording.events(attempt, first):
            await responder.send(event)
            await curio.sleep(EVENT_GAP_S)
        await responder.finish()


def _refusal(headers: http_messages.HeaderList) -> http_messages.Response:
    """Return a refusal with Retry-After.

    :param headers: The headers of an endpoint's own answer.
    """
    retry_after = ('retry-after', str(recording.RETRY_AFTER_S))
    return http_messages.Response(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        [*headers, exchange_headers.NOT_RUN, retry_after],
        b'',
    )
