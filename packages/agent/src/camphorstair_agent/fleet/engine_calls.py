"""Calls to the model engine on the same VM."""

import attrs
import curio

from camphorstair_runtime import http_client, http_messages

# An engine on the same VM answers within milliseconds or not at all; the
# planner waits longer for this agent than the agent for its engine.
CALL_LIMIT_S = 0.1


@attrs.define(eq=False)
class EngineCalls:
    """Calls one at a time on a kept connection.

    :ivar address: ``IP:port`` of the engine.
    """

    address: str
    _lock: curio.Lock = attrs.field(factory=curio.Lock)
    _exchange: http_client.Exchange | None = None

    async def call(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        """Return the answer to a request.

        :raises http_client.HttpError: if there is none in time; the request
            may be carried out all the same.
        """
        async with self._lock:
            try:
                async with curio.timeout_after(CALL_LIMIT_S):
                    return await self._call(request)
            except curio.TaskTimeout as error:
                await self._close()
                message = f'{request.target}: no answer in {CALL_LIMIT_S} s'
                raise http_client.HttpError(message, sent=True) from error
            except (http_client.HttpError, curio.CancelledError):
                await self._close()
                raise

    async def _call(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        if self._exchange is None:
            self._exchange = await http_client.open_exchange(
                self.address, request
            )
        else:
            await http_client.next_exchange(
                self._exchange, self.address, request
            )
        exchange = self._exchange
        body = await exchange.read_all()
        answer = http_messages.Response(exchange.status, exchange.headers, body)
        if not exchange.reusable():
            await self._close()
        return answer

    async def _close(self) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            await exchange.close()
