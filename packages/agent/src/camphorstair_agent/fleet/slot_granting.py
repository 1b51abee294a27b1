"""Grants idle slots of the engine to entries that ask for them by datagram."""

import logging
import socket

import attrs
import curio

from camphorstair_agent.fleet import engine_calls, state
from camphorstair_core import decoding
from camphorstair_core.fleet import placement, slot_grants
from camphorstair_fleet import datagrams, internal_messages
from camphorstair_platform import engines
from camphorstair_runtime import clocks, http_client

# Requests that arrive within this time are decided together. It is also the
# shortest time between two reads of the engine's report.
COLLECT_S = 0.01
# Entries whose requests are decided together; further ones are dropped.
MAX_ASKERS = 64

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class SlotGranter:
    """Receives requests for slots, decides them and sends the grants.

    :ivar agent: The agent's state.
    :ivar calls: Connection to the engine for reading its report.
    :ivar grants: The grants so far.
    :ivar askers: The requests that are to be decided together, by entry.
    :ivar senders: Where each of these entries is replied to.
    """

    agent: state.FleetAgent
    calls: engine_calls.EngineCalls
    grants: slot_grants.SlotGrants = attrs.field(
        factory=lambda: slot_grants.start(clocks.monotonic_s())
    )
    askers: dict[str, slot_grants.Asker] = attrs.field(factory=dict)
    senders: dict[str, datagrams.Sender] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Receive and decide requests until cancelled."""
        told = self.agent.settings
        port = told.internal_port + internal_messages.SLOT_PORT_OFFSET
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            sock.bind((told.address, port))
            while True:
                await self._receive(sock)
                await curio.ignore_after(COLLECT_S, self._receive_all, sock)
                if self.askers:
                    await self._decide(sock)

    async def _receive_all(self, sock: curio.io.Socket) -> None:
        while True:
            await self._receive(sock)

    async def _receive(self, sock: curio.io.Socket) -> None:
        """Receive one request; a malformed or unexpected one is dropped."""
        content, sender = await datagrams.receive(sock)
        try:
            request = internal_messages.decode(
                content, internal_messages.SlotRequest
            )
        except internal_messages.MessageError as error:
            _LOG.debug('slot request dropped: %s', error)
            return
        is_known = request.entry in self.askers
        if request.address != self.agent.settings.engine_address or (
            len(self.askers) >= MAX_ASKERS and not is_known
        ):
            _LOG.debug('slot request of %s dropped', request.entry)
            return
        self.senders[request.entry] = sender
        self.askers[request.entry] = slot_grants.Asker(
            request.entry, request.number, request.tier, request.wanted
        )

    async def _decide(self, sock: curio.io.Socket) -> None:
        """Decide the received requests and reply to those that are granted."""
        askers = self.askers
        self.askers = {}
        senders = self.senders
        self.senders = {}
        own = self.agent.own_registration()
        report = await self._read_report()
        if own is None or report is None or not report.is_open:
            return
        requests = report.running + report.waiting
        granted = slot_grants.decide(
            self.grants,
            askers.values(),
            own.slots,
            requests,
            clocks.monotonic_s(),
        )
        _LOG.debug(
            'slots granted to %d of %d entries, %d of %d slots are in use',
            len(granted),
            len(askers),
            requests,
            own.slots,
        )
        for asker in granted:
            await self._reply(sock, senders[asker.entry], asker.number)

    async def _read_report(self) -> engines.EngineReport | None:
        """Return the engine's present report, or None if it has none."""
        try:
            answer = await self.calls.call(engines.report_request())
            return engines.decode_report(answer.body)
        except (http_client.HttpError, decoding.FormatError) as error:
            _LOG.debug('no slot granted: %s', error)
            return None

    async def _reply(
        self, sock: curio.io.Socket, sender: datagrams.Sender, number: int
    ) -> None:
        grant = internal_messages.SlotGrant(
            number,
            self.agent.settings.engine_address,
            placement.GRANT_VALID_S,
        )
        try:
            await sock.sendto(internal_messages.encode(grant), sender)
        except OSError as error:
            _LOG.debug('sending a slot grant failed: %s', error)
