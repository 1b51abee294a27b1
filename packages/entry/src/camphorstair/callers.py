"""HTTP handler for the requests of callers."""

import http
import logging
import uuid

import attrs
import curio
import msgspec

from camphorstair import (
    attempts,
    directory_answers,
    entry_state,
    forwarding,
)
from camphorstair_core import (
    decoding,
    errors,
    keys,
    messages,
    routing,
    tokens,
    verdicts,
)
from camphorstair_runtime import clocks, http_messages, http_server, metrics

DEFAULT_LIMIT_S = 120.0
MAX_LIMIT_S = 3600.0
ERROR_EVENT_LIMIT_S = 1.0
TIMEOUT_HEADER = 'x-camphorstair-timeout-ms'
ENTRIES_PATH = '/v1/entries'
_IDENTIFIER_BITS = 128
_MS_IN_S = 1000
_CONSUMED_HEADERS = frozenset(('authorization', TIMEOUT_HEADER))

_LOG = logging.getLogger(__name__)


@attrs.define
class _ModelName:
    model: str


@attrs.define
class CallerHandler:
    """Handler of callers' requests.

    :ivar entry: The entry's state.
    """

    entry: entry_state.Entry

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one request, with an error response after a failure.

        :raises http_server.Disconnected: if the caller disconnected or a
            started response can't be completed.
        """
        response = self._local_response(request)
        if response is not None:
            await responder.respond(response)
            return
        async with curio.TaskGroup(wait=any) as group:
            forward_task = await group.spawn(self._forward, request, responder)
            await group.spawn(responder.wait_disconnected)
        if forward_task.cancelled:
            raise http_server.Disconnected('the caller has disconnected')
        if forward_task.exception is not None:
            await _send_error(forward_task.exception, responder)

    def _local_response(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response | None:
        if request.path == '/healthz':
            return self._health_response()
        if request.path == '/metrics':
            headers = [('content-type', 'text/plain; version=0.0.4')]
            body = metrics.exposition()
            return http_messages.Response(http.HTTPStatus.OK, headers, body)
        if request.path == ENTRIES_PATH:
            return self._directory_response(request)
        return None

    def _health_response(self) -> http_messages.Response:
        state = self.entry.state
        ready = state.holder.current is not None and not state.leaving
        status = http.HTTPStatus.OK
        if not ready:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        return http_messages.json_response(status, state.hello())

    def _directory_response(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        data_centre = request.header('x-camphorstair-data-centre')
        answer = directory_answers.answer(self.entry, data_centre)
        return http_messages.json_response(http.HTTPStatus.OK, answer)

    async def _forward(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        organisation = tokens.organisation_of(
            self.entry.token_key,
            request.header('authorization'),
        )
        deadline_s = clocks.monotonic_s() + _timeout_s(request)
        decision = self._route(request, organisation)
        start = self._start_message(request, organisation, decision)
        check_organisation_limit(self.entry, start)
        self.entry.instruments.requests.add(1)
        in_flight = self.entry.in_flight
        in_flight[organisation] = in_flight.get(organisation, 0) + 1
        try:
            await forwarding.Forwarding(
                self.entry,
                start,
                attempts.CallerResponse(responder),
                deadline_s,
            ).run()
        finally:
            in_flight[organisation] -= 1
            if not in_flight[organisation]:
                in_flight.pop(organisation)

    def _route(
        self,
        request: http_messages.Request,
        organisation: str,
    ) -> routing.Decision:
        if self.entry.state.holder.current is None:
            raise errors.RequestError(
                errors.no_configuration,
                'this entry has not received a configuration yet',
                retry_after_s=forwarding.RETRY_AFTER_S,
            )
        return routing.decide(
            self.entry.state.holder.rule_set,
            organisation,
            request.method,
            request.path,
            _model_name(request),
        )

    def _start_message(
        self,
        request: http_messages.Request,
        organisation: str,
        decision: routing.Decision,
    ) -> messages.RequestStart:
        return messages.RequestStart(
            request_id=uuid.UUID(
                int=self.entry.generator.getrandbits(_IDENTIFIER_BITS),
                version=4,
            ).hex,
            attempt=1,
            service=decision.service.name,
            organisation=organisation,
            priority=int(decision.priority),
            idempotent=decision.idempotent,
            idempotency_key=request.header('idempotency-key'),
            method=request.method,
            path=request.target,
            headers=_forwarded_headers(request),
            body=request.body,
            remaining_ms=0,
            revision=self.entry.state.holder.revision(),
        )


def _timeout_s(request: http_messages.Request) -> float:
    """Return the request's timeout, from its header or by default.

    :raises errors.RequestError: if the header is invalid.
    """
    header_text = request.header(TIMEOUT_HEADER)
    if not header_text:
        return DEFAULT_LIMIT_S
    limit_s = (decoding.whole_number_or(header_text, 0) or 0) / _MS_IN_S
    if 0 < limit_s <= MAX_LIMIT_S:
        return limit_s
    raise errors.RequestError(
        errors.bad_request,
        f'{TIMEOUT_HEADER} must be a whole number of milliseconds from 1 to '
        f'{round(MAX_LIMIT_S * _MS_IN_S)}, not "{header_text}"',
    )


def check_organisation_limit(
    entry: entry_state.Entry,
    start: messages.RequestStart,
) -> None:
    """Refuse a request if its organisation has reached its in-flight limit.

    :param entry: The entry's state.
    :param start: The request. Its idempotency key was not looked up yet, so
        an earlier request with the same key may have run. A refusal of a
        keyed request therefore has the verdict ``may_have_run``.
    :raises errors.RequestError: if the limit is reached.
    """
    organisation = start.organisation
    rule_set = entry.state.holder.rule_set
    limit = rule_set.organisations[organisation].in_flight
    if entry.in_flight.get(organisation, 0) < limit:
        return
    verdict = verdicts.Verdict.not_run
    if keys.keyed(start):
        verdict = verdicts.Verdict.may_have_run
    raise errors.RequestError(
        errors.organisation_limit,
        f'organisation {organisation} has {limit} requests in flight',
        verdict,
        forwarding.RETRY_AFTER_S,
    )


def _forwarded_headers(
    request: http_messages.Request,
) -> http_messages.HeaderList:
    headers = http_messages.end_to_end(request.headers)
    return [pair for pair in headers if pair[0] not in _CONSUMED_HEADERS]


def _model_name(request: http_messages.Request) -> str | None:
    if request.path != routing.COMPLETIONS_PATH:
        return None
    try:
        return decoding.from_json(request.body, _ModelName).model
    except decoding.FormatError as fault:
        raise errors.RequestError(
            errors.bad_request,
            f'the body is not a chat completion request: {fault}',
        ) from fault


async def _send_error(
    failure: BaseException,
    responder: http_server.Responder,
) -> None:
    if isinstance(failure, http_server.Disconnected):
        raise failure
    error = failure
    if not isinstance(error, errors.RequestError):
        _LOG.error('request failed', exc_info=failure)
        error = errors.RequestError(
            errors.internal_error,
            type(failure).__name__,
            verdicts.Verdict.may_have_run,
        )
    if responder.partially_sent:
        raise http_server.Disconnected(
            'a chunk of the response was sent only partially'
        )
    if not responder.started:
        await responder.respond(http_messages.error_response(error))
        return
    body = msgspec.json.encode(http_messages.envelope(error))
    event = b''.join((b'data: ', body, b'\n\n'))
    async with curio.ignore_after(ERROR_EVENT_LIMIT_S):
        await responder.send(event)
    raise http_server.Disconnected('a started response cannot be completed')
