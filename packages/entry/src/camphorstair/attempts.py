"""One attempt at a request, on one endpoint."""

import types

import attrs
import curio

from camphorstair import entry_state
from camphorstair_core import (
    answers,
    endpoints,
    errors,
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

HELLO_LIMIT_S = 1.0
_EVENT_STREAM = 'text/event-stream'
_MS_IN_S = 1000
_REFUSALS = types.MappingProxyType(
    {
        'leaving': errors.leaving,
        errors.not_owner.name: errors.not_owner,
    },
)
_KEY_ERRORS = types.MappingProxyType(
    {
        errors.may_have_run.name: errors.may_have_run,
        errors.key_reused.name: errors.key_reused,
    },
)


@attrs.define
class Answer:
    """What the caller has of the answer, over all attempts.

    :ivar responder: The way to the caller.
    :ivar last_event: Number of the last event that the caller has.
    :ivar streaming: Whether parts were passed on before the end.
    """

    responder: http_server.Responder
    last_event: int = 0
    streaming: bool = False


@attrs.define
class Attempt:
    """One attempt.

    :ivar entry: The entry's state.
    :ivar endpoint: The endpoint.
    :ivar start: The request as it is sent.
    :ivar answer: What the caller has of the answer.
    :ivar progress: What has come of this attempt's answer.
    """

    entry: entry_state.Entry
    endpoint: endpoints.Endpoint
    start: messages.RequestStart
    answer: Answer
    progress: answers.AnswerProgress

    async def run(self) -> None:
        """Run the request and pass the answer on.

        :raises errors.RequestError: with the verdict, if no whole answer came.
        """
        link = await self._open()
        self.endpoint.own_in_flight += 1
        whole = False
        try:
            await self._exchange(link)
            whole = True
        except links.LinkError as error:
            raise self._failed(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.may_have_run,
            ) from error
        finally:
            self.endpoint.own_in_flight -= 1
            if whole:
                await self.entry.pool.give_back(self.endpoint.vm, link)
            else:
                await link.close()

    async def _open(self) -> links.Link:
        try:
            return await self._take()
        except (links.LinkError, curio.TaskTimeout) as error:
            self.entry.pool.idle.pop(self.endpoint.vm.name, None)
            if keys.keyed(self.start):
                return await self._take_again()
            raise self._failed(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.not_run,
            ) from error

    async def _take(self) -> links.Link:
        link = await self.entry.pool.take(self.endpoint.vm)
        if not self.start.idempotent:
            await self._check_alive(link)
        return link

    async def _take_again(self) -> links.Link:
        """Open a new link to the owner of a key; no other may answer."""
        try:
            return await self._take()
        except (links.LinkError, curio.TaskTimeout) as error:
            failure = self._failed(
                errors.endpoint_failed,
                str(error),
                verdicts.Verdict.not_run,
            )
            failure.key_unknown = True
            raise failure from error

    async def _check_alive(self, link: links.Link) -> None:
        hello = self.entry.state.hello()
        await curio.timeout_after(HELLO_LIMIT_S, link.call, hello)

    async def _exchange(self, link: links.Link) -> None:
        await link.send(self.start)
        head = await link.receive()
        if isinstance(head, messages.RequestRefused):
            raise self._refused(head)
        if isinstance(head, messages.ResponseFailed):
            raise self._endpoint_failed(head)
        if not isinstance(head, messages.ResponseHead):
            raise links.LinkError(f'unexpected {type(head).__name__}')
        self._note_load(head.load)
        await self._copy(link, head)
        endpoints.note_success(self.endpoint)

    async def _copy(
        self,
        link: links.Link,
        head: messages.ResponseHead,
    ) -> None:
        kind = http_messages.header(head.headers, 'content-type')
        if kind.startswith(_EVENT_STREAM):
            await self._pass_on(link, head)
            return
        body = bytearray()
        chunk = await self._next_chunk(link)
        while chunk is not None:
            body.extend(chunk.body)
            chunk = await self._next_chunk(link)
        response = http_messages.Response(
            head.status,
            head.headers,
            bytes(body),
        )
        await self.answer.responder.respond(response)

    async def _pass_on(
        self,
        link: links.Link,
        head: messages.ResponseHead,
    ) -> None:
        responder = self.answer.responder
        if not self.answer.streaming:
            self.answer.streaming = True
            await responder.start(head.status, head.headers)
        chunk = await self._next_chunk(link)
        while chunk is not None:
            await responder.send(chunk.body)
            self.answer.last_event = self.progress.last_event
            chunk = await self._next_chunk(link)
        await responder.finish()

    async def _next_chunk(
        self,
        link: links.Link,
    ) -> messages.ResponseChunk | None:
        part = await self._next_part(link)
        if isinstance(part, messages.ResponseEnd):
            answers.take_end(self.progress, part)
            self._note_load(part.load)
            return None
        answers.take_chunk(self.progress, part)
        return part

    async def _next_part(self, link: links.Link) -> answers.Part:
        while True:
            part = await link.receive()
            if isinstance(part, messages.ResponseFailed):
                raise self._endpoint_failed(part)
            if not isinstance(part, answers.Part):
                raise links.LinkError(f'unexpected {type(part).__name__}')
            if answers.belongs(self.progress, part):
                return part
            self.entry.instruments.dropped_parts.add(1)

    def _note_load(self, load: messages.LoadReport) -> None:
        endpoints.note_load(self.endpoint, load, clocks.monotonic_s())

    def _refused(self, refused: messages.RequestRefused) -> errors.RequestError:
        self._note_load(refused.load)
        return errors.RequestError(
            _REFUSALS.get(refused.code, errors.overloaded),
            refused.message,
            verdicts.Verdict.not_run,
            refused.retry_after_ms / _MS_IN_S,
            key_unknown=refused.code == errors.not_owner.name,
            owner=refused.owner,
        )

    def _endpoint_failed(
        self,
        failed: messages.ResponseFailed,
    ) -> errors.RequestError:
        code = _KEY_ERRORS.get(failed.code)
        if code is not None:
            return errors.RequestError(code, failed.message, failed.verdict)
        code = errors.endpoint_failed
        if failed.code == errors.deadline_exceeded.name:
            code = errors.deadline_exceeded
        return self._failed(code, failed.message, failed.verdict)

    def _failed(
        self,
        code: errors.ErrorCode,
        message: str,
        verdict: verdicts.Verdict,
    ) -> errors.RequestError:
        endpoints.note_failure(self.endpoint, clocks.monotonic_s())
        name = self.endpoint.vm.name
        return errors.RequestError(
            code,
            f'endpoint {name}: {message}',
            verdict,
        )
