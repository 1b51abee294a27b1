"""HTTP/1.1 server on h11 and curio."""

import functools
import http
import logging
import socket
import types
from collections import abc

import attrs
import curio
import h11

from camphorstair_core import byte_budget, caller_limits, errors
from camphorstair_runtime import closing as connection_closing
from camphorstair_runtime import (
    fairness,
    http_messages,
    kept_messages,
    request_reading,
    sockets,
)

MAX_PIPELINED_BYTES = 65536
DRAIN_LIMIT_S = 2.0
# Longest wait until a request's body may be kept.
ROOM_LIMIT_S = 0.5
ROOM_RETRY_AFTER_S = 0.5
_OLD_VERSION = b'1.0'
_REASONS = types.MappingProxyType(
    {status.value: status.phrase for status in http.HTTPStatus}
)

_LOG = logging.getLogger(__name__)

ResponderHandler = abc.Callable[
    [http_messages.Request, 'Responder'],
    abc.Awaitable[None],
]
Write = abc.Callable[[bytes], abc.Awaitable[None]]


class Disconnected(Exception):
    """The caller closed the connection, or it failed."""


@attrs.define(eq=False)
class Responder:
    """Sends the response to one request.

    The methods that send raise ``Disconnected`` if the connection fails;
    ``wait_disconnected`` raises ``OSError``.

    :ivar sock: The caller's socket.
    :ivar protocol: State of the HTTP connection.
    :ivar started: Whether sending of the response head has begun.
    :ivar closing: Whether the connection is closed after this response.
    :ivar partially_sent: Whether the last send is not complete (in progress
        or interrupted), so that only a part of it may have been sent.
    :ivar write: Writes to the caller in place of the socket, in order and
        raising ``OSError`` like it; None to use the socket.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    started: bool = False
    closing: bool = False
    partially_sent: bool = False
    write: Write | None = None

    async def start(
        self,
        status: int,
        headers: http_messages.HeaderList,
    ) -> None:
        """Send the status line and headers of the response."""
        response_headers = list(headers)
        if self.closing:
            response_headers.append(('connection', 'close'))
        response = h11.Response(
            status_code=status,
            headers=http_messages.encoded(response_headers),
            reason=_reason(status),
        )
        # Nothing was sent as long as the response can't be encoded.
        self.started = True
        await self._send(response)

    async def send(self, chunk: bytes) -> None:
        """Send a part of the response body."""
        await self._send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Send the end of the response."""
        await self._send(h11.EndOfMessage())

    async def respond(self, response: http_messages.Response) -> None:
        """Send a complete response."""
        length = ('content-length', str(len(response.body)))
        await self.start(response.status, [*response.headers, length])
        await self.send(response.body)
        await self.finish()

    async def wait_disconnected(self) -> None:
        """Return when the caller closes the connection.

        Pipelined requests are buffered up to ``MAX_PIPELINED_BYTES``. Beyond
        that, the connection is not read and this never returns: a closed
        connection is then noticed when sending the response fails.
        """
        buffered_bytes = 0
        while buffered_bytes < MAX_PIPELINED_BYTES:
            chunk = await self.sock.recv(request_reading.READ_BYTES)
            self.protocol.receive_data(chunk)
            if not chunk:
                return
            buffered_bytes += len(chunk)
            await fairness.count_event(len(chunk))
        await curio.Event().wait()

    async def _send(self, event: h11.Event) -> None:
        self.partially_sent = True
        write = self.write or self.sock.sendall
        try:
            await write(self.protocol.send(event) or b'')
        except OSError as error:
            raise Disconnected(str(error)) from error
        self.partially_sent = False


@attrs.define
class Server:
    """Serves the connections of a listener and tracks their state.

    :ivar handler: Responds to one request.
    :ivar limits: Returns the current limits for callers.
    :ivar refuses_late_requests: Whether an error response is sent before an
        idle connection is closed, since a request may already be in transit.
    :ivar bodies: Bounds the bodies of all requests together; None if it is not
        bounded.
    :ivar closing: Whether responses carry ``connection: close``.
    :ivar ended: Whether idle connections are closed instead of waiting for
        the next request.
    :ivar idle: Sockets that wait for the first byte of a request.
    :ivar active: Responders of the requests in progress, from the first byte
        of the request on.
    :ivar connections: Number of open connections.
    """

    handler: ResponderHandler
    limits: abc.Callable[[], caller_limits.CallerLimits] = (
        caller_limits.CallerLimits
    )
    refuses_late_requests: bool = True
    bodies: kept_messages.KeptMessages | None = None
    closing: bool = False
    ended: bool = False
    idle: set[curio.io.Socket] = attrs.field(factory=set)
    active: set[Responder] = attrs.field(factory=set)
    connections: int = 0

    async def serve(self, sock: curio.io.Socket, address: object) -> None:
        """Serve the requests of one connection until it is closed.

        :param sock: The caller's socket; it is closed at the end.
        :param address: The caller's address; unused.
        """
        sockets.disable_nagle(sock)
        protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits().head_bytes,
        )
        self.connections += 1
        try:
            await self._serve_and_close(sock, protocol)
        except (OSError, Disconnected, request_reading.IncompleteError):
            _LOG.debug('connection ended')
        finally:
            self.connections -= 1

    def idle_connections(self) -> int:
        """Return the number of connections without a request in progress."""
        return self.connections - len(self.active)

    def announce_close(self) -> None:
        """Send ``connection: close`` with every response from now on.

        This includes requests in progress whose response has not started.
        """
        self.closing = True
        for responder in self.active:
            responder.closing = True

    def end_idle(self) -> None:
        """Close idle connections, now and whenever one becomes idle."""
        self.ended = True
        for sock in self.idle:
            connection_closing.stop_reading(sock)

    async def _serve_and_close(
        self,
        sock: curio.io.Socket,
        protocol: h11.Connection,
    ) -> None:
        async with sock:
            try:
                await self._serve_connection(sock, protocol)
            finally:
                _break_visibly(sock, protocol)

    async def _serve_connection(
        self,
        sock: curio.io.Socket,
        protocol: h11.Connection,
    ) -> None:
        while await self._wait_for_request(sock, protocol):
            await self._serve_tracked(sock, protocol)
            if not _reusable(protocol):
                await _discard_input(sock)
                return
            protocol.start_next_cycle()
        caller_closed = protocol.trailing_data[1]
        if self.refuses_late_requests and (self.ended or not caller_closed):
            await _send_error(Responder(sock, protocol), _closing_error())
            await connection_closing.linger(sock)

    async def _serve_tracked(
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

    async def _wait_for_request(
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
        if self.bodies is None:
            await self._read_and_handle(responder)
            return
        account = byte_budget.Account()
        keep = functools.partial(_keep_body, self.bodies, account)
        try:
            await self._read_and_handle(responder, keep)
        finally:
            await self.bodies.free(account)

    async def _read_and_handle(
        self, responder: Responder, keep: request_reading.Keep | None = None
    ) -> None:
        """Read a request and let it be answered.

        :param responder: Sends the response.
        :param keep: Called before the body, or a part of it, is kept.
        """
        try:
            request = await request_reading.read(
                responder.sock, responder.protocol, self.limits(), keep
            )
        except errors.RequestError as error:
            await _send_error(responder, error)
            return
        await self.handler(request, responder)


async def _keep_body(
    bodies: kept_messages.KeptMessages,
    account: byte_budget.Account,
    size_bytes: int,
) -> None:
    """Wait until a part of a request's body may be kept.

    :raises errors.RequestError: if there is no room in time.
    """
    if bodies.try_keep(account, size_bytes):
        return
    try:
        await curio.timeout_after(
            ROOM_LIMIT_S, bodies.keep, account, size_bytes
        )
    except curio.TaskTimeout as expired:
        raise errors.RequestError(
            errors.overloaded,
            'the bodies of other requests take all room',
            retry_after_s=ROOM_RETRY_AFTER_S,
        ) from expired


def _reason(status: int) -> str:
    """Return the phrase of a status; empty if it has none."""
    return _REASONS.get(status, '')


def _closing_error() -> errors.RequestError:
    """Return the error for a request that arrives as the connection closes."""
    return errors.RequestError(
        errors.connection_closing,
        'the connection ends; a request that was on its way was not read',
        retry_after_s=1,
    )


async def _send_error(responder: Responder, error: errors.RequestError) -> None:
    """Send an error response and mark the connection for closing.

    Do nothing if a response has already been started.
    """
    if responder.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    responder.closing = True
    await responder.respond(http_messages.error_response(error))


def _reusable(protocol: h11.Connection) -> bool:
    return (protocol.our_state, protocol.their_state) == (h11.DONE, h11.DONE)


def _break_visibly(sock: curio.io.Socket, protocol: h11.Connection) -> None:
    """Let an unfinished response not look complete as its connection ends.

    For a caller of HTTP/1.0, the end of the connection is that of the response.
    """
    unfinished = protocol.our_state in {h11.SEND_BODY, h11.ERROR}
    if unfinished and protocol.their_http_version == _OLD_VERSION:
        connection_closing.reset_on_close(sock)


async def _discard_input(sock: curio.io.Socket) -> None:
    """Shut down the sending side and discard input until EOF or a timeout.

    Closing a socket with unread data resets the connection, and the caller
    could lose the response.
    """
    try:
        await sock.shutdown(socket.SHUT_WR)
    except OSError:
        return
    async with curio.ignore_after(DRAIN_LIMIT_S):
        chunk = await sock.recv(request_reading.READ_BYTES)
        while chunk:
            await fairness.count_event(len(chunk))
            chunk = await sock.recv(request_reading.READ_BYTES)
