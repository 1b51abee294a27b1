"""The state of one caller's request while it is handled."""

import attrs

from camphorstair.fleet import holding
from camphorstair_core import byte_budget, verdicts
from camphorstair_core.fleet import (
    catalogue,
    request_identity,
    stream_progress,
    waiting,
    work_estimates,
)
from camphorstair_platform import headers
from camphorstair_runtime import http_messages, http_server


@attrs.define(eq=False)
class Call:
    """A request with its routing decision and the outcome of its attempts.

    Times are on the monotonic clock.

    :ivar request: The request as received.
    :ivar caller_headers: Its decoded headers.
    :ivar route: The route that matches it.
    :ivar version: Version of the configuration that it was routed by.
    :ivar service: The service that it is sent to.
    :ivar organisation: Name of the organisation that owns its key; empty if
        there is none.
    :ivar identity: Identifies the request when it comes again.
    :ivar responder: Sends the answer to the caller.
    :ivar received_s: Time at which the request was received.
    :ivar deadline_s: Time by which the answer must be complete.
    :ivar waiter: Its entry in the service's queue.
    :ivar stream: The events that were sent to the caller so far.
    :ivar stream_kind: Status and media type of the stream that the caller has
        begun to receive; empty before.
    :ivar work: Its estimated work; unknown if its service is not ranked.
    :ivar held: What is held for slow peers; None if it is not bounded.
    :ivar kept_answer: What is kept of the answers until they are passed on.
    :ivar attempts: Number of finished attempts that sent the request.
    :ivar sent: Whether the current attempt has begun to send the request and
        has not failed.
    :ivar verdict: Whether the request may have run: the worst verdict of all
        attempts that have ended.
    """

    request: http_messages.Request
    caller_headers: headers.CallerHeaders
    route: catalogue.Route
    version: int
    service: str
    organisation: str
    identity: str
    responder: http_server.Responder
    received_s: float
    deadline_s: float
    waiter: waiting.Waiter
    stream: stream_progress.StreamProgress
    work: work_estimates.Work
    stream_kind: str = ''
    held: holding.Holding | None = None
    kept_answer: byte_budget.Account = attrs.field(factory=byte_budget.Account)
    attempts: int = 0
    sent: bool = False
    verdict: verdicts.Verdict = verdicts.Verdict.not_run

    def streaming(self) -> bool:
        """Return whether the answer is an event stream."""
        return self.route.kind is catalogue.RequestKind.streaming

    def verdict_now(self) -> verdicts.Verdict:
        """Return whether the request may have run, in any attempt so far."""
        return verdicts.in_progress(self.verdict, sent=self.sent)


def identity_of(request: http_messages.Request, caller: str) -> str:
    """Return what identifies a request when it comes again.

    :param request: The request.
    :param caller: Name of the organisation that sent it, or its key.
    """
    return request_identity.identity(
        request_identity.RequestContent(
            caller,
            request.header('host').lower(),
            request.method,
            request.target,
            request.body,
        )
    )
