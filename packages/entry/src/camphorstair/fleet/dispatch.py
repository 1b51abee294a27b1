"""Gives requests their endpoints, and lets them wait for one."""

import http
import logging

import attrs
import curio

from camphorstair.fleet import state
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import (
    ejection,
    placement,
    roster,
    waiting,
    windows,
)
from camphorstair_runtime import clocks

RETRY_AFTER_S = 0.5
# A rank group that broke is open again some seconds later; callers wait for a
# third of their time at most.
REOPEN_S = 2.1
# Callers that are refused together come back spread over this factor.
RETRY_SPREAD = 1.25
MOST_WAITING = 400

# Statuses that say that a request has not run.
_PROMISING = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.REQUEST_TIMEOUT,
    ),
)

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Ticket:
    """A request that asks for an endpoint.

    :ivar waiter: Its place in the queue.
    :ivar granted: The endpoint, once it has one.
    :ivar decided: Set when it has one or is given up.
    """

    waiter: waiting.Waiter
    granted: placement.Candidate | None = None
    decided: curio.Event = attrs.field(factory=curio.Event)


@attrs.define(eq=False)
class Dispatcher:
    """Hands out the endpoints of one entry.

    :ivar entry: The entry's state.
    :ivar tickets: Those that wait, by their place in the queue.
    """

    entry: state.FleetEntry
    tickets: dict[waiting.Waiter, Ticket] = attrs.field(factory=dict)

    async def acquire(
        self,
        service: str,
        waiter: waiting.Waiter,
    ) -> placement.Candidate:
        """Return an endpoint for a request, after a wait if all are full.

        :raises errors.RequestError: if there is none, or none in time.
        """
        usable = self._usable(service)
        self._check_service(service, waiter, usable)
        ticket = Ticket(waiter)
        queue = self.entry.queue(service)
        queue.waiters.append(waiter)
        self.tickets[waiter] = ticket
        await self._grant(service, usable)
        try:
            await ticket.decided.wait()
        finally:
            self.tickets.pop(waiter, None)
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
        if ticket.granted is None:
            raise self.refusal(
                service, errors.overloaded, 'no endpoint was free in time'
            )
        return ticket.granted

    async def release(
        self,
        service: str,
        organisation: str,
        candidate: placement.Candidate,
    ) -> None:
        """Note that a request has left its endpoint."""
        candidate.load.running -= 1
        waiting.finish(self.entry.queue(service), organisation)
        await self.advance(service)

    async def advance_all(self) -> None:
        """Give free endpoints to those that wait."""
        for service in list(self.entry.queues):
            await self.advance(service)

    async def advance(self, service: str) -> None:
        """Give free endpoints of a service to those that wait."""
        queue = self.entry.queue(service)
        for lost in waiting.given_up(queue, clocks.monotonic_s()):
            await self.tickets[lost].decided.set()
        if queue.waiters:
            await self._grant(service, self._usable(service))

    def refusal(
        self,
        service: str,
        code: errors.ErrorCode,
        message: str,
    ) -> errors.RequestError:
        """Return the refusal of a request that has not run.

        It tells when to come back: later if a rank group has to form again.
        """
        now_s = clocks.monotonic_s()
        registered = self._registered(service)
        closed = any(_is_closed(one, now_s) for one in registered)
        base_s = REOPEN_S if closed or not registered else RETRY_AFTER_S
        spread = self.entry.generator.uniform(1, RETRY_SPREAD)
        return errors.RequestError(code, message, retry_after_s=base_s * spread)

    def stalling(self, service: str) -> list[placement.Candidate]:
        """Return the ranks whose requests had better go on elsewhere.

        There are none while no other rank has a place.
        """
        now_s = clocks.monotonic_s()
        if not self._free(service, self._usable(service), now_s):
            return []
        return placement.slow_ranks(
            self._registered(service), placement.STALLING_FACTOR, now_s
        )

    async def _grant(
        self,
        service: str,
        usable: list[placement.Candidate],
    ) -> None:
        """Give free endpoints away, until none is free."""
        queue = self.entry.queue(service)
        now_s = clocks.monotonic_s()
        free = self._free(service, usable, now_s)
        # Under load most calls end here, so the order comes after it.
        waiters = waiting.in_order(queue, now_s) if free else []
        for waiter in waiters:
            candidate = _choose(self.entry, free, waiter, now_s)
            if candidate is not None:
                waiting.start(queue, waiter)
                self._send_to(candidate, now_s)
                ticket = self.tickets[waiter]
                ticket.granted = candidate
                await ticket.decided.set()
                free = self._free(service, free, now_s)
            if not free:
                return

    def _check_service(
        self,
        service: str,
        waiter: waiting.Waiter,
        usable: list[placement.Candidate],
    ) -> None:
        """Refuse at once what no endpoint can take for now."""
        queue = self.entry.queue(service)
        if len(queue.waiters) >= MOST_WAITING:
            raise self.refusal(
                service, errors.overloaded, f'{MOST_WAITING} requests wait'
            )
        names = {one.endpoint.registration.endpoint for one in usable}
        if names - waiter.excluded:
            return
        now_s = clocks.monotonic_s()
        if not roster.forming(self.entry.endpoints, service, now_s):
            raise self.refusal(
                service,
                errors.no_endpoint,
                f'no endpoint of service {service} takes requests',
            )

    def _usable(self, service: str) -> list[placement.Candidate]:
        """Return the endpoints that may be used; ejected ones if no other."""
        now_s = clocks.monotonic_s()
        found = [
            one
            for one in self._registered(service)
            if not _is_closed(one, now_s)
        ]
        sound = [
            one for one in found if not ejection.is_ejected(one.health, now_s)
        ]
        sound = sound or found
        slow = placement.slow_ranks(sound, placement.SLOW_FACTOR, now_s)
        return [one for one in sound if one not in slow]

    def _registered(self, service: str) -> list[placement.Candidate]:
        entry = self.entry
        found = [
            entry.candidate(one)
            for one in roster.usable(entry.endpoints, service)
        ]
        placement.share_places(found, entry.place(), entry.entries())
        return found

    def _free(
        self,
        service: str,
        candidates: list[placement.Candidate],
        now_s: float,
    ) -> list[placement.Candidate]:
        return [one for one in candidates if self._admits(service, one, now_s)]

    def _admits(
        self,
        service: str,
        candidate: placement.Candidate,
        now_s: float,
    ) -> bool:
        if not placement.has_place(candidate, now_s):
            return False
        if ejection.on_trial(candidate.health) and candidate.load.running:
            return False
        if now_s >= candidate.endpoint.cold_deadline_s:
            return True
        name = candidate.endpoint.registration.endpoint
        sent = self.entry.cold_window(name).count(now_s)
        return sent < self._cold_limit(service)

    def _send_to(self, candidate: placement.Candidate, now_s: float) -> None:
        candidate.load.running += 1
        if now_s < candidate.endpoint.cold_deadline_s:
            name = candidate.endpoint.registration.endpoint
            self.entry.cold_window(name).add(now_s)

    def _cold_limit(self, service: str) -> int:
        bounds = self.entry.settings.bounds
        known = self.entry.configuration
        found = known.services.get(service) if known else None
        return windows.cold_limit(
            found.cold_per_s if found else 0,
            bounds.cold_factor,
            bounds.cold_slack,
            self.entry.entry_count.bound(),
        )


def _choose(
    entry: state.FleetEntry,
    free: list[placement.Candidate],
    waiter: waiting.Waiter,
    now_s: float,
) -> placement.Candidate | None:
    allowed = [
        one
        for one in free
        if one.endpoint.registration.endpoint not in waiter.excluded
    ]
    return placement.choose(
        allowed, entry.settings.data_centre, now_s, entry.generator
    )


def _is_closed(candidate: placement.Candidate, now_s: float) -> bool:
    return roster.closed(candidate.endpoint) or (
        placement.reported_closed(candidate.load, now_s)
    )


def status_of(error: errors.RequestError) -> int:
    """Return the status of a request that ends without an answer.

    Only a request that surely has not run is answered by a status that
    promises so.
    """
    not_run = error.verdict is verdicts.Verdict.not_run
    if not_run or error.code.status not in _PROMISING:
        return error.code.status
    return http.HTTPStatus.BAD_GATEWAY
