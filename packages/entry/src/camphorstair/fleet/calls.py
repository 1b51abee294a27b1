"""One request of a caller on its way."""

import attrs

from camphorstair_core import verdicts
from camphorstair_core.fleet import catalogue, stream_progress, waiting
from camphorstair_platform import headers
from camphorstair_runtime import http_messages, http_server


@attrs.define(eq=False)
class Call:
    """A request with what was decided on it.

    :ivar request: The request as it came.
    :ivar given: What its headers say.
    :ivar route: Its route.
    :ivar version: Version of the configuration that decided.
    :ivar service: The service that answers it.
    :ivar organisation: Who holds its key; empty if none.
    :ivar responder: Sends the answer.
    :ivar received_s: When it came.
    :ivar deadline_s: When its final answer is due.
    :ivar waiter: Its needs in the queue.
    :ivar stream: What the caller has of a stream.
    :ivar attempts: Endpoints that it was sent to, without the present one.
    :ivar sent: Whether it may be at an endpoint with its outcome unknown.
    :ivar verdict: Whether it may have run, over all attempts.
    """

    request: http_messages.Request
    given: headers.CallerHeaders
    route: catalogue.Route
    version: int
    service: str
    organisation: str
    responder: http_server.Responder
    received_s: float
    deadline_s: float
    waiter: waiting.Waiter
    stream: stream_progress.StreamProgress
    attempts: int = 0
    sent: bool = False
    verdict: verdicts.Verdict = verdicts.Verdict.not_run

    def streaming(self) -> bool:
        """Tell whether the answer is an event stream."""
        return self.route.kind is catalogue.RequestKind.streaming
