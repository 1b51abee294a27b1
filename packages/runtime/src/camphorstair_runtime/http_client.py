"""The HTTP/1.1 client side, by h11 on curio; one connection a request."""

import http
import typing

import attrs
import curio
import h11
import msgspec

from camphorstair_runtime import (
    http_messages,
    request_reading,
    settings,
    sockets,
    traffic,
)

CONNECT_LIMIT_S = 2.0
_BODILESS = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
_LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class HttpError(Exception):
    """The exchange failed.

    :ivar sent: Whether the server may have received the whole request.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Keep the message and whether the request was sent."""
        super().__init__(message)
        self.sent = sent


@attrs.define
class Exchange:
    """One request and its answer.

    :ivar status: Status of the answer.
    :ivar headers: Its headers, names in lower case.
    :ivar framed: Whether the end of its body can be told from a break.
    :ivar eof_ends: Whether the end of the connection may end a body that
        tells no length.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    status: int = 0
    headers: http_messages.HeaderList = attrs.field(factory=list)
    framed: bool = True
    eof_ends: bool = False

    def reusable(self) -> bool:
        """Tell whether another request may be sent on the connection."""
        protocol = self.protocol
        if protocol.trailing_data[0]:
            return False
        return (protocol.our_state, protocol.their_state) == (
            h11.DONE,
            h11.DONE,
        )

    async def read(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises HttpError: if the answer breaks off.
        """
        event = await self.event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._check_end()
            return None
        raise HttpError('the answer breaks off', sent=True)

    async def read_all(self) -> bytes:
        """Return the whole body."""
        body = bytearray()
        chunk = await self.read()
        while chunk is not None:
            body.extend(chunk)
            chunk = await self.read()
        return bytes(body)

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    async def event(self) -> object:
        """Return the next event of the answer."""
        try:
            return await request_reading.next_event(self.sock, self.protocol)
        except (OSError, h11.RemoteProtocolError) as error:
            raise HttpError(str(error), sent=True) from error

    def _check_end(self) -> None:
        """Refuse a body that only the end of the connection ends.

        It can't be told from one that broke off.
        """
        if not self.framed and not self.eof_ends:
            raise HttpError('the answer does not tell its length', sent=True)


async def open_exchange(
    address: str,
    request: http_messages.Request,
    context: typing.Any = None,
    limit_s: float = CONNECT_LIMIT_S,
) -> Exchange:
    """Send a request and read the head of its answer.

    :param address: ``IP:port`` of the server.
    :param request: The request.
    :param context: TLS context, or None for plain HTTP.
    :param limit_s: Longest time until the connection stands.
    :raises HttpError: if the exchange fails before the answer's head.
    """
    exchange = await connect(address, context, limit_s)
    try:
        await send(exchange, address, request)
        await read_head(exchange, request)
    except BaseException:
        await exchange.close()
        raise
    return exchange


async def next_exchange(
    exchange: Exchange,
    address: str,
    request: http_messages.Request,
) -> None:
    """Send another request on the connection of an answer that was read.

    :raises HttpError: if the exchange fails before the answer's head.
    """
    try:
        exchange.protocol.start_next_cycle()
    except h11.LocalProtocolError as error:
        raise HttpError(f'{address}: {error}', sent=False) from error
    await send(exchange, address, request)
    await read_head(exchange, request)


async def skip_answer(
    exchange: Exchange,
    host: str,
    request: http_messages.Request,
) -> None:
    """Read an answer that belongs to no request, and the head of the next.

    :param exchange: The exchange whose head was read.
    :param host: The host that was sent.
    :param request: The request that still waits for its answer.
    :raises HttpError: if the next answer's head does not come.
    """
    await exchange.read_all()
    try:
        exchange.protocol.start_next_cycle()
        # The request was sent already; only the protocol's state is set.
        _encode(exchange, host, request)
    except h11.LocalProtocolError as error:
        raise HttpError(str(error), sent=True) from error
    await read_head(exchange, request)


async def fetch(
    address: str,
    request: http_messages.Request,
    context: typing.Any = None,
) -> http_messages.Response:
    """Send a request and return the whole answer."""
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
    """Send JSON by POST, or ask by GET without a payload."""
    body = b'' if payload is None else msgspec.json.encode(payload)
    method = 'GET' if payload is None else 'POST'
    headers = [('content-type', 'application/json')]
    request = http_messages.Request(method, target, headers, body)
    response = await fetch(address, request, context)
    traffic.PROCESS.control_bytes += len(body) + len(response.body)
    return response


async def connect(
    address: str,
    context: typing.Any = None,
    limit_s: float = CONNECT_LIMIT_S,
) -> Exchange:
    """Open a connection.

    :param address: ``IP:port`` of the server.
    :param context: TLS context, or None for plain HTTP.
    :param limit_s: Longest time until it stands.
    :raises HttpError: if it does not.
    """
    host, port = settings.split_address(address)
    try:
        sock = await curio.timeout_after(
            limit_s,
            curio.open_connection(host, port, ssl=context),
        )
    except (OSError, curio.TaskTimeout) as error:
        raise HttpError(
            f'connect to {address}: {error!r}', sent=False
        ) from error
    sockets.send_at_once(sock)
    return Exchange(sock, h11.Connection(h11.CLIENT))


async def send(
    exchange: Exchange,
    host: str,
    request: http_messages.Request,
) -> None:
    """Send a request.

    :param host: The host that the request names.
    :raises HttpError: if it may not have been sent whole.
    """
    try:
        await exchange.sock.sendall(_encode(exchange, host, request))
    except OSError as error:
        raise HttpError(f'send to {host}: {error}', sent=True) from error


def _encode(
    exchange: Exchange,
    host: str,
    request: http_messages.Request,
) -> bytes:
    headers = [
        ('host', host),
        *http_messages.end_to_end(request.headers),
        ('content-length', str(len(request.body))),
    ]
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=headers,
    )
    protocol = exchange.protocol
    parts = (head, h11.Data(data=request.body), h11.EndOfMessage())
    return b''.join(protocol.send(part) or b'' for part in parts)


async def read_head(
    exchange: Exchange,
    request: http_messages.Request,
) -> None:
    """Read the head of the answer to a request.

    :raises HttpError: if none comes.
    """
    event = await exchange.event()
    while isinstance(event, h11.InformationalResponse):
        event = await exchange.event()
    if not isinstance(event, h11.Response):
        raise HttpError('no answer', sent=True)
    exchange.status = event.status_code
    exchange.headers = [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in event.headers
    ]
    names = {name for name, _value in exchange.headers}
    bodiless = event.status_code in _BODILESS or request.method == 'HEAD'
    exchange.framed = bodiless or bool(names & _LENGTH_HEADERS)
