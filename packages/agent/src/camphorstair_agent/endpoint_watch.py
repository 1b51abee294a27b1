"""Detects restarts of the endpoint by an idle connection to it.

The connection closes when the endpoint's process ends.
"""

import logging

import attrs
import curio

from camphorstair_core import admission
from camphorstair_runtime import settings, sockets

RECONNECT_S = 0.25

_LOG = logging.getLogger(__name__)


@attrs.define
class EndpointWatch:
    """Keeps an idle connection to the endpoint and reconnects when it closes.

    :ivar address: ``IP:port`` of the endpoint.
    :ivar gate: The admission control, which records whether the connection is
        open.
    """

    address: str
    gate: admission.Admission

    async def run(self) -> None:
        """Watch the endpoint until cancelled, reconnecting after each close."""
        while True:
            try:
                await self._watch_connection()
            except OSError as error:
                _LOG.debug(
                    'watch connection to endpoint %s failed: %s',
                    self.address,
                    error,
                )
            admission.set_watched(self.gate, watched=False)
            await curio.sleep(RECONNECT_S)

    async def _watch_connection(self) -> None:
        """Connect, and return when the endpoint closes the connection."""
        host, port = settings.split_address(self.address)
        sock = await sockets.connect(host, port)
        async with sock:
            admission.set_watched(self.gate, watched=True)
            await sock.recv(1)
