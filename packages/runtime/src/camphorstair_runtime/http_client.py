"""The HTTP/1.1 client side, by h11 on curio; one connection a request."""

import typing

import attrs
import curio
import h11
import msgspec

from camphorstair_runtime import (
    http_messages,
    http_server,
    settings,
    sockets,
    traffic,
)

CONNECT_LIMIT_S = 2.0


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
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    status: int = 0
    headers: http_messages.HeaderList = attrs.field(factory=list)

    async def read(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises HttpError: if the answer breaks off.
        """
        event = await self.event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
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
            return await http_server.next_event(self.sock, self.protocol)
        except (OSError, h11.RemoteProtocolError) as error:
            raise HttpError(str(error), sent=True) from error


async def open_exchange(
    address: str,
    request: http_messages.Request,
    context: typing.Any = None,
) -> Exchange:
    """Send a request and read the head of its answer.

    :param address: ``IP:port`` of the server.
    :param request: The request.
    :param context: TLS context, or None for plain HTTP.
    :raises HttpError: if the exchange fails before the answer's head.
    """
    sock = await _connect(address, context)
    sockets.send_at_once(sock)
    exchange = Exchange(sock, h11.Connection(h11.CLIENT))
    try:
        await _send(exchange, address, request)
        await _read_head(exchange)
    except BaseException:
        await sock.close()
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
    await _send(exchange, address, request)
    await _read_head(exchange)


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


async def _connect(address: str, context: typing.Any) -> curio.io.Socket:
    host, port = settings.split_address(address)
    try:
        return await curio.timeout_after(
            CONNECT_LIMIT_S,
            curio.open_connection(host, port, ssl=context),
        )
    except (OSError, curio.TaskTimeout) as error:
        raise HttpError(
            f'connect to {address}: {error!r}', sent=False
        ) from error


async def _send(
    exchange: Exchange,
    address: str,
    request: http_messages.Request,
) -> None:
    headers = [
        ('host', address),
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
    sent = b''.join(protocol.send(part) or b'' for part in parts)
    try:
        await exchange.sock.sendall(sent)
    except OSError as error:
        raise HttpError(f'send to {address}: {error}', sent=True) from error


async def _read_head(exchange: Exchange) -> None:
    event = await exchange.event()
    if not isinstance(event, h11.Response):
        raise HttpError('no answer', sent=True)
    exchange.status = event.status_code
    exchange.headers = [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in event.headers
    ]
