"""Sequential requests to one server over a persistent connection."""

import attrs
import curio

from camphorstair_runtime import http_client, http_messages


@attrs.define(eq=False)
class PersistentConnection:
    """A persistent HTTP connection, opened on demand and closed on failure.

    :ivar address: ``IP:port`` of the server.
    :ivar connect_limit_s: Timeout of the connect.
    :ivar has_begun: Whether the response to the current request has begun.
    """

    address: str
    connect_limit_s: float = http_client.CONNECT_LIMIT_S
    has_begun: bool = False
    _lock: curio.Lock = attrs.field(factory=curio.Lock)
    _exchange: http_client.Exchange | None = None

    async def fetch(
        self,
        request: http_messages.Request,
        limit_s: float,
    ) -> http_messages.Response:
        """Send a request and return the complete response.

        Requests of other tasks are completed first, in turn.

        :param request: The request.
        :param limit_s: Timeout of the request, without the time that it waits
            for earlier requests.
        :raises http_client.TooLongError: if the response has begun and is too
            large, or did not come whole in time.
        :raises http_client.HttpError: if it fails or times out; the server
            may still execute the request if ``sent`` is true.
        """
        async with self._lock:
            try:
                async with curio.timeout_after(limit_s):
                    return await self._fetch(request)
            except curio.TaskTimeout as error:
                await self.close()
                request_line = f'{request.method} {request.target}'
                if self.has_begun:
                    message = (
                        f'half a response to {request_line} in {limit_s} s'
                    )
                    raise http_client.TooLongError(message) from error
                message = f'no response to {request_line} in {limit_s} s'
                raise http_client.HttpError(message, sent=True) from error
            except (http_client.HttpError, curio.CancelledError):
                await self.close()
                raise

    async def close(self) -> None:
        """Close the connection if it is open; the next request reopens it."""
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            await exchange.close()

    async def _fetch(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        self.has_begun = False
        if self._exchange is not None and self._exchange.has_input():
            # What came unasked must not be taken for the next response.
            await self.close()
        if self._exchange is None:
            self._exchange = await http_client.open_exchange(
                self.address, request, limit_s=self.connect_limit_s
            )
        else:
            await http_client.reuse_exchange(
                self._exchange, self.address, request
            )
        exchange = self._exchange
        self.has_begun = True
        body = await exchange.read_all()
        response = http_messages.Response(
            exchange.status, exchange.headers, body
        )
        if not exchange.reusable():
            await self.close()
        return response
