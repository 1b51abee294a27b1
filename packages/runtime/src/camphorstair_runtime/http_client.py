"""HTTP/1.1 client on h11 and curio."""

import http
import select
import typing
from collections import abc

import attrs
import curio
import h11
import msgspec

from camphorstair_runtime import (
    body_bounds,
    closing,
    http_messages,
    request_reading,
    settings,
    sockets,
    traffic,
)

CONNECT_LIMIT_S = 2.0
# Longest body that is kept in memory. A faulty server may send bytes without
# end.
MAX_BODY_BYTES = 8 * 1024 * 1024
# A request body of this size is not sent in one part with its head.
MAX_JOINED_BYTES = 65536
# 1xx responses that are skipped before the response.
MAX_INTERIM_RESPONSES = 32
# Highest status code that has a meaning; h11 accepts higher ones, too.
MAX_STATUS = 599
_BODILESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
_UNFINISHED_STATES = frozenset((h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR))
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class HttpError(Exception):
    """A request could not be sent or its response could not be read.

    :ivar sent: Whether the request may have reached the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Store the message and ``sent``."""
        super().__init__(message)
        self.sent = sent


class TooLongError(HttpError):
    """A response that has begun is too large, or takes too long to come."""

    def __init__(self, message: str) -> None:
        """Store the message; the request was sent."""
        super().__init__(message, sent=True)


class UnsendableError(HttpError):
    """A request that HTTP can't express; no server is at fault."""

    def __init__(self, message: str) -> None:
        """Store the message; nothing was sent."""
        super().__init__(message, sent=False)


@attrs.define
class Exchange:
    """A client connection with its current request and response.

    :ivar sock: The connected socket.
    :ivar protocol: State of the HTTP connection.
    :ivar status: Status code of the response; 0 before its head is read.
    :ivar headers: Headers of the response, names in lower case.
    :ivar framed: Whether the end of the response is known without the end of
        the connection: it has no body, or its head has a content-length or
        transfer-encoding header.
    :ivar responses: Number of response heads read on the connection.
    :ivar allow_eof_body: Whether closing the connection is accepted as the
        end of a body that is not framed.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    status: int = 0
    headers: http_messages.HeaderList = attrs.field(factory=list)
    framed: bool = True
    responses: int = 0
    allow_eof_body: bool = False

    def reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        protocol = self.protocol
        if protocol.trailing_data[0]:
            return False
        return (protocol.our_state, protocol.their_state) == (
            h11.DONE,
            h11.DONE,
        )

    def has_input(self) -> bool:
        """Return whether bytes or the end of the connection are pending.

        On an idle connection nothing is due, so they belong to no request.
        """
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def read(self) -> bytes | None:
        """Return the next part of the response body, or None at its end.

        :raises HttpError: if the body is truncated or possibly truncated.
        """
        event = await self.event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._check_framing()
            return None
        raise HttpError('the response body is incomplete', sent=True)

    async def read_all(self, keep: request_reading.Keep | None = None) -> bytes:
        """Return the rest of the response body.

        :param keep: Called with the size of each part before it is kept; may
            wait until there is room.
        :raises HttpError: if the body is truncated or possibly truncated, or
            too large to be kept in memory.
        """
        body = bytearray()
        try:
            await self._read_into(body, keep)
        except BaseException:
            # The traceback may stay for long, and with it this frame.
            body.clear()
            raise
        return bytes(body)

    async def discard(self) -> None:
        """Read the rest of the response body without keeping it.

        :raises HttpError: if the body is truncated or possibly truncated, or
            too large to be kept in memory.
        """
        bound = body_bounds.BodyBound(MAX_BODY_BYTES)
        chunk = await self.read()
        while chunk is not None:
            count_part(bound, chunk)
            chunk = await self.read()

    async def close(self) -> None:
        """Close the connection; reset it if the response has not come whole.

        A request that is held up on the way is dropped then. Otherwise it would
        arrive although nobody waits for its response. Closing again does
        nothing.
        """
        if self.protocol.their_state in _UNFINISHED_STATES:
            closing.reset_on_close(self.sock)
        await self.sock.close()

    async def event(self) -> object:
        """Return the next h11 event of the response.

        :raises HttpError: if the connection fails or the response violates
            the protocol.
        """
        try:
            return await request_reading.next_event(self.sock, self.protocol)
        except (OSError, h11.RemoteProtocolError) as error:
            raise HttpError(str(error), sent=True) from error

    async def _read_into(
        self, body: bytearray, keep: request_reading.Keep | None
    ) -> None:
        """Add the rest of the response body to what was read of it."""
        bound = body_bounds.BodyBound(MAX_BODY_BYTES)
        chunk = await self.read()
        while chunk is not None:
            count_part(bound, chunk)
            if keep is not None:
                await keep(len(chunk))
            body.extend(chunk)
            chunk = await self.read()

    def _check_framing(self) -> None:
        """Reject a body that only the end of the connection delimits.

        Such a body cannot be distinguished from a truncated one.

        :raises HttpError: if the body is not framed, unless ``allow_eof_body``.
        """
        if not self.framed and not self.allow_eof_body:
            raise HttpError('the answer does not tell its length', sent=True)


def count_part(bound: body_bounds.BodyBound, chunk: bytes) -> None:
    """Count a part of a response body that is kept in memory.

    :raises TooLongError: if the body is too large with it.
    """
    try:
        bound.count(len(chunk))
    except body_bounds.BodyTooLargeError as error:
        raise TooLongError(str(error)) from error


async def open_exchange(
    address: str,
    request: http_messages.Request,
    context: typing.Any = None,
    limit_s: float = CONNECT_LIMIT_S,
) -> Exchange:
    """Open a connection, send a request and read the response head.

    :param address: ``IP:port`` of the server.
    :param request: The request.
    :param context: TLS context, or None for plain HTTP.
    :param limit_s: Timeout of the connect, including the TLS handshake.
    :returns: The exchange; the response body is still to be read.
    :raises HttpError: if connecting, sending the request or reading the
        response head fails.
    """
    exchange = await connect(address, context, limit_s)
    try:
        await send(exchange, address, request)
        await read_head(exchange, request)
    except BaseException:
        await exchange.close()
        raise
    return exchange


async def reuse_exchange(
    exchange: Exchange,
    address: str,
    request: http_messages.Request,
) -> None:
    """Send another request on the same connection and read the response head.

    :param exchange: An exchange whose response was read to its end.
    :param address: ``IP:port`` of the server, sent as the host.
    :param request: The next request.
    :raises HttpError: if the connection cannot be reused, or if sending the
        request or reading the response head fails.
    """
    try:
        exchange.protocol.start_next_cycle()
    except h11.LocalProtocolError as error:
        raise HttpError(f'{address}: {error}', sent=False) from error
    await send(exchange, address, request)
    await read_head(exchange, request)


async def skip_response(
    exchange: Exchange,
    host: str,
    request: http_messages.Request,
) -> None:
    """Discard a response that belongs to another request; read the next head.

    A server may send a response that does not belong to the current request.
    The protocol state takes it for the response to that request; the caller
    recognises it because its headers name another attempt.

    :param exchange: The exchange that has read the head of the response to
        discard.
    :param host: The host that was sent with the request.
    :param request: The request, already sent, whose response comes next.
    :raises HttpError: if reading either response fails.
    """
    await exchange.discard()
    try:
        exchange.protocol.start_next_cycle()
        # Advance the protocol state; the request itself was already sent.
        _encode_request(exchange, host, request)
    except h11.LocalProtocolError as error:
        raise HttpError(str(error), sent=True) from error
    await read_head(exchange, request)


async def fetch(
    address: str,
    request: http_messages.Request,
    context: typing.Any = None,
) -> http_messages.Response:
    """Send a request on a new connection and return the complete response.

    :param address: ``IP:port`` of the server.
    :param request: The request.
    :param context: TLS context, or None for plain HTTP.
    :raises HttpError: if the request or the response fails.
    """
    exchange = await open_exchange(address, request, context)
    try:
        body = await exchange.read_all()
    finally:
        await exchange.close()
    return http_messages.Response(exchange.status, exchange.headers, body)


async def fetch_json(
    address: str,
    target: str,
    payload: object = None,
    context: typing.Any = None,
) -> http_messages.Response:
    """POST a payload as JSON, or send GET if there is none.

    The sizes of the request body and the response body are added to this
    process's count of control traffic, ``traffic.PROCESS_TRAFFIC``.

    :param address: ``IP:port`` of the server.
    :param target: Path and query.
    :param payload: An object to encode, or None.
    :param context: TLS context, or None for plain HTTP.
    :raises HttpError: if the request or the response fails.
    """
    body = b'' if payload is None else msgspec.json.encode(payload)
    method = 'GET' if payload is None else 'POST'
    headers = [('content-type', 'application/json')]
    request = http_messages.Request(method, target, headers, body)
    response = await fetch(address, request, context)
    traffic.PROCESS_TRAFFIC.control_bytes += len(body) + len(response.body)
    return response


async def connect(
    address: str,
    context: typing.Any = None,
    limit_s: float = CONNECT_LIMIT_S,
) -> Exchange:
    """Open a connection.

    :param address: ``IP:port`` of the server.
    :param context: TLS context, or None for plain HTTP.
    :param limit_s: Timeout of the connect, including the TLS handshake.
    :raises HttpError: if the connect fails or times out.
    """
    try:
        sock = await curio.timeout_after(limit_s, _open, address, context)
    except (OSError, ValueError, curio.TaskTimeout) as error:
        raise HttpError(
            f'connect to {address}: {error!r}', sent=False
        ) from error
    return Exchange(sock, h11.Connection(h11.CLIENT))


async def _open(address: str, context: typing.Any) -> curio.io.Socket:
    host, port = settings.split_address(address)
    return await sockets.connect(host, port, context)


async def send(
    exchange: Exchange,
    host: str,
    request: http_messages.Request,
    write: abc.Callable[[bytes], abc.Awaitable[None]] | None = None,
) -> None:
    """Send a request.

    :param exchange: An exchange whose connection is idle.
    :param host: Value of the host header.
    :param request: The request.
    :param write: Writes in place of the socket and raises ``OSError`` like it.
    :raises UnsendableError: if the request can't be encoded.
    :raises HttpError: if sending fails; part or all of the request may have
        reached the server.
    """
    write = write or exchange.sock.sendall
    try:
        parts = _encode_request(exchange, host, request)
    except (h11.LocalProtocolError, UnicodeError) as fault:
        raise UnsendableError(f'request to {host}: {fault}') from fault
    try:
        for part in parts:
            await write(part)
    except OSError as error:
        raise HttpError(f'send to {host}: {error}', sent=True) from error


def _encode_request(
    exchange: Exchange,
    host: str,
    request: http_messages.Request,
) -> list[bytes]:
    """Return what is sent for a request: one part, or a long body by itself.

    A long body is not copied.
    """
    headers = [
        ('host', host),
        *http_messages.end_to_end(request.headers),
        ('content-length', str(len(request.body))),
    ]
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=http_messages.encoded(headers),
    )
    protocol = exchange.protocol
    encoded_head = protocol.send(head) or b''
    body = protocol.send(h11.Data(data=request.body)) or b''
    protocol.send(h11.EndOfMessage())
    if len(body) < MAX_JOINED_BYTES:
        return [encoded_head + body]
    return [encoded_head, body]


async def read_head(
    exchange: Exchange,
    request: http_messages.Request,
) -> None:
    """Read the response head into the exchange, skipping 1xx responses.

    :param exchange: The exchange that sent the request.
    :param request: The request; the response to HEAD has no body.
    :raises HttpError: if the connection ends or fails before the response head
        is read, if the response violates the protocol or its status is over
        ``MAX_STATUS``, or if there are more than ``MAX_INTERIM_RESPONSES``.
    """
    event = await _first_final(exchange)
    if not isinstance(event, h11.Response):
        raise HttpError('the connection ended without a response', sent=True)
    if event.status_code > MAX_STATUS:
        raise HttpError(f'unknown status {event.status_code}', sent=True)
    exchange.responses += 1
    exchange.status = event.status_code
    exchange.headers = [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in event.headers
    ]
    names = {name for name, _value in exchange.headers}
    bodiless = (
        event.status_code in _BODILESS_STATUSES or request.method == 'HEAD'
    )
    exchange.framed = bodiless or bool(names & _FRAMING_HEADERS)


async def _first_final(exchange: Exchange) -> object:
    """Return the first event that is not a 1xx response.

    :raises HttpError: if the connection fails or there are too many of these.
    """
    event = await exchange.event()
    skipped = 0
    while isinstance(event, h11.InformationalResponse):
        skipped += 1
        if skipped > MAX_INTERIM_RESPONSES:
            raise HttpError(
                f'more than {MAX_INTERIM_RESPONSES} interim responses',
                sent=True,
            )
        event = await exchange.event()
    return event
