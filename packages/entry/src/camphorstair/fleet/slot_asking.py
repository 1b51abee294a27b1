"""Asks agents for idle slots of other entries while requests wait."""

import logging
import os
import socket
from collections import abc

import attrs
import curio

from camphorstair.fleet import endpoint_choice, state
from camphorstair_core.fleet import placement, slot_requests
from camphorstair_fleet import datagrams, internal_messages
from camphorstair_runtime import clocks, settings

_FIRST_NUMBER_BYTES = 4

_LOG = logging.getLogger(__name__)

ServeQueue = abc.Callable[[str], abc.Awaitable[None]]


def _new_requests() -> slot_requests.SlotRequests:
    """Return a state whose first number an earlier process hardly used."""
    return slot_requests.SlotRequests(
        int.from_bytes(os.urandom(_FIRST_NUMBER_BYTES))
    )


@attrs.define(eq=False)
class SlotAsker:
    """Sends requests for slots and receives the grants.

    :ivar entry: The entry's state.
    :ivar choice: Decides which endpoints may be used.
    :ivar serve_queue: Assigns free endpoints to a service's queued requests.
    :ivar requests: The requests that were sent.
    """

    entry: state.FleetEntry
    choice: endpoint_choice.EndpointChoice
    serve_queue: ServeQueue
    requests: slot_requests.SlotRequests = attrs.field(factory=_new_requests)
    _sock: curio.io.Socket | None = None

    async def run(self) -> None:
        """Receive grants until cancelled."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            sock.bind((self.entry.settings.address, 0))
            self._sock = sock
            try:
                while True:
                    content, _sender = await datagrams.receive(sock)
                    await self._take_grant(content)
            finally:
                self._sock = None

    async def ask(
        self, service: str, usable: list[placement.Candidate]
    ) -> None:
        """Ask for slots, if the service is ranked and a round is due.

        :param service: A service with waiting requests.
        :param usable: Its endpoints that this entry may use.
        """
        now_s = clocks.monotonic_s()
        if now_s < self.requests.next_round_s or self._sock is None:
            return
        if not self.entry.is_ranked(service):
            return
        self._count_expired(now_s)
        waiters = self.entry.queue(service).waiters
        lending = self.choice.lending(service, usable, now_s)
        round_requests = slot_requests.ask(
            self.requests, lending, waiters, now_s, self.entry.generator
        )
        tier = slot_requests.most_urgent_tier(waiters, now_s)
        wanted = len(waiters)
        for asked in round_requests:
            await self._send(asked, tier, wanted)

    async def _send(
        self, asked: slot_requests.Asked, tier: int, wanted: int
    ) -> None:
        told = self.entry.settings
        address = asked.candidate.endpoint.registration.address
        message = internal_messages.SlotRequest(
            asked.number, address, told.name, tier, wanted
        )
        if self._sock is None:
            return
        port = told.internal_port + internal_messages.SLOT_PORT_OFFSET
        try:
            await self._sock.sendto(
                internal_messages.encode(message),
                (settings.split_address(address)[0], port),
            )
        except OSError as error:
            _LOG.debug('asking for a slot of %s failed: %s', address, error)

    async def _take_grant(self, content: bytes) -> None:
        """Use a grant; a malformed, late or unknown one is dropped."""
        try:
            grant = internal_messages.decode(
                content, internal_messages.SlotGrant
            )
        except internal_messages.MessageError as error:
            _LOG.debug('slot grant dropped: %s', error)
            return
        now_s = clocks.monotonic_s()
        self._count_expired(now_s)
        candidate = slot_requests.record_grant(
            self.requests, grant.address, grant.number, grant.valid_s, now_s
        )
        _LOG.debug(
            'slot grant %d of %s %s',
            grant.number,
            grant.address,
            'dropped' if candidate is None else 'received',
        )
        if candidate is not None:
            await self.serve_queue(candidate.endpoint.registration.service)

    def _count_expired(self, now_s: float) -> None:
        expired = slot_requests.remove_expired(self.requests, now_s)
        if expired:
            self.entry.meters.slot_grants.add(expired, {'outcome': 'expired'})
