"""What an entry of the fleet knows and has in progress."""

import random
from collections import abc

import attrs

from camphorstair.fleet import connections, instruments
from camphorstair_core import caller_limits
from camphorstair_core.fleet import (
    catalogue,
    ejection,
    knowledge,
    membership,
    placement,
    roster,
    waiting,
    windows,
)
from camphorstair_platform import boot
from camphorstair_runtime import clocks

# Returns whether the request is moved.
Move = abc.Callable[[], bool]

COLD_WINDOW_S = 1.0
# Less than the limit, as the check comes before the endpoint's start.
KEY_AGE_SHARE = 0.9


@attrs.define(eq=False)
class FleetEntry:
    """The state of an entry.

    :ivar settings: What the platform told the process.
    :ivar generator: Source of random choices.
    :ivar meters: Its counters and histograms.
    :ivar configuration: The configuration in force; None before the first.
    :ivar known: How old the knowledge of the store's content is.
    :ivar listed: Whether the endpoints were read at least once.
    :ivar endpoints: The endpoints.
    :ivar members: The entries that serve.
    :ivar entry_count: Upper bound of their number.
    :ivar candidates: Work and health by endpoint.
    :ivar cold_sends: Requests sent lately, by cold endpoint.
    :ivar queues: Waiting requests by service.
    :ivar patience: How long callers wait, by route.
    :ivar budgets: Repeats by service.
    :ivar moves: Functions that move the requests at an endpoint to another
        one, by endpoint.
    :ivar kept: Idle connections to endpoints.
    :ivar leaving: Whether the entry shuts down.
    """

    settings: boot.BootSettings
    generator: random.Random
    meters: instruments.Instruments
    configuration: catalogue.Catalogue | None = None
    known: knowledge.Knowledge = attrs.field(factory=knowledge.Knowledge)
    listed: bool = False
    endpoints: roster.Roster = attrs.field(factory=roster.Roster)
    members: membership.Members = attrs.field(factory=membership.Members)
    entry_count: windows.EntryCount = attrs.field(factory=windows.EntryCount)
    candidates: dict[str, placement.Candidate] = attrs.field(factory=dict)
    cold_sends: dict[str, windows.SlidingWindow] = attrs.field(factory=dict)
    queues: dict[str, waiting.Queue] = attrs.field(factory=dict)
    patience: waiting.CallerTimes = attrs.field(factory=waiting.CallerTimes)
    budgets: dict[str, windows.RetryBudget] = attrs.field(factory=dict)
    moves: dict[str, list[Move]] = attrs.field(factory=dict)
    kept: connections.Connections = attrs.field(
        factory=connections.Connections,
    )
    leaving: bool = False

    def serves(self) -> bool:
        """Tell whether requests can be answered, those with a key perhaps."""
        return (
            not self.leaving and self.configuration is not None and self.listed
        )

    def ready(self) -> bool:
        """Tell whether callers should be sent here."""
        known = self.configuration
        if known is None or not self.serves():
            return False
        return known.organisations is None or self.keys_current()

    def keys_current(self) -> bool:
        """Tell whether no key can have been taken away for too long."""
        limit_s = self.settings.bounds.revoke_s * KEY_AGE_SHARE
        return knowledge.keys_current(self.known, clocks.suspended_s(), limit_s)

    def caller_limits(self) -> caller_limits.CallerLimits:
        """Return what callers may send by the configuration in force."""
        known = self.configuration
        return known.limits if known else caller_limits.CallerLimits()

    def own_member(self) -> membership.Member:
        """Return this entry as a member."""
        settings = self.settings
        return membership.Member(
            settings.name,
            settings.data_centre,
            settings.callers_address,
            f'{settings.address}:{settings.internal_port}',
        )

    def place(self) -> int:
        """Return the place of this entry among the entries."""
        name = self.settings.name
        return sum(other < name for other in self.members.present)

    def entries(self) -> int:
        """Return how many entries serve, this one among them."""
        present = self.members.present
        return len(present) + (self.settings.name not in present)

    def candidate(self, endpoint: roster.Endpoint) -> placement.Candidate:
        """Return the work and health of an endpoint; a restarted one is new."""
        name = endpoint.registration.endpoint
        found = self.candidates.get(name)
        if found is None or found.endpoint is not endpoint:
            found = placement.Candidate(
                endpoint, placement.Load(), ejection.Health()
            )
            self.candidates[name] = found
        return found

    def queue(self, service: str) -> waiting.Queue:
        """Return the queue of a service."""
        return self.queues.setdefault(service, waiting.Queue())

    def budget(self, service: str) -> windows.RetryBudget:
        """Return the budget of repeats of a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            window_s = bounds.retry_window_s
            found = windows.RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                windows.SlidingWindow(window_s),
                windows.SlidingWindow(window_s),
            )
            self.budgets[service] = found
        return found

    def cold_window(self, endpoint: str) -> windows.SlidingWindow:
        """Return the requests that a cold endpoint got lately."""
        return self.cold_sends.setdefault(
            endpoint, windows.SlidingWindow(COLD_WINDOW_S)
        )
