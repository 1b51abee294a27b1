"""Decides which endpoints of a service an entry may send a request to now."""

import attrs

from camphorstair.fleet import state
from camphorstair_core.fleet import (
    catalogue,
    ejection,
    endpoint_terms,
    memory_placement,
    placement,
    request_limits,
    roster,
    slot_requests,
    waiting,
    windows,
)
from camphorstair_runtime import clocks


@attrs.define(eq=False)
class EndpointChoice:
    """The endpoints that one entry uses, by their state and load.

    :ivar entry: The entry's state.
    """

    entry: state.FleetEntry

    def usable(self, service: str) -> list[placement.Candidate]:
        """Return the open endpoints of a service that are not slow ranks.

        Endpoints that have said that they leave are left out.
        Ejected endpoints are returned only if all open ones are ejected.
        """
        now_s = clocks.monotonic_s()
        open_candidates = [
            candidate
            for candidate in self.registered(service)
            if not is_closed(candidate, now_s) and not candidate.terms.leaving
        ]
        healthy = [
            candidate
            for candidate in open_candidates
            if not ejection.is_ejected(candidate.health, now_s)
        ]
        healthy = healthy or open_candidates
        slow = placement.slow_ranks(healthy, placement.SLOW_FACTOR, now_s)
        return [candidate for candidate in healthy if candidate not in slow]

    def registered(self, service: str) -> list[placement.Candidate]:
        """Return the ready endpoints of a service that this entry uses.

        They are in data centres in use. Without any, as when the data centres
        of all of them are out, all ready endpoints of the service are
        returned.
        """
        entry = self.entry
        shares = entry.shares(service)
        candidates = []
        for name, share in shares.items():
            endpoint = entry.endpoints.endpoints[name]
            if roster.accepts_requests(entry.endpoints, endpoint):
                candidate = entry.candidate(endpoint)
                candidate.own_slots = share.own_slots
                candidate.place = share.place
                candidate.users = share.users
                candidates.append(candidate)
        return candidates or [
            entry.candidate(endpoint)
            for endpoint in roster.usable(entry.endpoints, service)
        ]

    def free(
        self,
        service: str,
        candidates: list[placement.Candidate],
        now_s: float,
    ) -> list[placement.Candidate]:
        """Return the endpoints that can be sent one more request now."""
        return [
            candidate
            for candidate in candidates
            if placement.has_free_slot(candidate, now_s)
            and self._allows_request(service, candidate, now_s)
        ]

    def lending(
        self,
        service: str,
        candidates: list[placement.Candidate],
        now_s: float,
    ) -> list[placement.Candidate]:
        """Return the endpoints that only lack a slot for this entry.

        Their reports show free slots, which other entries own.
        """
        return [
            candidate
            for candidate in candidates
            if slot_requests.lends_slot(candidate, now_s)
            and self._allows_request(service, candidate, now_s)
        ]

    def stalling_ranks(self, service: str) -> list[placement.Candidate]:
        """Return the slow ranks whose streams should move to other ranks.

        The list is empty while no usable endpoint has a free slot.
        """
        now_s = clocks.monotonic_s()
        slow = placement.slow_ranks(
            self.registered(service), placement.STALLING_FACTOR, now_s
        )
        if slow and self.free(service, self.usable(service), now_s):
            return slow
        return []

    def count_sent(
        self,
        candidate: placement.Candidate,
        waiter: waiting.Waiter,
        now_s: float,
    ) -> None:
        """Count a request that is sent to an endpoint."""
        candidate.load.running += 1
        if placement.has_grant(candidate.load, now_s):
            candidate.load.grant_deadline_s = 0
            self.entry.meters.slot_grants.add(1, {'outcome': 'used'})
        request_limits.count_sent(
            candidate.terms.limit, candidate.sharing(), now_s
        )
        if now_s < candidate.endpoint.cold_deadline_s:
            name = candidate.endpoint.registration.endpoint
            self.entry.cold_window(name).add(now_s)
        profile = self._bounded_engine([candidate])
        if profile is not None:
            memory_placement.record_sent(
                candidate.load, profile, waiter.kv_tokens, now_s
            )

    def choose(
        self,
        free: list[placement.Candidate],
        waiter: waiting.Waiter,
        now_s: float,
    ) -> placement.Candidate | None:
        """Return the best endpoint that a request may use, or None.

        An engine of a ranked service must have memory for the request.
        """
        allowed = [
            candidate
            for candidate in free
            if candidate.endpoint.registration.endpoint not in waiter.excluded
        ]
        profile = self._bounded_engine(allowed)
        if profile is not None:
            allowed = [
                candidate
                for candidate in allowed
                if memory_placement.fits(
                    candidate, profile, waiter.kv_tokens, now_s
                )
            ]
        entry = self.entry
        return placement.choose(
            allowed, entry.settings.data_centre, now_s, entry.generator
        )

    def _bounded_engine(
        self, candidates: list[placement.Candidate]
    ) -> catalogue.EngineProfile | None:
        """Return the profile of engines that are chosen by their memory.

        :param candidates: Endpoints of one service.
        :returns: None if the service is not ranked or its engines' memory is
            not known.
        """
        configuration = self.entry.configuration
        if not candidates or configuration is None:
            return None
        service = candidates[0].endpoint.registration.service
        configured = configuration.services.get(service)
        profile = configured.engine if configured else None
        if profile is None or profile.kv_tokens <= 0:
            return None
        return profile if configuration.is_ranked(service) else None

    def _allows_request(
        self,
        service: str,
        candidate: placement.Candidate,
        now_s: float,
    ) -> bool:
        """Return whether an endpoint with a slot can be sent a request now.

        An endpoint that was ejected gets one request of this entry at a
        time until it answers; a cold one, which registered a short time ago,
        and one that names a limit get a limited number per second.
        """
        if not endpoint_terms.may_send(candidate.terms, now_s):
            return False
        if ejection.is_recovering(candidate.health) and candidate.load.running:
            return False
        if now_s >= candidate.endpoint.cold_deadline_s:
            return True
        name = candidate.endpoint.registration.endpoint
        recent = self.entry.cold_window(name).count(now_s)
        return recent < self._cold_limit(service, candidate.place)

    def _cold_limit(self, service: str, place: int | None) -> int:
        """Return how many requests per second a cold endpoint is sent.

        :param place: The place of this entry among those that use the endpoint.
        """
        bounds = self.entry.settings.bounds
        configuration = self.entry.configuration
        configured = (
            configuration.services.get(service) if configuration else None
        )
        return windows.cold_limit(
            configured.cold_per_s if configured else 0,
            bounds.cold_factor,
            bounds.cold_slack,
            self.entry.entry_count.bound(),
            place,
        )


def is_closed(candidate: placement.Candidate, now_s: float) -> bool:
    """Return whether an endpoint is gone or its rank group is not working."""
    return roster.closed(candidate.endpoint) or (
        placement.reported_closed(candidate.load, now_s)
    )
