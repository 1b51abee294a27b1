"""Receives the engine loads that agents report over UDP."""

import logging
import socket

import attrs
import curio

from camphorstair.fleet import dispatch, state
from camphorstair_core.fleet import memory_placement, placement, roster
from camphorstair_fleet import datagrams, internal_messages
from camphorstair_runtime import clocks

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class LoadListener:
    """Receives load reports and records them at their endpoints.

    :ivar entry: The entry's state.
    :ivar dispatcher: Serves the queues after each report.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher

    async def run(self) -> None:
        """Receive load reports until cancelled."""
        told = self.entry.settings
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            sock.bind((told.address, told.internal_port))
            while True:
                content, _sender = await datagrams.receive(sock)
                await self._record_report(content)

    async def _record_report(self, content: bytes) -> None:
        """Record one load report; a malformed one is logged and dropped."""
        try:
            message = internal_messages.decode(
                content, internal_messages.EngineLoad
            )
        except internal_messages.MessageError as error:
            _LOG.warning('load report dropped: %s', error)
            return
        endpoint = roster.at_address(self.entry.endpoints, message.address)
        if endpoint is None:
            return
        candidate = self.entry.candidate(endpoint)
        now_s = clocks.monotonic_s()
        placement.record_report(
            candidate.load, message.running, message.waiting, now_s
        )
        if message.kv_used is not None:
            memory_placement.record_report(
                candidate.load, message.kv_used, now_s
            )
        candidate.load.is_open = message.is_open
        candidate.load.pace = message.pace
        await self.dispatcher.serve_queue(endpoint.registration.service)
