"""Connections to endpoints that are kept for further requests."""

import select

import attrs

from camphorstair_runtime import http_client, sockets

CONNECT_LIMIT_S = 1.0
IDLE_LIMIT_S = 4.0
IDLE_USED_SHARE = 0.7
MOST_IDLE = 8


@attrs.define
class _Kept:
    exchange: http_client.Exchange
    deadline_s: float


@attrs.define
class Connections:
    """Idle connections by address.

    :ivar idle: The connections, the one used last at the end.
    """

    idle: dict[str, list[_Kept]] = attrs.field(factory=dict)

    async def take(
        self,
        address: str,
        now_s: float,
    ) -> http_client.Exchange | None:
        """Return a kept connection on which nothing has come, or None."""
        kept = self.idle.get(address, [])
        while kept:
            found = kept.pop()
            if now_s < found.deadline_s and _quiet(found.exchange):
                found.exchange.protocol.start_next_cycle()
                return found.exchange
            await found.exchange.close()
        return None

    async def keep(
        self,
        address: str,
        exchange: http_client.Exchange,
        idle_s: float | None,
        now_s: float,
    ) -> None:
        """Keep a connection whose answer was read, if it can be used again.

        :param idle_s: How long the endpoint keeps it; None if untold.
        """
        kept = self.idle.setdefault(address, [])
        life_s = IDLE_LIMIT_S if idle_s is None else idle_s * IDLE_USED_SHARE
        life_s = min(life_s, IDLE_LIMIT_S)
        if not exchange.reusable() or life_s <= 0 or len(kept) >= MOST_IDLE:
            await exchange.close()
            return
        kept.append(_Kept(exchange, now_s + life_s))

    async def expire(self, now_s: float) -> None:
        """Close the connections whose time is over."""
        for address, kept in list(self.idle.items()):
            expired = [row for row in kept if row.deadline_s <= now_s]
            for one in expired:
                kept.remove(one)
                await one.exchange.close()
            if not kept:
                self.idle.pop(address)


async def connect(address: str) -> http_client.Exchange:
    """Open a connection to an endpoint.

    :raises http_client.HttpError: if it does not stand in time.
    """
    exchange = await http_client.connect(address, limit_s=CONNECT_LIMIT_S)
    sockets.detect_silence(exchange.sock)
    exchange.eof_ends = True
    return exchange


def _quiet(exchange: http_client.Exchange) -> bool:
    """Tell whether neither bytes nor the end have come on a connection."""
    poll = select.poll()
    poll.register(exchange.sock.fileno(), select.POLLIN)
    return not poll.poll(0)
