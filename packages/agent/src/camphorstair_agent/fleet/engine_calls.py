"""Calls to the model engine on the same VM."""

import attrs

from camphorstair_runtime import http_messages, kept_connection

# An engine on the same VM answers within milliseconds or not at all; the
# planner waits longer for this agent than the agent for its engine.
CALL_LIMIT_S = 0.1


@attrs.define(eq=False)
class EngineCalls:
    """Calls one at a time on a kept connection.

    :ivar address: ``IP:port`` of the engine.
    """

    address: str
    _connection: kept_connection.KeptConnection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the connection."""
        self._connection = kept_connection.KeptConnection(self.address)

    async def call(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        """Return the answer to a request.

        :raises http_client.HttpError: if there is none in time; the request
            may be carried out all the same.
        """
        return await self._connection.fetch(request, CALL_LIMIT_S)
