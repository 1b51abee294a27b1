"""One attempt at a request, on one endpoint."""

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
class Answer:
    """What the caller has of the answer, over all attempts.

    :ivar responder: The way to the caller.
    :ivar offset: How far the caller has an event stream.
    :ivar streaming: Whether parts were passed on before the end.
    """

    responder: http_server.Responder
    offset: event_offsets.EventOffset = attrs.field(
        factory=event_offsets.EventOffset,
    )
    streaming: bool = False


@attrs.define
class Attempt:
    """One attempt.

    :ivar entry: The entry's state.
    :ivar endpoint: The endpoint.
    :ivar start: The request as it is sent.
    :ivar answer: What the caller has of the answer.
    :ivar progress: What has come of this attempt's answer.
    :ivar sent_s: When the request was sent to the agent; 0 if not yet.
    :ivar complete: Whether the exchange on the link is over.
    :ivar first_part_s: Time until the first part of the answer's body came.
    """

    entry: entry_state.Entry
    endpoint: endpoints.Endpoint
    start: messages.RequestStart
    answer: Answer
    progress: answers.AnswerProgress
    sent_s: float = 0
    complete: bool = False
    first_part_s: float = 0

    async def run(self) -> None:
        """Run the request and pass the answer on.

        :raises errors.RequestError: with the verdict, if no whole answer came.
        """
        link = await self._open()
        self.endpoint.own_in_flight += 1
        try:
            await self._exchange_watched(link)
        except links.LinkError as error:
            if isinstance(error, receiving.AgentSilentError):
                self.entry.instruments.silent_agents.add(1)
            raise self._failed(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.may_have_run,
            ) from error
        finally:
            self.endpoint.own_in_flight -= 1
            await self._leave(link)

    def verdict(self) -> verdicts.Verdict:
        """Return what is known while no reply has come."""
        if self.sent_s:
            return verdicts.Verdict.may_have_run
        return verdicts.Verdict.not_run

    async def _leave(self, link: links.Link) -> None:
        self.entry.instruments.dropped_parts.add(self.progress.dropped)
        offset = self.answer.offset
        self.entry.instruments.repeated_events.add(offset.repeated)
        offset.repeated = 0
        if self.complete:
            await self.entry.pool.give_back(self.endpoint.vm, link)
        else:
            await link.close()

    async def _open(self) -> links.Link:
        try:
            return await _open_checked(self.entry, self.endpoint, self.start)
        except links.LinkError as error:
            self.entry.pool.idle.pop(self.endpoint.vm.name, None)
            if keys.keyed(self.start):
                return await self._open_again()
            raise self._failed(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.not_run,
            ) from error

    async def _open_again(self) -> links.Link:
        """Open a new link to the owner of a key; no other may answer."""
        try:
            return await _open_checked(self.entry, self.endpoint, self.start)
        except links.LinkError as error:
            failure = self._failed(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.not_run,
            )
            failure.key_unknown = True
            raise failure from error

    async def _exchange_watched(self, link: links.Link) -> None:
        """Run the exchange; only an idempotent request is moved elsewhere."""
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
        head = await receiver.receive(receiving.first_limit_s(self.start))
        if isinstance(head, messages.RequestRefused):
            await self.entry.state.notice_revision(head.revision)
            self.complete = True
            self._note_load(head.load)
            raise agent_errors.refused(head)
        if isinstance(head, messages.ResponseFailed):
            raise self._endpoint_failed(head)
        if not isinstance(head, messages.ResponseHead):
            raise links.LinkError(f'unexpected {type(head).__name__}')
        self._note_load(head.load)
        await self._copy(receiver, head)
        _note_result(self, self.first_part_s)

    async def _copy(
        self,
        receiver: receiving.Receiver,
        head: messages.ResponseHead,
    ) -> None:
        if _is_event_stream(head):
            await self._pass_on(receiver, head)
            return
        if self.answer.streaming:
            raise self._failed(
                errors.answer_broken,
                f'status {head.status} in place of the rest of a stream',
                verdicts.Verdict.may_have_run,
            )
        body = bytearray()
        chunk = await self._next_chunk(receiver)
        while chunk is not None:
            body.extend(chunk.body)
            chunk = await self._next_chunk(receiver)
        response = http_messages.Response(
            head.status,
            head.headers,
            bytes(body),
        )
        await self.answer.responder.respond(response)

    async def _pass_on(
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
            lacking = event_offsets.accept_events(
                answer.offset,
                chunk,
                resumed=resumed,
            )
            if lacking:
                await answer.responder.send(lacking)
            chunk = await self._next_chunk(receiver)
        await answer.responder.finish()

    async def _next_chunk(
        self,
        receiver: receiving.Receiver,
    ) -> messages.ResponseChunk | None:
        first = self.progress.sequence == 0
        limit_s = (
            receiving.first_limit_s(self.start)
            if first
            else receiving.PART_LIMIT_S
        )
        part = await receiver.receive(limit_s)
        if isinstance(part, messages.ResponseFailed):
            raise self._endpoint_failed(part)
        if isinstance(part, messages.ResponseEnd):
            answers.accept_end(self.progress, part)
            self._note_load(part.load)
            self.complete = True
            return None
        if not isinstance(part, messages.ResponseChunk):
            raise links.LinkError(f'unexpected {type(part).__name__}')
        answers.accept_chunk(self.progress, part)
        if first:
            self.first_part_s = clocks.monotonic_s() - self.sent_s
        return part

    def _note_load(self, load: messages.LoadReport) -> None:
        endpoints.record_load(self.endpoint, load, clocks.monotonic_s())

    def _endpoint_failed(
        self,
        failed: messages.ResponseFailed,
    ) -> errors.RequestError:
        failure = agent_errors.key_failure(failed)
        if failure is not None:
            return failure
        if failed.code == errors.deadline_exceeded.name:
            return errors.RequestError(
                errors.deadline_exceeded,
                f'endpoint {self.endpoint.vm.name}: {failed.message}',
                failed.verdict,
            )
        return self._failed(
            errors.endpoint_failed,
            failed.message,
            failed.verdict,
        )

    def _failed(
        self,
        code: errors.ErrorCode,
        message: str,
        verdict: verdicts.Verdict,
    ) -> errors.RequestError:
        _note_result(self, None)
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
    """Take a link; one for a non-idempotent request must answer first."""
    link = await entry.pool.take(endpoint.vm)
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


def _note_result(attempt: Attempt, first_part_s: float | None) -> None:
    """Note an answer or, without a time, a failure of the endpoint."""
    entry = attempt.entry
    endpoint = attempt.endpoint
    subset = entry.subset_table.rows.get(attempt.start.service)
    now_s = clocks.monotonic_s()
    if ejection.record_result(endpoint, subset, first_part_s, now_s):
        entry.instruments.ejections.add(1)
        _LOG.warning('endpoint ejected', extra={'endpoint': endpoint.vm.name})
