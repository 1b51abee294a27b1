"""Requests to one server, one at a time on a connection that is kept."""

import attrs
import curio

from camphorstair_runtime import http_client, http_messages


@attrs.define(eq=False)
class KeptConnection:
    """A connection that is opened when it is needed and closed after a fault.

    :ivar address: ``IP:port`` of the server.
    :ivar connect_limit_s: Longest time until the connection stands.
    """

    address: str
    connect_limit_s: float = http_client.CONNECT_LIMIT_S
    _lock: curio.Lock = attrs.field(factory=curio.Lock)
    _exchange: http_client.Exchange | None = None

    async def fetch(
        self,
        request: http_messages.Request,
        limit_s: float,
    ) -> http_messages.Response:
        """Return the whole answer to a request.

        :param limit_s: Longest time until it has come, after those of
            earlier requests.
        :raises http_client.HttpError: if there is none in time; the request
            may be carried out all the same if it was sent.
        """
        async with self._lock:
            try:
                async with curio.timeout_after(limit_s):
                    return await self._fetch(request)
            except curio.TaskTimeout as error:
                await self.close()
                called = f'{request.method} {request.target}'
                message = f'no answer to {called} in {limit_s} s'
                raise http_client.HttpError(message, sent=True) from error
            except (http_client.HttpError, curio.CancelledError):
                await self.close()
                raise

    async def close(self) -> None:
        """Close the connection."""
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            await exchange.close()

    async def _fetch(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if self._exchange is None:
            self._exchange = await http_client.open_exchange(
                self.address, request, limit_s=self.connect_limit_s
            )
        else:
            await http_client.next_exchange(
                self._exchange, self.address, request
            )
        exchange = self._exchange
        body = await exchange.read_all()
        answer = http_messages.Response(exchange.status, exchange.headers, body)
        if not exchange.reusable():
            await self.close()
        return answer
