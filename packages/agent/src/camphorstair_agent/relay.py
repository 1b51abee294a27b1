"""Forwards requests to the endpoint and streams its responses to the entry."""

import logging

import attrs
import curio

from camphorstair_agent import admission_queue, keyed
from camphorstair_core import (
    admission,
    errors,
    event_stream,
    keys,
    messages,
    queueing,
    verdicts,
)
from camphorstair_runtime import (
    clocks,
    http_client,
    http_messages,
    links,
    metrics,
    node,
)

_LOG = logging.getLogger(__name__)
_EVENT_STREAM = 'text/event-stream'
_MS_IN_S = 1000


@attrs.define
class Relay:
    """Forwards the requests of entries to the endpoint.

    :ivar state: State of this process that all its components share.
    :ivar address: ``IP:port`` of the endpoint.
    :ivar admission_queue: The admission control with its queue.
    :ivar instruments: Counters and histograms of the agent.
    :ivar keyed: Handles requests with an idempotency key, which must run at
        most once.
    """

    state: node.NodeState
    address: str
    admission_queue: admission_queue.AdmissionQueue
    instruments: metrics.Instruments
    keyed: keyed.KeyedRelay

    @property
    def gate(self) -> admission.Admission:
        """The admission control of the endpoint."""
        return self.admission_queue.gate

    async def run(
        self,
        link: links.Link,
        start: messages.RequestStart,
    ) -> None:
        """Run a request on the endpoint, or refuse it.

        :param link: The link to the entry, which gets the response.
        :param start: The request.
        :raises links.LinkError: if the entry closed the link.
        """
        self.instruments.requests.add(1)
        if keys.keyed(start):
            await self.keyed.run(link, start)
            return
        waiter = await self.admission_queue.admit(link, start)
        if waiter.turn is queueing.AdmissionState.refused:
            self.instruments.refusals.add(1)
            unavailable = self.gate.leaving or self.gate.out
            code = errors.leaving if unavailable else errors.overloaded
            await link.send(self._refusal_message(start, code.name))
            return
        outcome = admission.Outcome.given_up
        try:
            outcome = await self._run_admitted(link, start, waiter.generation)
        finally:
            await self.admission_queue.release(waiter, outcome)

    async def _run_admitted(
        self,
        link: links.Link,
        start: messages.RequestStart,
        generation: int,
    ) -> admission.Outcome:
        """Run an admitted request until its deadline.

        :returns: How the request ended at the endpoint.
        :raises links.LinkError: if the entry closes the link first.
        """
        remaining_s = start.remaining_ms / _MS_IN_S
        async with curio.TaskGroup(wait=any) as group:
            forwarding_task = await group.spawn(
                curio.timeout_after,
                remaining_s,
                self._forward,
                link,
                start,
                generation,
            )
            await group.spawn(link.wait_closed)
        if forwarding_task.cancelled:
            _LOG.info(
                'request cancelled: the entry closed the link',
                extra={'request_id': start.request_id},
            )
            raise links.LinkError('the entry closed the link')
        if forwarding_task.exception is None:
            return admission.Outcome.whole
        await self._report_failure(link, start, forwarding_task.exception)
        return _admission_outcome(forwarding_task.exception)

    async def _forward(
        self,
        link: links.Link,
        start: messages.RequestStart,
        generation: int,
    ) -> None:
        """Send the request to the endpoint and copy its response to the link.

        :param generation: The admission generation of the request.
        """
        sent_s = clocks.monotonic_s()
        request = http_messages.Request(
            start.method,
            start.path,
            _headers(start),
            start.body,
        )
        exchange = await http_client.open_exchange(self.address, request)
        first_part_wait_s = clocks.monotonic_s() - sent_s
        admission.record_first_part(self.gate, generation, first_part_wait_s)
        try:
            await self._copy_response(link, start, exchange)
        finally:
            await exchange.close()

    async def _copy_response(
        self,
        link: links.Link,
        start: messages.RequestStart,
        exchange: http_client.Exchange,
    ) -> None:
        await link.send(
            messages.ResponseHead(
                start.request_id,
                start.attempt,
                exchange.status,
                http_messages.end_to_end(exchange.headers),
                self.gate.load(),
            ),
        )
        sequence = await _copy_body(link, start, exchange)
        await link.send(
            messages.ResponseEnd(
                start.request_id,
                start.attempt,
                sequence,
                self.gate.load(),
            ),
        )

    async def _report_failure(
        self,
        link: links.Link,
        start: messages.RequestStart,
        error: BaseException,
    ) -> None:
        """Send the entry a failure message.

        :raises links.LinkError: if that is the error, as the entry can't be
            reached any more.
        """
        verdict = _verdict(error)
        _LOG.warning(
            'endpoint failed: %r',
            error,
            extra={'request_id': start.request_id, 'verdict': verdict.value},
        )
        if isinstance(error, links.LinkError):
            raise error
        await link.send(
            messages.ResponseFailed(
                start.request_id,
                start.attempt,
                verdict,
                _error_code(error),
                str(error) or type(error).__name__,
                self.gate.load(),
            ),
        )

    def _refusal_message(
        self,
        start: messages.RequestStart,
        code: str,
    ) -> messages.RequestRefused:
        name = self.state.identity.name
        return messages.RequestRefused(
            request_id=start.request_id,
            code=code,
            message=f'endpoint {name} does not accept requests now',
            retry_after_ms=round(admission.RETRY_AFTER_S * _MS_IN_S),
            load=self.gate.load(),
            revision=self.state.holder.revision(),
        )


def _headers(start: messages.RequestStart) -> http_messages.HeaderList:
    """Return the request headers for the endpoint.

    ``last-event-id`` makes the endpoint resume a stream after that event.
    """
    headers = [*start.headers, ('x-request-id', start.request_id)]
    if start.after_event:
        headers.append(('last-event-id', str(start.after_event)))
    return headers


async def _copy_body(
    link: links.Link,
    start: messages.RequestStart,
    exchange: http_client.Exchange,
) -> int:
    """Copy the response body to the link, event streams by whole events.

    :returns: The number of chunks sent.
    """
    kind = http_messages.header(exchange.headers, 'content-type')
    splitter = event_stream.EventSplitter()
    sequence = 0
    chunk = await exchange.read()
    while chunk is not None:
        if kind.startswith(_EVENT_STREAM):
            chunk = splitter.feed(chunk)
        sequence += await _send_chunk(link, start, splitter, sequence, chunk)
        chunk = await exchange.read()
    remainder = splitter.flush()
    return sequence + await _send_chunk(
        link, start, splitter, sequence, remainder
    )


async def _send_chunk(
    link: links.Link,
    start: messages.RequestStart,
    splitter: event_stream.EventSplitter,
    sequence: int,
    chunk: bytes,
) -> int:
    """Send a chunk unless it is empty.

    :returns: The number of chunks sent, 0 or 1.
    """
    if not chunk:
        return 0
    await link.send(
        messages.ResponseChunk(
            start.request_id,
            start.attempt,
            sequence + 1,
            splitter.last_event,
            chunk,
            splitter.first_event,
        ),
    )
    return 1


def _verdict(error: BaseException) -> verdicts.Verdict:
    """Return whether the endpoint may have run a request that failed."""
    if isinstance(error, http_client.HttpError) and not error.sent:
        return verdicts.Verdict.not_run
    return verdicts.Verdict.may_have_run


def _admission_outcome(error: BaseException) -> admission.Outcome:
    """Return how the admission control counts a failed request."""
    if isinstance(error, http_client.HttpError):
        return admission.Outcome.broken
    return admission.Outcome.given_up


def _error_code(error: BaseException) -> str:
    """Return the error code that the entry reports to the caller."""
    if isinstance(error, curio.TaskTimeout):
        return 'deadline_exceeded'
    return 'endpoint_failed'
