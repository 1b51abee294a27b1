"""The HTTP/1.1 server side, by h11 on curio."""

import http
import logging
import socket
from collections import abc

import attrs
import curio
import h11

from camphorstair_core import caller_limits, errors
from camphorstair_runtime import closing as connection_closing
from camphorstair_runtime import http_messages, request_reading, sockets

MAX_PIPELINED_BYTES = 65536
DRAIN_LIMIT_S = 2.0

_LOG = logging.getLogger(__name__)

ResponderHandler = abc.Callable[
    [http_messages.Request, 'Responder'],
    abc.Awaitable[None],
]


class Disconnected(Exception):
    """The caller is gone."""


@attrs.define(eq=False)
class Responder:
    """Sends the answer to one request.

    :ivar sock: The caller's socket.
    :ivar protocol: The state of its HTTP connection.
    :ivar started: Whether the head of the answer was sent.
    :ivar closing: Whether the connection ends after this answer.
    :ivar torn: Whether a part was sent only in part.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    started: bool = False
    closing: bool = False
    torn: bool = False

    async def start(
        self,
        status: int,
        headers: http_messages.HeaderList,
    ) -> None:
        """Send the head of the answer."""
        self.started = True
        sent = list(headers)
        if self.closing:
            sent.append(('connection', 'close'))
        reason = http.HTTPStatus(status).phrase
        await self._send(
            h11.Response(status_code=status, headers=sent, reason=reason),
        )

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""
        await self._send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Send the end of the answer."""
        await self._send(h11.EndOfMessage())

    async def respond(self, response: http_messages.Response) -> None:
        """Send a whole answer."""
        length = ('content-length', str(len(response.body)))
        await self.start(response.status, [*response.headers, length])
        await self.send(response.body)
        await self.finish()

    async def wait_disconnected(self) -> None:
        """Return when the caller closes the connection.

        Pipelined requests are kept up to a bound; beyond it the connection
        is not read, and its end shows when the answer is sent.
        """
        kept_bytes = 0
        while kept_bytes < MAX_PIPELINED_BYTES:
            chunk = await self.sock.recv(request_reading.READ_BYTES)
            self.protocol.receive_data(chunk)
            if not chunk:
                return
            kept_bytes += len(chunk)
        await curio.Event().wait()

    async def _send(self, event: h11.Event) -> None:
        self.torn = True
        try:
            await self.sock.sendall(self.protocol.send(event) or b'')
        except OSError as error:
            raise Disconnected(str(error)) from error
        self.torn = False


@attrs.define
class Server:
    """State of a listener.

    :ivar handler: Answers one request.
    :ivar limits: Returns the limits for callers that are in force.
    :ivar refuses_crossing: Whether a connection that ends between requests is
        sent a refusal first, for a request that may be on its way.
    :ivar closing: Whether answers say that their connection ends.
    :ivar ended: Whether no further request is read.
    :ivar idle: Sockets on which no part of a request has come.
    :ivar active: Requests in progress, from their first byte on.
    :ivar connections: Number of open connections.
    """

    handler: ResponderHandler
    limits: abc.Callable[[], caller_limits.CallerLimits] = (
        caller_limits.CallerLimits
    )
    refuses_crossing: bool = True
    closing: bool = False
    ended: bool = False
    idle: set[curio.io.Socket] = attrs.field(factory=set)
    active: set[Responder] = attrs.field(factory=set)
    connections: int = 0

    async def serve(self, sock: curio.io.Socket, address: object) -> None:
        """Answer the requests of one connection."""
        sockets.send_at_once(sock)
        protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits().head_bytes,
        )
        self.connections += 1
        try:
            async with sock:
                await self._serve(sock, protocol)
        except (OSError, Disconnected, request_reading.IncompleteError):
            _LOG.debug('connection ended')
        finally:
            self.connections -= 1

    def idle_connections(self) -> int:
        """Return on how many connections no request is in progress."""
        return self.connections - len(self.active)

    def begin_closing(self) -> None:
        """Let each answer from now on announce the connection's end."""
        self.closing = True
        for responder in self.active:
            responder.closing = True

    def end_idle(self) -> None:
        """End the connections on which no request is in progress."""
        self.ended = True
        for sock in self.idle:
            connection_closing.stop_reading(sock)

    async def _serve(
        self,
        sock: curio.io.Socket,
        protocol: h11.Connection,
    ) -> None:
        while await self._wait_request(sock, protocol):
            await self._serve_next(sock, protocol)
            if not _reusable(protocol):
                await _drain(sock)
                return
            protocol.start_next_cycle()
        caller_closed = protocol.trailing_data[1]
        if self.refuses_crossing and (self.ended or not caller_closed):
            await _refuse(Responder(sock, protocol), _closing_error())
            await connection_closing.linger(sock)

    async def _serve_next(
        self,
        sock: curio.io.Socket,
        protocol: h11.Connection,
    ) -> None:
        responder = Responder(sock, protocol, closing=self.closing)
        self.active.add(responder)
        try:
            await self._serve_request(responder)
        finally:
            self.active.discard(responder)

    async def _wait_request(
        self,
        sock: curio.io.Socket,
        protocol: h11.Connection,
    ) -> bool:
        if protocol.trailing_data[0]:
            return True
        self.idle.add(sock)
        if self.ended:
            connection_closing.stop_reading(sock)
        try:
            chunk = await curio.timeout_after(
                self.limits().idle_limit_s,
                sock.recv,
                request_reading.READ_BYTES,
            )
        except curio.TaskTimeout:
            return False
        finally:
            self.idle.discard(sock)
        protocol.receive_data(chunk)
        return bool(chunk)

    async def _serve_request(self, responder: Responder) -> None:
        try:
            request = await request_reading.read(
                responder.sock, responder.protocol, self.limits()
            )
        except errors.RequestError as error:
            await _refuse(responder, error)
            return
        await self.handler(request, responder)


def _closing_error() -> errors.RequestError:
    """Return the answer to a request that crosses the connection's end."""
    return errors.RequestError(
        errors.connection_closing,
        'the connection ends; a request that was on its way was not read',
        retry_after_s=1,
    )


async def _refuse(responder: Responder, error: errors.RequestError) -> None:
    """Answer a request that can't be read, and end the connection."""
    if responder.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    responder.closing = True
    await responder.respond(http_messages.error_response(error))


def _reusable(protocol: h11.Connection) -> bool:
    return (protocol.our_state, protocol.their_state) == (h11.DONE, h11.DONE)


async def _drain(sock: curio.io.Socket) -> None:
    """Read what still comes, so that the answer is not lost to a reset."""
    try:
        await sock.shutdown(socket.SHUT_WR)
    except OSError:
        return
    async with curio.ignore_after(DRAIN_LIMIT_S):
        chunk = await sock.recv(request_reading.READ_BYTES)
        while chunk:
            chunk = await sock.recv(request_reading.READ_BYTES)
