"""Assigns requests to endpoints and queues those that must wait."""

import logging

import attrs
import curio

from camphorstair.fleet import (
    endpoint_choice,
    quarantine_checks,
    ranked_queues,
    slot_asking,
    state,
)
from camphorstair_core import errors
from camphorstair_core.fleet import (
    endpoint_terms,
    placement,
    roster,
    waiting,
)
from camphorstair_runtime import clocks

RETRY_AFTER_S = 0.5
# Retry-after while a rank group that broke forms again, which takes some
# seconds, or while a service has no registered endpoint. Callers wait for a
# third of their time at most.
REOPEN_RETRY_AFTER_S = 2.1
# Spreads the retries of callers that are refused at the same time: each delay
# is multiplied by a random factor between 1 and this.
RETRY_SPREAD = 1.25
# Longest queue of one service; further requests are refused.
MAX_QUEUED_REQUESTS = 400

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class PendingRequest:
    """A queued request that waits for an endpoint.

    :ivar waiter: Its entry in the service's queue.
    :ivar granted: The endpoint assigned to it; None until then.
    :ivar expected_start_s: When it was expected to be assigned one, by the
        estimate at its arrival; None if it was not estimated.
    :ivar refusal: Why it was dropped from the queue of a ranked service; None
        if it was not.
    :ivar decided: Set when an endpoint is assigned or the request is dropped
        from the queue.
    """

    waiter: waiting.Waiter
    granted: placement.Candidate | None = None
    expected_start_s: float | None = None
    refusal: errors.RequestError | None = None
    decided: curio.Event = attrs.field(factory=curio.Event)


@attrs.define(eq=False)
class Dispatcher:
    """Assigns endpoints to the requests of one entry.

    :ivar entry: The entry's state.
    :ivar quarantines: Refuses requests that crash endpoints.
    :ivar choice: Decides which endpoints may be used.
    :ivar ranked: Orders and refuses the requests of ranked services.
    :ivar slot_asker: Asks agents for slots while requests wait.
    :ivar pending_requests: The queued requests by their entry in the queue.
    """

    entry: state.FleetEntry
    quarantines: quarantine_checks.QuarantineCheck
    choice: endpoint_choice.EndpointChoice = attrs.field(init=False)
    ranked: ranked_queues.RankedQueues = attrs.field(init=False)
    slot_asker: slot_asking.SlotAsker = attrs.field(init=False)
    pending_requests: dict[waiting.Waiter, PendingRequest] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Create the parts of which each needs the entry's state."""
        self.choice = endpoint_choice.EndpointChoice(self.entry)
        self.ranked = ranked_queues.RankedQueues(
            self.entry.generator, self.entry.meters, self._drop
        )
        self.slot_asker = slot_asking.SlotAsker(
            self.entry, self.choice, self.serve_queue
        )

    async def acquire(
        self,
        service: str,
        waiter: waiting.Waiter,
    ) -> placement.Candidate:
        """Return an endpoint for a request, waiting while all are full.

        Each endpoint returned must be passed to ``release``.

        :raises errors.RequestError: if no endpoint can take the request, the
            queue is full, or no endpoint is free in time, or if the request
            crashes endpoints.
        """
        if self.choice.usable(service):
            await self.quarantines.claim_trials(waiter)
        self.quarantines.check(waiter)
        usable = self.choice.usable(service)
        queue = self.entry.queue(service)
        self._check_service(service, waiter, usable)
        if len(queue.waiters) >= MAX_QUEUED_REQUESTS:
            await self.ranked.make_room(service, queue, waiter)
        pending = PendingRequest(waiter)
        queue.waiters.append(waiter)
        self.pending_requests[waiter] = pending
        try:
            await self._wait_decided(service, usable, pending)
        except curio.CancelledError:
            if pending.granted is not None:
                await self.release(
                    service, waiter.organisation, pending.granted
                )
            raise
        finally:
            self.pending_requests.pop(waiter, None)
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
        return self._granted(service, pending)

    async def release(
        self,
        service: str,
        organisation: str,
        candidate: placement.Candidate,
    ) -> None:
        """Free the slot of a request that has ended and serve the queue."""
        candidate.load.running -= 1
        waiting.finish(self.entry.queue(service), organisation)
        await self.serve_queue(service)

    async def serve_queues(self) -> None:
        """Assign free endpoints to the queued requests of all services."""
        for service in list(self.entry.queues):
            await self.serve_queue(service)

    async def serve_queue(self, service: str) -> None:
        """Assign free endpoints of a service to its queued requests.

        Requests that can no longer be answered in time, that the endpoints'
        terms hold up for too long, or that would crash endpoints, are dropped.
        """
        queue = self.entry.queue(service)
        now_s = clocks.monotonic_s()
        dropped = waiting.given_up(queue, now_s)
        dropped += waiting.quarantined(
            queue, self.entry.crashes.quarantined, now_s
        )
        usable = self.choice.usable(service) if queue.waiters else []
        dropped += waiting.hopeless(queue, _first_turn_s(usable, now_s))
        for waiter in dropped:
            await self.pending_requests[waiter].decided.set()
        if queue.waiters:
            await self._grant(service, usable)
        await self.ranked.check(service, queue)

    def refusal(
        self,
        service: str,
        code: errors.ErrorCode,
        message: str,
    ) -> errors.RequestError:
        """Return the error for a request that has not run.

        Its retry-after is longer if the service has no registered endpoint, all
        of them leave, or a rank group must form again.
        """
        now_s = clocks.monotonic_s()
        registered = self.choice.registered(service)
        any_closed = any(
            endpoint_choice.is_closed(candidate, now_s)
            for candidate in registered
        )
        base_s = (
            REOPEN_RETRY_AFTER_S
            if any_closed or all(row.terms.leaving for row in registered)
            else RETRY_AFTER_S
        )
        spread = self.entry.generator.uniform(1, RETRY_SPREAD)
        return errors.RequestError(code, message, retry_after_s=base_s * spread)

    async def _wait_decided(
        self,
        service: str,
        usable: list[placement.Candidate],
        pending: PendingRequest,
    ) -> None:
        """Wait until an endpoint is assigned or the request is dropped."""
        await self._grant(service, usable)
        queue = self.entry.queue(service)
        if pending.waiter in queue.waiters:
            pending.expected_start_s = self.ranked.estimate_start(
                service, queue, pending.waiter
            )
            await self.ranked.check(service, queue)
        await pending.decided.wait()

    def _granted(
        self,
        service: str,
        pending: PendingRequest,
    ) -> placement.Candidate:
        """Return the endpoint assigned to a request.

        :raises errors.RequestError: if the request was dropped from the queue.
        """
        if pending.refusal is not None:
            raise pending.refusal
        if pending.granted is None:
            self.quarantines.check(pending.waiter)
            self._check_terms(pending.waiter, self.choice.usable(service), 0)
            raise self._expiry(service, pending.waiter)
        if pending.expected_start_s is not None:
            error_s = clocks.monotonic_s() - pending.expected_start_s
            self.entry.meters.start_error_s.record(abs(error_s))
        return pending.granted

    async def _grant(
        self,
        service: str,
        usable: list[placement.Candidate],
    ) -> None:
        """Assign endpoints to queued requests until none is free."""
        queue = self.entry.queue(service)
        now_s = clocks.monotonic_s()
        free = self.choice.free(service, usable, now_s)
        # Under load most calls find no free endpoint, so the queue is sorted
        # only after this check.
        waiters = self.ranked.ordered(service, queue, now_s) if free else []
        for waiter in waiters:
            candidate = self.choice.choose(free, waiter, now_s)
            if candidate is not None:
                waiting.start(queue, waiter)
                self.ranked.note_start(service, queue, waiter, now_s)
                self.choice.count_sent(candidate, waiter, now_s)
                pending = self.pending_requests[waiter]
                pending.granted = candidate
                await pending.decided.set()
                free = self.choice.free(service, free, now_s)
            if not free:
                break
        if queue.waiters:
            await self.slot_asker.ask(service, usable)

    def _expiry(
        self,
        service: str,
        waiter: waiting.Waiter,
    ) -> errors.RequestError:
        """Return the error for a request whose time in the queue is up."""
        queue = self.entry.queue(service)
        if queue.is_ranked:
            cause = ranked_queues.Cause.expired
            return self.ranked.refusal(service, queue, waiter, cause)
        return self.refusal(
            service, errors.overloaded, 'no endpoint was free in time'
        )

    async def _drop(
        self,
        waiter: waiting.Waiter,
        refusal: errors.RequestError,
    ) -> None:
        """Refuse a request that was removed from its queue."""
        pending = self.pending_requests[waiter]
        pending.refusal = refusal
        await pending.decided.set()

    def _check_service(
        self,
        service: str,
        waiter: waiting.Waiter,
        usable: list[placement.Candidate],
    ) -> None:
        """Refuse a request that no endpoint can take soon.

        :raises errors.RequestError: if the queue is full, or every endpoint
            is unusable or excluded and no rank group is forming.
        """
        queue = self.entry.queue(service)
        is_full = len(queue.waiters) >= MAX_QUEUED_REQUESTS
        if is_full and not queue.is_ranked:
            raise self.refusal(
                service,
                errors.overloaded,
                f'{MAX_QUEUED_REQUESTS} requests of service {service} are waiting',
            )
        usable_names = {
            candidate.endpoint.registration.endpoint for candidate in usable
        }
        if usable_names - waiter.excluded:
            self._check_terms(waiter, usable, len(queue.waiters))
            return
        now_s = clocks.monotonic_s()
        if not roster.is_forming(self.entry.endpoints, service, now_s):
            raise self.refusal(
                service,
                errors.no_endpoint,
                f'no endpoint of service {service} takes requests',
            )

    def _check_terms(
        self,
        waiter: waiting.Waiter,
        usable: list[placement.Candidate],
        queued: int,
    ) -> None:
        """Refuse a request whose turn comes too late by the endpoints' terms.

        :param queued: Number of requests that go first.
        :raises errors.RequestError: if all endpoints that it may use want
            nothing before a time, or name limits, by which it can't be sent in
            time.
        """
        now_s = clocks.monotonic_s()
        endpoints = (
            (row.terms, row.sharing())
            for row in usable
            if row.endpoint.registration.endpoint not in waiter.excluded
        )
        start_s = endpoint_terms.start_s(endpoints, queued, now_s)
        if now_s < start_s and waiter.latest_useful_start_s <= start_s:
            spread = self.entry.generator.uniform(1, RETRY_SPREAD)
            raise errors.RequestError(
                errors.overloaded,
                'no endpoint takes requests before its time or over its limit',
                retry_after_s=max(RETRY_AFTER_S, start_s - now_s) * spread,
            )


def _first_turn_s(
    candidates: list[placement.Candidate],
    now_s: float,
) -> float:
    """Return when the terms of some endpoint allow the next request."""
    endpoints = ((row.terms, row.sharing()) for row in candidates)
    return endpoint_terms.start_s(endpoints, 0, now_s)
