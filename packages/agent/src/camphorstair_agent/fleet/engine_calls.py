"""Calls to the model engine on the same VM."""

import attrs

from camphorstair_runtime import http_messages, persistent_connection

# An engine on the same VM answers within milliseconds or not at all. The limit
# must stay below the time that the planner waits for this agent.
CALL_LIMIT_S = 0.1


@attrs.define(eq=False)
class EngineCalls:
    """Calls the engine on a persistent connection, one call at a time.

    :ivar address: ``IP:port`` of the engine.
    """

    address: str
    _connection: persistent_connection.PersistentConnection = attrs.field(
        init=False
    )

    def __attrs_post_init__(self) -> None:
        """Create the connection object."""
        self._connection = persistent_connection.PersistentConnection(
            self.address
        )

    async def call(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        """Send a request and return the response.

        :raises http_client.HttpError: if there is no response within
            ``CALL_LIMIT_S``; the engine may still carry out the request.
        """
        return await self._connection.fetch(request, CALL_LIMIT_S)
