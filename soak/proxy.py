"""A TCP proxy on loopback that injects network faults."""

import enum
import socket
import struct

import attrs
import curio

from camphorstair_runtime import listening, settings

READ_BYTES = 65536
DELAY_S = 0.4
POLL_S = 0.02
# Linger on with a timeout of 0: closing the socket sends RST, not FIN.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """How connections are treated.

    ``whole`` forwards at once, ``delayed`` after ``DELAY_S`` for each chunk;
    ``silent`` blocks both directions, ``one_way`` only server to caller;
    ``resets`` closes connections with RST.
    """

    whole = enum.auto()
    delayed = enum.auto()
    silent = enum.auto()
    one_way = enum.auto()
    resets = enum.auto()


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to one server.

    :ivar address: ``IP:port`` that the proxy listens on.
    :ivar server: ``IP:port`` of the server.
    :ivar mode: How all connections are treated now.
    """

    address: str
    server: str
    mode: Mode = Mode.whole

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = settings.split_address(self.address)
        await listening.serve(host, port, self._serve)

    async def _serve(self, caller: curio.io.Socket, _address: object) -> None:
        host, port = settings.split_address(self.server)
        try:
            server = await curio.open_connection(host, port)
        except OSError:
            return
        async with server, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._forward, caller, server, False)
            await group.spawn(self._forward, server, caller, True)
            await group.spawn(self._reset, caller)

    async def _forward(
        self,
        source: curio.io.Socket,
        sink: curio.io.Socket,
        back: bool,
    ) -> None:
        """Forward bytes in one direction until a socket closes or fails.

        :param source: Socket to read from.
        :param sink: Socket to write to.
        :param back: Whether this is the direction from server to caller.
        """
        try:
            chunk = await source.recv(READ_BYTES)
            while chunk:
                await self._delay_or_block(back)
                await sink.sendall(chunk)
                chunk = await source.recv(READ_BYTES)
        except OSError:
            return

    async def _delay_or_block(self, back: bool) -> None:
        if self.mode is Mode.delayed:
            await curio.sleep(DELAY_S)
        while self.mode is Mode.silent or (back and self.mode is Mode.one_way):
            await curio.sleep(POLL_S)

    async def _reset(self, caller: curio.io.Socket) -> None:
        while self.mode is not Mode.resets:
            await curio.sleep(POLL_S)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
