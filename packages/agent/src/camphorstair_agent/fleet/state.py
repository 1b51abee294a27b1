"""State that the tasks of a fleet agent share."""

import attrs
import curio

from camphorstair_agent.fleet import instruments
from camphorstair_core.fleet import (
    catalogue,
    content_age,
    crash_reports,
    membership,
    roster,
    subsetting,
)
from camphorstair_platform import boot, engines


@attrs.define(eq=False)
class FleetAgent:
    """The state of a fleet agent.

    :ivar settings: The boot settings that the platform passed to the process.
    :ivar meters: The agent's counters and histograms.
    :ivar endpoints: The registered endpoints by name.
    :ivar members: The serving entries by name.
    :ivar services: The configured services by name.
    :ivar planners: Name of the VM that holds the planner lease, by rank group.
    :ivar crashes: The crashes that entries and agents have reported.
    :ivar crash_news: Set when the store may not have this agent's reports of
        crashes.
    :ivar store_era: Era of the store's content that the lists are from.
    :ivar report: The last report of the engine on this VM; None if the last
        attempt to read it failed.
    :ivar freshness: When the lists were last confirmed by the store.
    """

    settings: boot.BootSettings
    meters: instruments.Instruments
    endpoints: dict[str, roster.Registration] = attrs.field(factory=dict)
    members: dict[str, membership.Member] = attrs.field(factory=dict)
    services: dict[str, catalogue.Service] = attrs.field(factory=dict)
    planners: dict[str, str] = attrs.field(factory=dict)
    crashes: crash_reports.CrashHistory = attrs.field(
        factory=crash_reports.CrashHistory
    )
    crash_news: curio.Event = attrs.field(factory=curio.Event)
    store_era: int = 0
    report: engines.EngineReport | None = None
    freshness: content_age.ContentAge = attrs.field(
        factory=content_age.ContentAge
    )
    _selected: list[membership.Member] | None = None

    def own_registration(self) -> roster.Registration | None:
        """Return the registration of the engine on this VM, or None.

        After a restart of the engine, that of its earlier process may still be
        listed.
        """
        return max(
            (
                registration
                for registration in self.endpoints.values()
                if registration.address == self.settings.engine_address
            ),
            key=_born_ms,
            default=None,
        )

    def selected_entries(self) -> list[membership.Member]:
        """Return the entries that use the engine on this VM.

        They are selected again when the lists from the store change.
        """
        if self._selected is None:
            self._selected = self._select_entries()
        return self._selected

    def reselect_entries(self) -> None:
        """Select the entries anew, as entries or endpoints have changed."""
        self._selected = None

    def group_members(self, group: str) -> dict[int, roster.Registration]:
        """Return the registrations of a group's engines by rank.

        Of two engines with the same rank, the one that started last counts.
        """
        members: dict[int, roster.Registration] = {}
        for registration in self.endpoints.values():
            membership = registration.membership
            if membership is not None and membership.group == group:
                known = members.setdefault(membership.rank, registration)
                members[membership.rank] = max(
                    registration, known, key=_born_ms
                )
        return members

    def profile(self) -> catalogue.EngineProfile | None:
        """Return the profile of the engine on this VM, or None if unknown."""
        own_service = self.services.get(self.settings.service)
        return own_service.engine if own_service else None

    def _select_entries(self) -> list[membership.Member]:
        own = self.own_registration()
        if own is None:
            return []
        slot_count = sum(row.slots for row in self.endpoints.values())
        serving = subsetting.serving_entries(self.members.values(), slot_count)
        peer_count = sum(
            row.service == own.service for row in self.endpoints.values()
        )
        names = subsetting.selected_entries(
            own.endpoint, [member.name for member in serving], peer_count
        )
        return [self.members[name] for name in names]


def _born_ms(registration: roster.Registration) -> int:
    return registration.born_ms
