"""Reads HTTP requests and enforces the limits for callers."""

import http
import typing
from collections import abc

import curio
import h11

from camphorstair_core import caller_limits, errors
from camphorstair_runtime import body_bounds, fairness, http_messages

READ_BYTES = 65536


# Waits until a part of a body of the given size may be kept.
Keep = abc.Callable[[int], abc.Awaitable[None]]


class IncompleteError(Exception):
    """The connection ended before a request was complete."""


async def next_event(
    sock: curio.io.Socket,
    protocol: h11.Connection,
) -> object:
    """Return the next h11 event, receiving data as needed.

    Other tasks run in between, however fast the peer sends.
    """
    await fairness.count_event()
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        chunk = await sock.recv(READ_BYTES)
        protocol.receive_data(chunk)
        await fairness.count_event(len(chunk))


async def read(
    sock: curio.io.Socket,
    protocol: h11.Connection,
    limits: caller_limits.CallerLimits,
    keep: Keep | None = None,
) -> http_messages.Request:
    """Return the next request with its complete body.

    Send ``100 Continue`` if the caller waits for it.

    :param sock: The caller's socket.
    :param protocol: State of the HTTP connection.
    :param limits: The limits of the request's sizes and times.
    :param keep: Called with the size of the body, or of each of its parts,
        before it is kept; may wait until there is room, or refuse the request.
    :raises errors.RequestError: if the request exceeds a limit or violates
        the protocol.
    :raises IncompleteError: if the connection ends before the request is
        complete.
    """
    try:
        return await _with_timeout(
            limits.request_limit_s,
            'request',
            _read,
            sock,
            protocol,
            limits,
            keep,
        )
    except h11.RemoteProtocolError as error:
        raise _protocol_error(error) from error


async def _read(
    sock: curio.io.Socket,
    protocol: h11.Connection,
    limits: caller_limits.CallerLimits,
    keep: Keep | None,
) -> http_messages.Request:
    head = await _with_timeout(
        limits.head_limit_s, 'head', next_event, sock, protocol
    )
    if not isinstance(head, h11.Request):
        raise IncompleteError('the connection ended before a request')
    _check_head(head, limits.head_bytes)
    length_bytes = _body_length(head)
    if length_bytes > limits.body_bytes:
        message = f'the body is longer than {limits.body_bytes} bytes'
        raise errors.RequestError(errors.too_large, message)
    if length_bytes and keep is not None:
        await keep(length_bytes)
        keep = None
    if protocol.they_are_waiting_for_100_continue:
        continue_response = h11.InformationalResponse(
            status_code=100, headers=[]
        )
        await sock.sendall(protocol.send(continue_response) or b'')
    return http_messages.Request(
        head.method.decode(),
        _decode_latin1(head.target),
        [
            (_decode_latin1(name), _decode_latin1(value))
            for name, value in head.headers
        ],
        await _read_body(sock, protocol, limits.body_bytes, keep),
    )


async def _with_timeout(
    limit_s: float,
    part: str,
    step: abc.Callable[..., abc.Awaitable[typing.Any]],
    *arguments: object,
) -> typing.Any:
    """Return the result of a call, or reject the request after a timeout.

    :param limit_s: The timeout.
    :param part: Name of the awaited part of the request, for the message.
    :param step: The coroutine function to call.
    :param arguments: Its arguments.
    :raises errors.RequestError: if the call times out.
    """
    try:
        return await curio.timeout_after(limit_s, step, *arguments)
    except curio.TaskTimeout as expired:
        message = f'the {part} did not come whole in {limit_s} s'
        raise errors.RequestError(errors.timeout, message) from expired


def _check_head(head: h11.Request, limit_bytes: int) -> None:
    """Reject a head that is too long.

    h11 limits only an incomplete head; one that arrives in a single read can
    exceed that limit.
    """
    lengths = (len(name) + len(value) for name, value in head.headers)
    if len(head.target) + sum(lengths) > limit_bytes:
        message = f'the head is longer than {limit_bytes} bytes'
        raise errors.RequestError(errors.head_too_large, message)


def _body_length(head: h11.Request) -> int:
    """Return the length that a head states for the body; 0 if it does not."""
    for name, text in head.headers:
        if name == b'content-length':
            return int(text)
    return 0


async def _read_body(
    sock: curio.io.Socket,
    protocol: h11.Connection,
    limit_bytes: int,
    keep: Keep | None,
) -> bytes:
    body = bytearray()
    bound = body_bounds.BodyBound(limit_bytes)
    event = await next_event(sock, protocol)
    while isinstance(event, h11.Data):
        body.extend(event.data)
        try:
            bound.count(len(event.data))
        except body_bounds.BodyTooLargeError as error:
            raise errors.RequestError(errors.too_large, str(error)) from error
        if keep is not None:
            await keep(len(event.data))
        event = await next_event(sock, protocol)
    if not isinstance(event, h11.EndOfMessage):
        raise IncompleteError('the connection ended within a request body')
    return bytes(body)


def _decode_latin1(raw: bytes) -> str:
    return raw.decode('latin-1')


def _protocol_error(error: h11.RemoteProtocolError) -> errors.RequestError:
    status = error.error_status_hint
    code = errors.bad_request
    if status == http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        code = errors.head_too_large
    return errors.RequestError(code, str(error))
