"""The state of an entry process of a fleet."""

import math
import random
from collections import abc

import attrs

from camphorstair.fleet import (
    connections,
    crash_state,
    holding,
    instruments,
)
from camphorstair_core import byte_budget, caller_limits
from camphorstair_core.fleet import (
    answer_durations,
    catalogue,
    content_age,
    ejection,
    membership,
    placement,
    roster,
    subsetting,
    waiting,
    windows,
)
from camphorstair_platform import boot
from camphorstair_runtime import clocks, http_client, kept_messages

# Moves a request to another endpoint; returns whether it did.
Move = abc.Callable[[], bool]

# Window in which requests to a cold endpoint are counted.
COLD_WINDOW_S = 1.0
# Part of the revocation limit up to which keys are accepted: a request starts
# at its endpoint some time after its key was checked.
KEY_AGE_SHARE = 0.9


@attrs.define(eq=False)
class FleetEntry:
    """The state of an entry.

    :ivar settings: The boot settings written by the platform.
    :ivar generator: Source of random choices.
    :ivar meters: Its counters and histograms.
    :ivar configuration: The configuration in force; None before the first was
        read.
    :ivar freshness: When the store's content was last confirmed.
    :ivar informed: Whether the store's content was read, and what the store
        had lost by then is known.
    :ivar endpoints: The registered endpoints and the data centres taken out.
    :ivar members: The entries that are members in the store.
    :ivar entry_count: Upper bound of the number of entries that serve.
    :ivar candidates: Load and health by endpoint name.
    :ivar cold_sends: Times of the last requests to cold endpoints, by name.
    :ivar queues: Queued requests by service.
    :ivar caller_times: Longest time limits that callers gave, by route.
    :ivar budgets: Retry budgets by service.
    :ivar moves: For each endpoint, the functions that move its requests to
        another one.
    :ivar connection_pool: Pool of idle connections to endpoints.
    :ivar crashes: What is known of endpoints that crash under requests.
    :ivar held: What is held for peers that read slowly.
    :ivar kept_requests: What is kept of callers' requests until they are
        answered.
    :ivar kept_answers: What is kept of endpoints' answers until they have come
        whole and were passed on.
    :ivar leaving: Whether the entry is shutting down.
    :ivar stop_s: When requests that still run are ended; infinite before a
        shutdown; monotonic clock.
    :ivar ended: Whether they are.
    :ivar durations: How long the latest answers of each route took.
    :ivar refuse_from_s: When a shutdown begins to refuse new requests, as there
        may be too little time left for their answers; monotonic clock.
    """

    settings: boot.BootSettings
    generator: random.Random
    meters: instruments.Instruments
    configuration: catalogue.Catalogue | None = None
    freshness: content_age.ContentAge = attrs.field(
        factory=content_age.ContentAge
    )
    informed: bool = False
    endpoints: roster.Roster = attrs.field(factory=roster.Roster)
    members: membership.Members = attrs.field(factory=membership.Members)
    entry_count: windows.EntryCount = attrs.field(factory=windows.EntryCount)
    candidates: dict[str, placement.Candidate] = attrs.field(factory=dict)
    cold_sends: dict[str, windows.SlidingWindow] = attrs.field(factory=dict)
    queues: dict[str, waiting.Queue] = attrs.field(factory=dict)
    caller_times: waiting.CallerTimes = attrs.field(factory=waiting.CallerTimes)
    budgets: dict[str, windows.RetryBudget] = attrs.field(factory=dict)
    moves: dict[str, list[Move]] = attrs.field(factory=dict)
    connection_pool: connections.ConnectionPool = attrs.field(
        factory=connections.ConnectionPool,
    )
    crashes: crash_state.CrashState = attrs.field(
        factory=crash_state.CrashState
    )
    held: holding.HeldAnswers = attrs.Factory(
        lambda entry: holding.within(entry.settings.memory_mb), takes_self=True
    )
    kept_requests: kept_messages.KeptMessages = attrs.Factory(
        lambda entry: _kept(entry, byte_budget.REQUESTS_SHARE), takes_self=True
    )
    kept_answers: kept_messages.KeptMessages = attrs.Factory(
        lambda entry: _kept(entry, byte_budget.ANSWERS_SHARE), takes_self=True
    )
    leaving: bool = False
    refuse_from_s: float = math.inf
    stop_s: float = math.inf
    ended: bool = False
    durations: answer_durations.AnswerDurations = attrs.field(
        factory=answer_durations.AnswerDurations
    )
    _shares: dict[str, subsetting.SharesByEndpoint] = attrs.field(factory=dict)
    _shares_version: tuple[int, int] = (0, 0)

    def serves(self) -> bool:
        """Return whether the entry can answer requests without a key.

        Whether it also accepts keys is up to ``keys_current``.
        """
        if self.configuration is None or not self.informed:
            return False
        return not self.leaving

    def ready(self) -> bool:
        """Return whether callers should be directed to this entry."""
        configuration = self.configuration
        if configuration is None or not self.serves():
            return False
        return configuration.organisations is None or self.keys_current()

    def keys_current(self) -> bool:
        """Return whether the keys were confirmed recently enough to accept.

        If not, a key that was revoked longer ago than the limit might still
        be accepted.
        """
        return content_age.keys_current(
            self.freshness, clocks.boottime_s(), self.key_age_limit_s()
        )

    def key_age_limit_s(self) -> float:
        """Return up to which age of the store's content keys are accepted."""
        return self.settings.bounds.revoke_s * KEY_AGE_SHARE

    def caller_limits(self) -> caller_limits.CallerLimits:
        """Return the request limits of the configuration in force."""
        configuration = self.configuration
        return (
            configuration.limits
            if configuration
            else caller_limits.CallerLimits()
        )

    def own_member(self) -> membership.Member:
        """Return the member record of this entry."""
        settings = self.settings
        return membership.Member(
            settings.name,
            settings.data_centre,
            settings.callers_address,
            f'{settings.address}:{settings.internal_port}',
        )

    def serving_members(self) -> list[membership.Member]:
        """Return the members that the directory names to callers."""
        slot_count = roster.total_slots(self.endpoints)
        return subsetting.serving_entries(
            self.members.present.values(), slot_count
        )

    def shares(self, service: str) -> subsetting.SharesByEndpoint:
        """Return what this entry may use of the endpoints of a service.

        They are computed again only when a member or an endpoint changes.
        """
        version = (self.members.changes, self.endpoints.changes)
        if version != self._shares_version:
            self._shares_version = version
            self._shares.clear()
        if service not in self._shares:
            registered = self.endpoints.by_service.get(service, {})
            self._shares[service] = subsetting.shares(
                self.settings.name,
                [member.name for member in self.serving_members()],
                [endpoint.registration for endpoint in registered.values()],
            )
        return self._shares[service]

    def candidate(self, endpoint: roster.Endpoint) -> placement.Candidate:
        """Return the load and health of an endpoint.

        Both are reset when the endpoint has restarted or registered anew. What
        it has said of itself is reset only when it has restarted.
        """
        name = endpoint.registration.endpoint
        before = self.candidates.get(name)
        if before is not None and before.endpoint is endpoint:
            return before
        candidate = placement.Candidate(
            endpoint, placement.Load(), ejection.Health()
        )
        if before is not None and not roster.restarted(
            before.endpoint.registration, endpoint.registration
        ):
            candidate.terms = before.terms
        self.candidates[name] = candidate
        return candidate

    def forget(self, endpoint: str) -> None:
        """Forget the load and health of an endpoint, and what it has said."""
        self.candidates.pop(endpoint, None)
        self.cold_sends.pop(endpoint, None)

    def queue(self, service: str) -> waiting.Queue:
        """Return the queue of a service; it is created on first use."""
        queue = self.queues.setdefault(service, waiting.Queue())
        queue.is_ranked = self.is_ranked(service)
        return queue

    def is_ranked(self, service: str) -> bool:
        """Return whether the routes of a service have different priorities."""
        configuration = self.configuration
        return configuration is not None and configuration.is_ranked(service)

    def budget(self, service: str) -> windows.RetryBudget:
        """Return the retry budget of a service; it is created on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            window_s = bounds.retry_window_s
            budget = windows.RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                windows.SlidingWindow(window_s),
                windows.SlidingWindow(window_s),
            )
            self.budgets[service] = budget
        return budget

    def cold_window(self, endpoint: str) -> windows.SlidingWindow:
        """Return the window of recent requests to a cold endpoint."""
        return self.cold_sends.setdefault(
            endpoint, windows.SlidingWindow(COLD_WINDOW_S)
        )


def _kept(entry: FleetEntry, share: float) -> kept_messages.KeptMessages:
    """Return what is kept of messages, with a share of the VM's memory."""
    return kept_messages.within(
        entry.settings.memory_mb, share, http_client.MAX_BODY_BYTES
    )
