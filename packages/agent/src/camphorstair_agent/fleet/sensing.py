"""Reads the engine's load and tells it to the entries."""

import logging
import socket

import attrs
import curio

from camphorstair_agent.fleet import engine_calls, state
from camphorstair_fleet import internal_messages
from camphorstair_platform import engines, fields
from camphorstair_runtime import http_client, settings

INTERVAL_S = 0.1

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Sensing:
    """Sends each report of the engine to all entries.

    :ivar agent: The agent's state.
    :ivar calls: The engine.
    :ivar sequence: Number of the last message.
    """

    agent: state.FleetAgent
    calls: engine_calls.EngineCalls
    sequence: int = 0

    async def run(self) -> None:
        """Read and tell for ever."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            while True:
                await self._read()
                if self.agent.report is not None:
                    await self._tell(sock, self.agent.report)
                await curio.sleep(INTERVAL_S)

    async def _read(self) -> None:
        before = self.agent.report
        try:
            answer = await self.calls.call(engines.report_request())
            self.agent.report = engines.decode_report(answer.body)
        except (http_client.HttpError, fields.FormatError) as error:
            self.agent.report = None
            if before is not None:
                _LOG.warning('the engine does not report: %s', error)
        else:
            if before is None:
                _LOG.info('the engine reports')

    async def _tell(
        self,
        sock: curio.io.Socket,
        report: engines.EngineReport,
    ) -> None:
        self.sequence += 1
        message = internal_messages.encode(
            internal_messages.EngineLoad(
                self.agent.settings.engine_address,
                self.sequence,
                report.running,
                report.waiting,
                report.pace,
                report.is_open,
            ),
        )
        for member in list(self.agent.members.values()):
            address = settings.split_address(member.internal_address)
            try:
                await sock.sendto(message, address)
            except OSError as error:
                _LOG.debug('load not told to %s: %s', member.name, error)
