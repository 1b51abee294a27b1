"""Send a request to one endpoint and relay the response."""

import http
import logging

import attrs
import curio

from camphorstair import agent_errors, entry_state, receiving
from camphorstair_core import (
    answers,
    ejection,
    endpoints,
    errors,
    event_offsets,
    keys,
    messages,
    verdicts,
)
from camphorstair_runtime import (
    clocks,
    http_messages,
    http_server,
    links,
)

_LOG = logging.getLogger(__name__)
_EVENT_STREAM = 'text/event-stream'
_MS_IN_S = 1000


@attrs.define
class CallerResponse:
    """What the caller has received of the response, over all attempts.

    :ivar responder: Sends the response to the caller.
    :ivar offset: Position that the caller has reached in an event stream.
    :ivar streaming: Whether an event stream to the caller was started.
    """

    responder: http_server.Responder
    offset: event_offsets.EventOffset = attrs.field(
        factory=event_offsets.EventOffset,
    )
    streaming: bool = False


@attrs.define
class Attempt:
    """One attempt to get a request answered by one endpoint.

    :ivar entry: The entry's state.
    :ivar endpoint: The endpoint.
    :ivar start: The request as it is sent.
    :ivar answer: What the caller has received of the response.
    :ivar progress: What this attempt has received of the response.
    :ivar sent_s: When the request was sent to the agent, on the monotonic
        clock; 0 if not yet.
    :ivar complete: Whether the exchange on the link is complete, so that the
        link can be reused.
    :ivar first_part_s: Time from sending to the first chunk of the body.
    """

    entry: entry_state.Entry
    endpoint: endpoints.Endpoint
    start: messages.RequestStart
    answer: CallerResponse
    progress: answers.AnswerProgress
    sent_s: float = 0
    complete: bool = False
    first_part_s: float = 0

    async def run(self) -> None:
        """Send the request and relay the response to the caller.

        :raises errors.RequestError: with the verdict, if the response is
            missing or incomplete.
        """
        link = await self._open_link()
        self.endpoint.own_in_flight += 1
        try:
            await self._exchange_watched(link)
        except links.LinkError as error:
            if isinstance(error, receiving.AgentSilentError):
                self.entry.instruments.silent_agents.add(1)
            raise self._failed_attempt(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.may_have_run,
            ) from error
        finally:
            self.endpoint.own_in_flight -= 1
            await self._release_link(link)

    def verdict(self) -> verdicts.Verdict:
        """Return the verdict that holds as long as no reply was received."""
        if self.sent_s:
            return verdicts.Verdict.may_have_run
        return verdicts.Verdict.not_run

    async def _release_link(self, link: links.Link) -> None:
        """Count dropped parts and repeated events; reuse or close the link."""
        self.entry.instruments.dropped_parts.add(self.progress.dropped)
        offset = self.answer.offset
        self.entry.instruments.repeated_events.add(offset.repeated)
        offset.repeated = 0
        if self.complete:
            await self.entry.pool.release(self.endpoint.vm, link)
        else:
            await link.close()

    async def _open_link(self) -> links.Link:
        try:
            return await _open_checked(self.entry, self.endpoint, self.start)
        except links.LinkError as error:
            self.entry.pool.idle.pop(self.endpoint.vm.name, None)
            if keys.keyed(self.start):
                return await self._open_owner_again()
            raise self._failed_attempt(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.not_run,
            ) from error

    async def _open_owner_again(self) -> links.Link:
        """Retry the link to the owner of a key; no other agent may answer."""
        try:
            return await _open_checked(self.entry, self.endpoint, self.start)
        except links.LinkError as error:
            failure = self._failed_attempt(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.not_run,
            )
            failure.key_unknown = True
            raise failure from error

    async def _exchange_watched(self, link: links.Link) -> None:
        """Run the exchange, and watch the agent if the request may be repeated.

        A silent agent ends the attempt only for an idempotent request, since
        only such a request may be sent to another endpoint after it may have
        run.
        """
        receiver = receiving.Receiver(
            link,
            self.endpoint,
            self.entry.pool,
            self.entry.state.hello(),
            self.progress,
        )
        if not self.start.idempotent:
            await self._exchange(receiver)
            return
        watch = await curio.spawn(receiver.watch, daemon=True)
        try:
            await self._exchange(receiver)
        finally:
            await watch.cancel()

    async def _exchange(self, receiver: receiving.Receiver) -> None:
        self.sent_s = clocks.monotonic_s()
        await receiver.link.send(self.start)
        head = await receiver.receive(receiving.first_part_limit_s(self.start))
        if isinstance(head, messages.RequestRefused):
            await self.entry.state.check_peer_revision(head.revision)
            self.complete = True
            self._record_load(head.load)
            raise agent_errors.refused(head)
        if isinstance(head, messages.ResponseFailed):
            raise self._failed_response(head)
        if not isinstance(head, messages.ResponseHead):
            raise links.LinkError(f'unexpected {type(head).__name__}')
        self._record_load(head.load)
        await self._relay_response(receiver, head)
        _record_result(self, self.first_part_s)

    async def _relay_response(
        self,
        receiver: receiving.Receiver,
        head: messages.ResponseHead,
    ) -> None:
        if _is_event_stream(head):
            await self._relay_event_stream(receiver, head)
            return
        if self.answer.streaming:
            raise self._failed_attempt(
                errors.answer_broken,
                f'status {head.status} instead of the rest of the stream',
                verdicts.Verdict.may_have_run,
            )
        body = bytearray()
        chunk = await self._next_chunk(receiver)
        while chunk is not None:
            body.extend(chunk.body)
            chunk = await self._next_chunk(receiver)
        if errors.promises_not_run(head.status):
            raise self._untrue_promise(head.status)
        response = http_messages.Response(
            head.status,
            head.headers,
            bytes(body),
        )
        await self.answer.responder.respond(response)

    async def _relay_event_stream(
        self,
        receiver: receiving.Receiver,
        head: messages.ResponseHead,
    ) -> None:
        answer = self.answer
        resumed = self.start.after_event > 0
        if not answer.streaming:
            answer.streaming = True
            await answer.responder.start(head.status, head.headers)
        chunk = await self._next_chunk(receiver)
        while chunk is not None:
            unsent = event_offsets.accept_events(
                answer.offset,
                chunk,
                resumed=resumed,
            )
            if unsent:
                await answer.responder.send(unsent)
            chunk = await self._next_chunk(receiver)
        await answer.responder.finish()

    async def _next_chunk(
        self,
        receiver: receiving.Receiver,
    ) -> messages.ResponseChunk | None:
        first = self.progress.sequence == 0
        limit_s = (
            receiving.first_part_limit_s(self.start)
            if first
            else receiving.PART_LIMIT_S
        )
        part = await receiver.receive(limit_s)
        if isinstance(part, messages.ResponseFailed):
            raise self._failed_response(part)
        if isinstance(part, messages.ResponseEnd):
            answers.accept_end(self.progress, part)
            self._record_load(part.load)
            self.complete = True
            return None
        if not isinstance(part, messages.ResponseChunk):
            raise links.LinkError(f'unexpected {type(part).__name__}')
        answers.accept_chunk(self.progress, part)
        if first:
            self.first_part_s = clocks.monotonic_s() - self.sent_s
        return part

    def _record_load(self, load: messages.LoadReport) -> None:
        endpoints.record_load(self.endpoint, load, clocks.monotonic_s())

    def _failed_response(
        self,
        failed: messages.ResponseFailed,
    ) -> errors.RequestError:
        """Return the error for a failure that the agent reported.

        A refusal because of the idempotency key or a passed deadline does not
        count as a failure of the endpoint.
        """
        failure = agent_errors.key_error(failed)
        if failure is not None:
            return failure
        if failed.code == errors.deadline_exceeded.name:
            return errors.RequestError(
                errors.deadline_exceeded,
                f'endpoint {self.endpoint.vm.name}: {failed.message}',
                failed.verdict,
            )
        return self._failed_attempt(
            errors.endpoint_failed,
            failed.message,
            failed.verdict,
        )

    def _untrue_promise(self, status: int) -> errors.RequestError:
        """Return the error for a status that promises that nothing has run.

        Only agents know that; a request that reached its endpoint may have run.
        The endpoint has answered, so its health is left as it is.
        """
        return errors.RequestError(
            errors.endpoint_failed,
            f'endpoint {self.endpoint.vm.name}: status {status}, although the'
            ' request may have run',
            verdicts.Verdict.ran,
        )

    def _failed_attempt(
        self,
        code: errors.ErrorCode,
        message: str,
        verdict: verdicts.Verdict,
    ) -> errors.RequestError:
        """Record a failure of the endpoint and return the error for it."""
        _record_result(self, None)
        name = self.endpoint.vm.name
        return errors.RequestError(
            code,
            f'endpoint {name}: {message}',
            verdict,
        )


def _is_event_stream(head: messages.ResponseHead) -> bool:
    kind = http_messages.header(head.headers, 'content-type')
    return head.status == http.HTTPStatus.OK and kind.startswith(_EVENT_STREAM)


async def _open_checked(
    entry: entry_state.Entry,
    endpoint: endpoints.Endpoint,
    start: messages.RequestStart,
) -> links.Link:
    """Return a link to an endpoint's agent.

    Before a request that is not idempotent, check that the agent answers.

    :raises links.LinkError: if the agent can't be reached or is silent.
    """
    link = await entry.pool.acquire(endpoint.vm)
    if start.idempotent:
        return link
    checked = False
    try:
        await receiving.check_alive(link, entry.state.hello())
        checked = True
    finally:
        if not checked:
            await link.close()
    return link


def _record_result(attempt: Attempt, first_part_s: float | None) -> None:
    """Record a result of the endpoint, and log and count its ejection.

    :param attempt: The attempt.
    :param first_part_s: Time until the first chunk; None for a failure.
    """
    entry = attempt.entry
    endpoint = attempt.endpoint
    subset = entry.subset_table.rows.get(attempt.start.service)
    now_s = clocks.monotonic_s()
    if ejection.record_result(endpoint, subset, first_part_s, now_s):
        entry.instruments.ejections.add(1)
        _LOG.warning('endpoint ejected', extra={'endpoint': endpoint.vm.name})
