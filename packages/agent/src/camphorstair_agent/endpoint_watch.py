"""Holds a connection to the endpoint, whose end tells of a restart."""

import logging

import attrs
import curio

from camphorstair_core import admission
from camphorstair_runtime import settings

RECONNECT_S = 0.25

_LOG = logging.getLogger(__name__)


@attrs.define
class EndpointWatch:
    """State of the task that watches the endpoint.

    :ivar address: ``IP:port`` of the endpoint.
    :ivar gate: The admission.
    """

    address: str
    gate: admission.Admission

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        while True:
            try:
                await self._watch()
            except OSError as error:
                _LOG.debug('endpoint %s: %s', self.address, error)
            admission.note_watched(self.gate, watched=False)
            await curio.sleep(RECONNECT_S)

    async def _watch(self) -> None:
        host, port = settings.split_address(self.address)
        sock = await curio.open_connection(host, port)
        async with sock:
            admission.note_watched(self.gate, watched=True)
            await sock.recv(1)
