"""Holds what slow peers have not read yet, within bounds.

While a caller keeps up, its answer is written directly. Once a write would
block, the rest is held and a task of its own writes it, so that the endpoint's
answer is read on meanwhile.
"""

import collections
import functools
import logging
import os

import attrs
import curio

from camphorstair_core.fleet import held_bytes
from camphorstair_runtime import (
    closing,
    http_client,
    http_messages,
    http_server,
    request_reading,
    sockets,
)

# Most bytes that are passed to one write of held bytes.
WRITE_BYTES = 65536

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class HeldAnswers:
    """All answers for which bytes may be held.

    :ivar totals: The accounts.
    :ivar holdings: The open answers by account.
    """

    totals: held_bytes.Totals
    holdings: dict[held_bytes.Account, 'Holding'] = attrs.field(factory=dict)

    def open(
        self,
        request: str,
        account: held_bytes.Account,
        responder: http_server.Responder,
    ) -> 'Holding':
        """Let a responder hold what its caller does not read yet.

        :param request: The request's identifier, for the log.
        :param account: A new account.
        :param responder: Sends the answer; ``Holding.close`` restores it.
        """
        holding = Holding(self, request, account, responder)
        self.holdings[account] = holding
        responder.write = holding.write
        return holding

    async def hold(self, account: held_bytes.Account, size_bytes: int) -> None:
        """Count bytes and end answers while the total is exceeded."""
        held_bytes.hold(self.totals, account, size_bytes)
        total_bytes = self.totals.total_bytes
        while self.totals.total_bytes > self.totals.bound_bytes:
            before_bytes = self.totals.total_bytes
            ended = held_bytes.end_one(self.totals)
            if ended is None:
                return
            freed_bytes = before_bytes - self.totals.total_bytes
            self._log_ended(ended, freed_bytes, total_bytes)
            await self.holdings[ended].end()

    def _log_ended(
        self, ended: held_bytes.Account, freed_bytes: int, total_bytes: int
    ) -> None:
        _LOG.warning(
            'answer ended: slow peers hold too much memory',
            extra={
                'request': self.holdings[ended].request,
                'priority': ended.priority,
                'repeatable': ended.repeatable,
                'held_bytes': freed_bytes,
                'total_held_bytes': total_bytes,
                'held_bound_bytes': self.totals.bound_bytes,
                'held_answers': len(self.totals.accounts) + 1,
            },
        )


@attrs.define(eq=False)
class Holding:
    """What is held for one answer.

    :ivar answers: All answers.
    :ivar request: The request's identifier.
    :ivar account: Its account.
    :ivar responder: Sends the answer to the caller.
    :ivar failure: Why writing to the caller failed.
    :ivar sending_body: Whether the request's body is being sent to an
        endpoint, which therefore can't have begun the request.
    :ivar slow_endpoint: Whether the endpoint of the current attempt did not
        take the request at once.
    """

    answers: HeldAnswers
    request: str
    account: held_bytes.Account
    responder: http_server.Responder
    failure: OSError | None = None
    sending_body: bool = False
    slow_endpoint: bool = False
    _unsent: collections.deque[memoryview] = attrs.field(
        factory=collections.deque
    )
    _whole_bytes: int = 0
    _progress: curio.Event = attrs.field(factory=curio.Event)
    _writer: curio.Task | None = None

    async def write(self, content: bytes) -> None:
        """Write to the caller, or hold what it does not take at once.

        What comes after the answer was ended is discarded.

        :raises OSError: if the connection has failed.
        """
        self._release_whole()
        if self.failure is not None:
            raise self.failure
        rest = memoryview(content)
        if not self._unsent and not self.account.ended:
            rest = rest[_write_now(self.responder.sock, content) :]
        if not rest:
            return
        await self.answers.hold(self.account, len(rest))
        if not self.account.ended:
            self._unsent.append(rest)
            if self._writer is None:
                self._writer = await curio.spawn(self._write_held, daemon=True)

    async def wait_room(self) -> None:
        """Wait until more of the answer may be read from the endpoint."""
        while self._writes() and not held_bytes.has_room(self.account):
            await self._wait_progress()

    async def drain(self) -> None:
        """Wait until the caller has been sent all held bytes.

        :raises http_server.Disconnected: if the answer was ended or its
            connection has failed.
        """
        while self._unsent and self._writes():
            await self._wait_progress()
        if self.account.ended:
            raise http_server.Disconnected('the answer was ended')
        if self.failure is not None:
            raise http_server.Disconnected(str(self.failure))

    async def close(self) -> None:
        """Free the account; later writes go directly to the caller."""
        held_bytes.free(self.answers.totals, self.account)
        self.answers.holdings.pop(self.account, None)
        self.responder.write = None
        self._unsent.clear()
        if self._writer is not None:
            await self._writer.cancel()

    async def end(self) -> None:
        """Stop writing to the caller after the account was ended.

        Its connection is reset at once, and the endpoint's answer is cut. If
        the request may not be repeated and the endpoint may have begun it, the
        connection is reset after the endpoint's answer was read to its end.
        """
        self._unsent.clear()
        closing.reset_on_close(self.responder.sock)
        if not self.reads_on():
            self.failure = ConnectionAbortedError('the answer was ended')
            # Wakes the task that waits for the caller to disconnect, which
            # cancels the forwarding.
            closing.stop_reading(self.responder.sock)
        await self._progress.set()

    def reads_on(self) -> bool:
        """Return whether an ended answer is read to its end nevertheless."""
        return (
            self.account.ended
            and self.failure is None
            and not self.account.repeatable
            and not self.sending_body
        )

    async def read_whole(
        self, exchange: http_client.Exchange, keep: request_reading.Keep
    ) -> bytes:
        """Return the rest of a response body, or nothing after the end.

        :param exchange: The exchange with the endpoint.
        :param keep: Called with the size of each part before it is kept.
        :raises http_client.HttpError: if it is incomplete or too long.
        """
        self._release_whole()
        try:
            return await self._read_whole(exchange, keep)
        except http_client.HttpError:
            self._release_whole()
            raise

    async def send_body(self, sock: curio.io.Socket, content: bytes) -> None:
        """Send a part of a request to an endpoint that may read slowly.

        :raises OSError: if the connection fails.
        """
        rest = memoryview(content)[_write_now(sock, content) :]
        if not rest:
            return
        self.sending_body = True
        self.slow_endpoint = True
        sockets.set_user_timeout(sock, 0)
        try:
            await sock.sendall(rest)
        finally:
            self.sending_body = False

    def _writes(self) -> bool:
        """Return whether held bytes are still written to the caller."""
        return self.failure is None and not self.account.ended

    async def _read_whole(
        self, exchange: http_client.Exchange, keep: request_reading.Keep
    ) -> bytes:
        async def hold(size_bytes: int) -> None:
            await keep(size_bytes)
            self._whole_bytes += size_bytes
            await self.answers.hold(self.account, size_bytes)

        return await exchange.read_all(hold)

    def _release_whole(self) -> None:
        """Release a whole answer; what can't be written is held anew."""
        held_bytes.release(self.answers.totals, self.account, self._whole_bytes)
        self._whole_bytes = 0

    async def _wait_progress(self) -> None:
        self._progress.clear()
        await self._progress.wait()

    async def _write_held(self) -> None:
        """Write the held bytes until there are none."""
        try:
            while self._unsent:
                await self._write_part()
        except OSError as error:
            self.failure = error
        finally:
            self._writer = None
            await self._progress.set()

    async def _write_part(self) -> None:
        part = self._unsent[0]
        sent = await self.responder.sock.send(part[:WRITE_BYTES])
        # The bytes are gone if the answer has ended or closed meanwhile.
        if self._unsent and self._unsent[0] is part:
            self._unsent.popleft()
            if sent < len(part):
                self._unsent.appendleft(part[sent:])
        held_bytes.release(self.answers.totals, self.account, sent)
        await self._progress.set()


def within(memory_mb: float) -> HeldAnswers:
    """Return the held answers of an entry, of which there are none yet.

    :param memory_mb: Memory of the VM; 0 if it is unknown.
    """
    bound_bytes = held_bytes.total_bound_bytes(memory_mb)
    return HeldAnswers(held_bytes.Totals(bound_bytes))


async def send_request(
    holding: Holding | None,
    exchange: http_client.Exchange,
    host: str,
    request: http_messages.Request,
) -> None:
    """Send a request and read the head of its response.

    If slow peers are bounded, what the endpoint does not read is held. Such an
    endpoint is bounded by the request's deadline in place of the socket's user
    timeout until it answers.

    :raises http_client.HttpError: if the exchange fails.
    """
    write = None
    if holding is not None:
        holding.slow_endpoint = False
        write = functools.partial(holding.send_body, exchange.sock)
    await http_client.send(exchange, host, request, write)
    await http_client.read_head(exchange, request)
    if holding is not None and holding.slow_endpoint:
        sockets.set_user_timeout(exchange.sock, sockets.USER_TIMEOUT_MS)


def _write_now(sock: curio.io.Socket, content: bytes) -> int:
    """Write what a plain socket takes without blocking.

    :returns: Number of written bytes.
    :raises OSError: if the connection has failed.
    """
    try:
        return os.write(sock.fileno(), content)
    except BlockingIOError:
        return 0
