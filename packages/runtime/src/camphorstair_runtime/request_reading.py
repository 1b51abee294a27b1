"""Reads the requests of one connection within the limits for callers."""

import http
import typing
from collections import abc

import curio
import h11

from camphorstair_core import caller_limits, errors
from camphorstair_runtime import http_messages

READ_BYTES = 65536


class IncompleteError(Exception):
    """The caller ended the connection within a request."""


async def next_event(
    sock: curio.io.Socket,
    protocol: h11.Connection,
) -> object:
    """Return the next event of a connection, reading as needed."""
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(await sock.recv(READ_BYTES))


async def read(
    sock: curio.io.Socket,
    protocol: h11.Connection,
    limits: caller_limits.CallerLimits,
) -> http_messages.Request:
    """Return the next request, whole.

    :raises errors.RequestError: if it does not keep to the limits or to the
        protocol.
    :raises IncompleteError: if the connection ends before it is whole.
    """
    try:
        return await _within(
            limits.request_limit_s, 'request', _read, sock, protocol, limits
        )
    except h11.RemoteProtocolError as fault:
        raise _protocol_fault(fault) from fault


async def _read(
    sock: curio.io.Socket,
    protocol: h11.Connection,
    limits: caller_limits.CallerLimits,
) -> http_messages.Request:
    head = await _within(
        limits.head_limit_s, 'head', next_event, sock, protocol
    )
    if not isinstance(head, h11.Request):
        raise IncompleteError('no request')
    _check_head(head, limits.head_bytes)
    if protocol.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await sock.sendall(protocol.send(go_on) or b'')
    return http_messages.Request(
        head.method.decode(),
        _text(head.target),
        [(_text(name), _text(value)) for name, value in head.headers],
        await _read_body(sock, protocol, limits.body_bytes),
    )


async def _within(
    limit_s: float,
    part: str,
    step: abc.Callable[..., abc.Awaitable[typing.Any]],
    *arguments: object,
) -> typing.Any:
    """Return what a step returns, or refuse the request after a time."""
    try:
        return await curio.timeout_after(limit_s, step, *arguments)
    except curio.TaskTimeout as late:
        message = f'the {part} did not come whole in {limit_s} s'
        raise errors.RequestError(errors.timeout, message) from late


def _check_head(head: h11.Request, limit_bytes: int) -> None:
    """Refuse a head that is too long, also one that came in one read."""
    lengths = (len(name) + len(value) for name, value in head.headers)
    if len(head.target) + sum(lengths) > limit_bytes:
        message = f'the head is longer than {limit_bytes} bytes'
        raise errors.RequestError(errors.head_too_large, message)


async def _read_body(
    sock: curio.io.Socket,
    protocol: h11.Connection,
    limit_bytes: int,
) -> bytes:
    body = bytearray()
    event = await next_event(sock, protocol)
    while isinstance(event, h11.Data):
        body.extend(event.data)
        if len(body) > limit_bytes:
            message = f'the body is longer than {limit_bytes} bytes'
            raise errors.RequestError(errors.too_large, message)
        event = await next_event(sock, protocol)
    if not isinstance(event, h11.EndOfMessage):
        raise IncompleteError('half a request')
    return bytes(body)


def _text(raw: bytes) -> str:
    return raw.decode('latin-1')


def _protocol_fault(fault: h11.RemoteProtocolError) -> errors.RequestError:
    status = fault.error_status_hint
    code = errors.bad_request
    if status == http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        code = errors.head_too_large
    return errors.RequestError(code, str(fault))
