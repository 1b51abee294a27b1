"""A pool of idle connections to endpoints."""

import attrs

from camphorstair_runtime import http_client, sockets

CONNECT_LIMIT_S = 1.0
IDLE_LIMIT_S = 4.0
# Part of the endpoint's idle timeout during which a connection is reused.
IDLE_TIMEOUT_SHARE = 0.7
# Idle connections per address.
MAX_IDLE_PER_ADDRESS = 8


@attrs.define
class _IdleConnection:
    """An idle connection, and when it must no longer be reused.

    :ivar deadline_s: A time of the monotonic clock.
    """

    exchange: http_client.Exchange
    deadline_s: float


@attrs.define
class ConnectionPool:
    """A pool of idle connections by address.

    :ivar idle: The connections by address, the most recently used one last.
    """

    idle: dict[str, list[_IdleConnection]] = attrs.field(factory=dict)

    async def take(
        self,
        address: str,
        now_s: float,
    ) -> http_client.Exchange | None:
        """Remove and return an idle connection, or None if there is none.

        Connections that have expired, or on which the endpoint has sent bytes
        or closed its side, are closed.
        """
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            exchange = connection.exchange
            if now_s < connection.deadline_s and not exchange.has_input():
                exchange.protocol.start_next_cycle()
                return exchange
            await exchange.close()
        return None

    async def keep(
        self,
        address: str,
        exchange: http_client.Exchange,
        idle_s: float | None,
        now_s: float,
    ) -> None:
        """Return a connection to the pool after its answer was read.

        The connection is closed instead if it can't be reused or enough
        connections to the address are idle already.

        :param idle_s: How long the endpoint keeps an idle connection open;
            None if the endpoint does not say.
        """
        idle = self.idle.setdefault(address, [])
        lifetime_s = (
            IDLE_LIMIT_S if idle_s is None else idle_s * IDLE_TIMEOUT_SHARE
        )
        lifetime_s = min(lifetime_s, IDLE_LIMIT_S)
        if (
            not exchange.reusable()
            or lifetime_s <= 0
            or len(idle) >= MAX_IDLE_PER_ADDRESS
        ):
            await exchange.close()
            return
        idle.append(_IdleConnection(exchange, now_s + lifetime_s))

    async def expire(self, now_s: float) -> None:
        """Close the idle connections that have expired."""
        for address, idle in list(self.idle.items()):
            expired = [
                idle_connection
                for idle_connection in idle
                if idle_connection.deadline_s <= now_s
            ]
            for connection in expired:
                idle.remove(connection)
                await connection.exchange.close()
            if not idle:
                self.idle.pop(address)


async def connect(address: str) -> http_client.Exchange:
    """Open a connection to an endpoint.

    :raises http_client.HttpError: if it can't be opened within
        ``CONNECT_LIMIT_S``.
    """
    exchange = await http_client.connect(address, limit_s=CONNECT_LIMIT_S)
    sockets.enable_keepalive(exchange.sock)
    exchange.allow_eof_body = True
    return exchange
