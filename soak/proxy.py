"""A loopback proxy whose connections can be harmed."""

import enum
import socket
import struct

import attrs
import curio

from camphorstair_runtime import listening, settings

READ_BYTES = 65536
DELAY_S = 0.4
POLL_S = 0.02
_LINGER_AT_ONCE = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What happens to bytes."""

    whole = enum.auto()
    delayed = enum.auto()
    silent = enum.auto()
    one_way = enum.auto()
    resets = enum.auto()


@attrs.define(eq=False)
class Proxy:
    """Passes connections on to one server.

    :ivar address: ``IP:port`` where it listens.
    :ivar server: ``IP:port`` of the server.
    :ivar mode: What happens to bytes now.
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
            await group.spawn(self._pump, caller, server, False)
            await group.spawn(self._pump, server, caller, True)
            await group.spawn(self._reset, caller)

    async def _pump(
        self,
        source: curio.io.Socket,
        sink: curio.io.Socket,
        back: bool,
    ) -> None:
        """Pass bytes on in one direction until an end breaks off."""
        try:
            chunk = await source.recv(READ_BYTES)
            while chunk:
                await self._hold_up(back)
                await sink.sendall(chunk)
                chunk = await source.recv(READ_BYTES)
        except OSError:
            return

    async def _hold_up(self, back: bool) -> None:
        if self.mode is Mode.delayed:
            await curio.sleep(DELAY_S)
        while self.mode is Mode.silent or (back and self.mode is Mode.one_way):
            await curio.sleep(POLL_S)

    async def _reset(self, caller: curio.io.Socket) -> None:
        while self.mode is not Mode.resets:
            await curio.sleep(POLL_S)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_AT_ONCE)
