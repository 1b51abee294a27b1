"""Simulated callers that reuse each connection for several requests."""

import http
import random
from collections import abc

import attrs
import curio

from camphorstair_platform_standins import documents, exchange_headers
from camphorstair_runtime import http_client, http_messages
from soak import recording

ROUTES = ('draft', 'book', 'look')
LIMIT_S = 4.0
PAUSE_S = 0.05
# Pause after a request without a successful response, so that callers don't
# retry at once.
REFUSED_PAUSE_S = 0.3
REQUESTS_PER_CONNECTION = 6


@attrs.define(eq=False)
class Caller:
    """A simulated caller.

    :ivar name: Prefix of the attempt identifiers of its requests.
    :ivar key: API key that it sends.
    :ivar entries: ``IP:port`` of each entry.
    :ivar generator: Draws the entries and routes.
    :ivar seen: Records its requests.
    :ivar elapsed_s: Returns the time since the start of the run.
    :ivar calls: Number of requests sent so far.
    """

    name: str
    key: str
    entries: list[str]
    generator: random.Random
    seen: recording.Recording
    elapsed_s: abc.Callable[[], float]
    calls: int = 0

    async def run(self) -> None:
        """Send requests to random entries until cancelled."""
        while True:
            entry = self.generator.randrange(len(self.entries))
            await self.send_batch(entry)
            await curio.sleep(PAUSE_S)

    async def send_batch(self, entry: int) -> None:
        """Send up to ``REQUESTS_PER_CONNECTION`` requests on one connection.

        Stop earlier if the connection cannot be reused.
        """
        try:
            exchange = await http_client.connect(self.entries[entry])
        except http_client.HttpError:
            return
        try:
            for _ in range(REQUESTS_PER_CONNECTION):
                await self._call(exchange, entry)
                if not exchange.reusable():
                    return
                exchange.protocol.start_next_cycle()
        finally:
            await exchange.close()

    async def _call(self, exchange: http_client.Exchange, entry: int) -> None:
        self.calls += 1
        call = recording.Call(
            f'{self.name}-{self.calls}',
            self.generator.choice(ROUTES),
            self.key,
            entry,
            self.elapsed_s(),
        )
        self.seen.calls.append(call)
        try:
            async with curio.timeout_after(LIMIT_S):
                await self._send_request(exchange, call)
        except (curio.TaskTimeout, http_client.HttpError, OSError):
            await exchange.close()
        call.ended_s = self.elapsed_s()
        if call.status != http.HTTPStatus.OK:
            await curio.sleep(REFUSED_PAUSE_S)

    async def _send_request(
        self,
        exchange: http_client.Exchange,
        call: recording.Call,
    ) -> None:
        headers = exchange_headers.request(call.attempt, self.key, LIMIT_S)
        request = http_messages.Request('POST', f'/{call.route}/', headers, b'')
        await http_client.send(exchange, documents.HOST, request)
        await http_client.read_head(exchange, request)
        call.body = await exchange.read_all()
        call.status = exchange.status
