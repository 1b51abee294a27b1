"""Fake model engine that streams completions and resumes streams.

``python -m camphorstair_standins.engine IP:port [SETTINGS]``

``SETTINGS`` is a JSON object with fields of :class:`EngineSettings`.

The generated text depends only on the request body, so any engine can resume
a stream that another engine started.
"""

import http
import sys
import typing

import attrs
import curio
import msgspec

from camphorstair_runtime import http_messages, http_server
from camphorstair_standins import serving

_WORDS = ('permit', 'gate', 'yard', 'access', 'summary', 'crew', 'report')


@attrs.define
class EngineSettings:
    """Behaviour of the engine.

    :ivar tokens: Number of tokens in each completion.
    :ivar token_interval_s: Time between tokens.
    :ivar cold_bearable: Limit of concurrent requests while the engine is cold.
        Requests above the limit are served, but counted.
    :ivar warm_bearable: The same limit once the engine is warm.
    :ivar warm_after: Number of completed requests that make the engine warm.
    :ivar repeated_events: Number of events before the resume offset that the
        engine sends again when it resumes a stream.
    :ivar checks_fencing: Whether the engine refuses orders whose fencing
        number is lower than one that it has accepted.
    """

    tokens: int = 20
    token_interval_s: float = 0.01
    cold_bearable: int = 2
    warm_bearable: int = 8
    warm_after: int = 8
    repeated_events: int = 0
    checks_fencing: bool = False


@attrs.define
class Engine:
    """HTTP handler of the engine and its counters.

    ``GET /stats`` returns all fields as JSON.

    :ivar behaviour: Settings of the engine.
    :ivar in_flight: Number of requests in progress.
    :ivar answered: Number of requests that were answered completely.
    :ivar over_limit: Number of requests that arrived while the concurrency
        limit was reached.
    :ivar cancelled: Number of requests that ended before their response was
        complete, such as streams that the client closed.
    :ivar orders: Accepted orders, oldest first.
    """

    behaviour: EngineSettings
    in_flight: int = 0
    answered: int = 0
    over_limit: int = 0
    cancelled: int = 0
    orders: list[dict[str, typing.Any]] = attrs.field(factory=list)

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Respond to a request for statistics, an order or a completion."""
        if request.path == '/stats':
            await responder.respond(
                http_messages.json_response(http.HTTPStatus.OK, self),
            )
            return
        if request.path == '/orders':
            await responder.respond(self._handle_orders(request))
            return
        self.in_flight += 1
        if self.in_flight > self._concurrency_limit():
            self.over_limit += 1
        whole = False
        try:
            await self._complete(request, responder)
            whole = True
        finally:
            self._record_end(whole=whole)

    def _handle_orders(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if request.method == 'POST':
            order = msgspec.json.decode(request.body)
            seen = max(
                (accepted_order['fencing'] for accepted_order in self.orders),
                default=0,
            )
            if self.behaviour.checks_fencing and order['fencing'] < seen:
                return http_messages.json_response(
                    http.HTTPStatus.CONFLICT,
                    {'fencing': seen},
                )
            self.orders.append(order)
        return http_messages.json_response(http.HTTPStatus.OK, self.orders)

    def _record_end(self, *, whole: bool) -> None:
        self.in_flight -= 1
        if whole:
            self.answered += 1
        else:
            self.cancelled += 1

    def _concurrency_limit(self) -> int:
        if self.answered >= self.behaviour.warm_after:
            return self.behaviour.warm_bearable
        return self.behaviour.cold_bearable

    async def _complete(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        payload = msgspec.json.decode(request.body)
        after_event = int(request.header('last-event-id') or 0)
        if payload.get('stream'):
            await self._stream(request, responder, after_event)
            return
        words = []
        for number in range(self.behaviour.tokens):
            await curio.sleep(self.behaviour.token_interval_s)
            words.append(_word(request.body, number))
        body = _completion(payload, ' '.join(words))
        await responder.respond(
            http_messages.json_response(http.HTTPStatus.OK, body),
        )

    async def _stream(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
        after_event: int,
    ) -> None:
        payload = msgspec.json.decode(request.body)
        headers = [('content-type', 'text/event-stream')]
        await responder.start(http.HTTPStatus.OK, headers)
        begin = max(0, after_event - self.behaviour.repeated_events)
        for number in range(begin, self.behaviour.tokens):
            await curio.sleep(self.behaviour.token_interval_s)
            text = _word(request.body, number)
            chunk = _chunk(payload, f'{text} ', None)
            await responder.send(_event(number + 1, chunk))
        total = self.behaviour.tokens
        if after_event <= total:
            last = _chunk(payload, '', 'stop')
            await responder.send(_event(total + 1, last))
        await responder.send(_event(total + 2, b'[DONE]'))
        await responder.finish()


def _word(prompt: bytes, number: int) -> str:
    seed = sum(prompt) + number * number
    return _WORDS[seed % len(_WORDS)]


def _event(number: int, body: bytes) -> bytes:
    return b'id: %d\ndata: %b\n\n' % (number, body)


def _chunk(
    payload: dict[str, typing.Any],
    text: str,
    finish: str | None,
) -> bytes:
    delta = {'role': 'assistant', 'content': text}
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish}
    return msgspec.json.encode(
        {
            'id': 'completion',
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': payload.get('model'),
            'choices': [choice],
        },
    )


def _completion(
    payload: dict[str, typing.Any],
    text: str,
) -> dict[str, typing.Any]:
    message = {'role': 'assistant', 'content': text}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return {
        'id': 'completion',
        'object': 'chat.completion',
        'created': 0,
        'model': payload.get('model'),
        'choices': [choice],
    }


def main() -> None:
    """Run the engine with the address and settings of the command line."""
    text = sys.argv[2] if len(sys.argv) > 2 else '{}'
    behaviour = msgspec.json.decode(text, type=EngineSettings)
    serving.run(sys.argv[1], Engine(behaviour).handle)


if __name__ == '__main__':
    main()
