"""Polls the engine's load and sends it to the entries as UDP datagrams."""

import logging
import socket

import attrs
import curio

from camphorstair_agent.fleet import engine_calls, state
from camphorstair_core import decoding
from camphorstair_fleet import internal_messages
from camphorstair_platform import engines
from camphorstair_runtime import clocks, http_client, settings

INTERVAL_S = 0.1
# Entries ignore a report that is older than a second, so an unchanged one is
# repeated before that, even if one datagram is lost.
MAX_SILENCE_S = 0.4

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class LoadReporter:
    """Polls the engine and sends its load to the entries that use it.

    :ivar agent: The agent's state, whose ``report`` is updated.
    :ivar calls: Connection to the engine.
    :ivar last_sent: The last message sent, without the memory in use; None
        before the first.
    :ivar repeat_deadline_s: When the last message is to be repeated even if
        nothing has changed; monotonic clock.
    """

    agent: state.FleetAgent
    calls: engine_calls.EngineCalls
    last_sent: internal_messages.EngineLoad | None = None
    repeat_deadline_s: float = 0

    async def run(self) -> None:
        """Poll every ``INTERVAL_S`` and send changes until cancelled."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            while True:
                await self._read_report()
                if self.agent.report is not None:
                    await self._send_load(sock, self.agent.report)
                await curio.sleep(INTERVAL_S)

    async def _read_report(self) -> None:
        """Update the report; None if the engine fails to return a valid one."""
        before = self.agent.report
        try:
            answer = await self.calls.call(engines.report_request())
            self.agent.report = engines.decode_report(answer.body)
        except (http_client.HttpError, decoding.FormatError) as error:
            self.agent.report = None
            if before is not None:
                _LOG.warning('reading the engine report failed: %s', error)
        else:
            if before is None:
                _LOG.info('engine report received')

    async def _send_load(
        self,
        sock: curio.io.Socket,
        report: engines.EngineReport,
    ) -> None:
        """Send a report that has changed or is due to be repeated.

        The memory in use changes with each token, so it is sent only along
        with another change. Send errors are only logged.
        """
        engine_load = internal_messages.EngineLoad(
            self.agent.settings.engine_address,
            report.running,
            report.waiting,
            report.pace,
            report.is_open,
        )
        now_s = clocks.monotonic_s()
        if engine_load == self.last_sent and now_s < self.repeat_deadline_s:
            return
        self.last_sent = engine_load
        self.repeat_deadline_s = now_s + MAX_SILENCE_S
        message = internal_messages.encode(
            attrs.evolve(engine_load, kv_used=report.kv_used)
        )
        for member in self.agent.selected_entries():
            address = settings.split_address(member.internal_address)
            try:
                await sock.sendto(message, address)
            except OSError as error:
                _LOG.debug(
                    'sending the engine load to %s failed: %s',
                    member.name,
                    error,
                )
