"""One attempt: sends a request to an endpoint and passes the answer on."""

import http

import attrs

from camphorstair.fleet import calls, connections, state
from camphorstair_core import errors, event_stream, verdicts
from camphorstair_core.fleet import placement
from camphorstair_platform import headers
from camphorstair_runtime import (
    clocks,
    closing,
    http_client,
    http_messages,
)

MOST_FOREIGN_ANSWERS = 4


class AttemptError(Exception):
    """An attempt that did not give the caller its answer.

    :ivar verdict: Whether the endpoint may have run the request.
    :ivar answer: A whole failure of the endpoint, to be passed on if no other
        attempt is made.
    :ivar sent: Whether anything was sent to the endpoint.
    :ivar misdirected: Whether another endpoint answers at the address.
    """

    def __init__(
        self,
        message: str,
        verdict: verdicts.Verdict,
        *,
        answer: http_messages.Response | None = None,
        sent: bool = True,
        misdirected: bool = False,
    ) -> None:
        """Keep what is known of the attempt's end."""
        super().__init__(message)
        self.verdict = verdict
        self.answer = answer
        self.sent = sent
        self.misdirected = misdirected

    def timed_out(self) -> bool:
        """Tell whether the endpoint stopped at the deadline that it was told.

        That is no fault of the endpoint.
        """
        answer = self.answer
        return (
            answer is not None
            and answer.status == http.HTTPStatus.GATEWAY_TIMEOUT
        )


@attrs.define(eq=False)
class Attempt:
    """A request at one endpoint.

    :ivar entry: The entry's state.
    :ivar call: The request.
    :ivar candidate: The endpoint.
    :ivar exchange: The connection to the endpoint, once it stands.
    :ivar left: Whether the rest of the answer is not wanted.
    :ivar answered: Whether the head of an answer has come.
    :ivar first_part_s: When the first part of the answer was passed on.
    """

    entry: state.FleetEntry
    call: calls.Call
    candidate: placement.Candidate
    exchange: http_client.Exchange | None = None
    left: bool = False
    answered: bool = False
    first_part_s: float = 0

    async def run(self) -> None:
        """Send the request and pass the answer on.

        :raises AttemptError: if the caller did not get its answer.
        """
        registration = self.candidate.endpoint.registration
        exchange = await self._connect(registration.address)
        self.exchange = exchange
        idle_s: float | None = 0
        try:
            answer = await self._ask(exchange, registration.endpoint)
            await self._pass_on(exchange, answer)
            idle_s = answer.keep_idle_s
        except http_client.HttpError as error:
            raise AttemptError(
                str(error), verdicts.Verdict.may_have_run
            ) from error
        finally:
            await self.entry.kept.keep(
                registration.address, exchange, idle_s, clocks.monotonic_s()
            )

    def leave(self) -> None:
        """Let the attempt fail, as if the endpoint had broken off."""
        if self.exchange is not None:
            self.left = True
            closing.stop_reading(self.exchange.sock)

    async def _connect(self, address: str) -> http_client.Exchange:
        """Return a connection; a new one if a loss could not be repeated."""
        if self.call.route.repeatable():
            now_s = clocks.monotonic_s()
            kept = await self.entry.kept.take(address, now_s)
            if kept is not None:
                return kept
        try:
            return await connections.connect(address)
        except http_client.HttpError as error:
            raise AttemptError(
                str(error), verdicts.Verdict.not_run, sent=False
            ) from error

    async def _ask(
        self,
        exchange: http_client.Exchange,
        endpoint: str,
    ) -> headers.AnswerHeaders:
        call = self.call
        told = headers.EndpointHeaders(
            endpoint,
            call.deadline_s - clocks.monotonic_s(),
            call.organisation,
            call.stream.last_event,
        )
        sent = attrs.evolve(
            call.request, headers=headers.for_endpoint(call.request, told)
        )
        host = call.request.header('host')
        call.sent = True
        await http_client.send(exchange, host, sent)
        await http_client.read_head(exchange, sent)
        for _ in range(MOST_FOREIGN_ANSWERS):
            answer = headers.decode_answer(exchange.status, exchange.headers)
            self._note_load(answer)
            if answer.attempt in {'', call.given.attempt}:
                self.answered = True
                return answer
            await http_client.skip_answer(exchange, host, sent)
        raise http_client.HttpError('answers of other requests', sent=True)

    def _note_load(self, answer: headers.AnswerHeaders) -> None:
        if answer.running is None:
            return
        placement.note_report(
            self.candidate.load,
            answer.running,
            answer.waiting,
            clocks.monotonic_s(),
        )

    async def _pass_on(
        self,
        exchange: http_client.Exchange,
        answer: headers.AnswerHeaders,
    ) -> None:
        if not _is_success(answer.status):
            await self._fail(exchange, answer)
        if not answer.sealed or not answer.attempt:
            raise http_client.HttpError('a success without a seal', sent=True)
        if self.call.streaming():
            await self._pass_stream(exchange)
        else:
            whole = await _read_whole(exchange)
            self.first_part_s = clocks.monotonic_s()
            await self.call.responder.respond(whole)

    async def _fail(
        self,
        exchange: http_client.Exchange,
        answer: headers.AnswerHeaders,
    ) -> None:
        """Raise what a failure of the endpoint means."""
        verdict = verdicts.Verdict.not_run
        whole = None
        if not answer.not_run:
            verdict = verdicts.Verdict.ran
            whole = await _read_whole(exchange)
        raise AttemptError(
            f'status {answer.status}',
            verdict,
            answer=whole,
            misdirected=answer.status == http.HTTPStatus.MISDIRECTED_REQUEST,
        )

    async def _pass_stream(self, exchange: http_client.Exchange) -> None:
        cutter = event_stream.EventCutter()
        stream = self.call.stream
        resumed = self.call.responder.started
        chunk = await exchange.read()
        while chunk is not None:
            events = cutter.cut(chunk)
            if events:
                await self._send(exchange, stream.take(events, resumed=resumed))
            chunk = await exchange.read()
        if self.left:
            raise http_client.HttpError('the rank is too slow', sent=True)
        if cutter.pending:
            raise http_client.HttpError('an event broke off', sent=True)
        await self._finish(exchange)

    async def _send(
        self,
        exchange: http_client.Exchange,
        events: bytes,
    ) -> None:
        if not events:
            return
        responder = self.call.responder
        if not responder.started:
            self.first_part_s = clocks.monotonic_s()
            sent = headers.for_caller(exchange.headers)
            await responder.start(exchange.status, sent)
        await responder.send(events)

    async def _finish(self, exchange: http_client.Exchange) -> None:
        responder = self.call.responder
        if not responder.started:
            sent = headers.for_caller(exchange.headers)
            await responder.start(exchange.status, sent)
        await responder.finish()


def _is_success(status: int) -> bool:
    return http.HTTPStatus.OK <= status < http.HTTPStatus.MULTIPLE_CHOICES


async def _read_whole(
    exchange: http_client.Exchange,
) -> http_messages.Response:
    body = await exchange.read_all()
    sent = headers.for_caller(exchange.headers)
    return http_messages.Response(exchange.status, sent, body)


def broken_answer(message: str) -> errors.RequestError:
    """Return the error of an answer that did not come whole."""
    return errors.RequestError(
        errors.answer_broken, message, verdicts.Verdict.may_have_run
    )
