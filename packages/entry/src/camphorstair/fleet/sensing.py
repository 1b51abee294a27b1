"""Takes the loads that agents tell of their engines."""

import logging
import socket

import attrs
import curio

from camphorstair.fleet import dispatch, state
from camphorstair_core.fleet import placement
from camphorstair_fleet import internal_messages
from camphorstair_runtime import clocks

MOST_BYTES = 2048

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class LoadListener:
    """Receives the agents' messages.

    :ivar entry: The entry's state.
    :ivar dispatcher: Told when endpoints have become free.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher

    async def run(self) -> None:
        """Receive for ever."""
        told = self.entry.settings
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            sock.bind((told.address, told.internal_port))
            while True:
                content, _sender = await sock.recvfrom(MOST_BYTES)
                await self._take(content)

    async def _take(self, content: bytes) -> None:
        try:
            message = internal_messages.decode(
                content, internal_messages.EngineLoad
            )
        except internal_messages.MessageError as error:
            _LOG.warning('not taken: %s', error)
            return
        for endpoint in self.entry.endpoints.endpoints.values():
            if endpoint.registration.address == message.address:
                candidate = self.entry.candidate(endpoint)
                placement.note_report(
                    candidate.load,
                    message.running,
                    message.waiting,
                    clocks.monotonic_s(),
                )
                candidate.load.is_open = message.is_open
                candidate.load.pace = message.pace
                await self.dispatcher.advance(endpoint.registration.service)
