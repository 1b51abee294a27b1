"""What an agent of the fleet knows."""

import attrs

from camphorstair_agent.fleet import instruments
from camphorstair_core.fleet import catalogue, membership, roster
from camphorstair_platform import boot, engines


@attrs.define(eq=False)
class FleetAgent:
    """The state of an agent.

    :ivar settings: What the platform told the process.
    :ivar meters: Its counters and histograms.
    :ivar endpoints: The registered endpoints.
    :ivar members: The entries that serve.
    :ivar services: The services of the configuration by name.
    :ivar planners: Name of the VM that plans for each rank group.
    :ivar report: The last report of its engine; None while it is silent.
    """

    settings: boot.BootSettings
    meters: instruments.Instruments
    endpoints: dict[str, roster.Registration] = attrs.field(factory=dict)
    members: dict[str, membership.Member] = attrs.field(factory=dict)
    services: dict[str, catalogue.Service] = attrs.field(factory=dict)
    planners: dict[str, str] = attrs.field(factory=dict)
    report: engines.EngineReport | None = None

    def own_registration(self) -> roster.Registration | None:
        """Return the registration of the engine on this VM."""
        for one in self.endpoints.values():
            if one.address == self.settings.engine_address:
                return one
        return None

    def group_members(self, group: str) -> dict[int, roster.Registration]:
        """Return the registered ranks of a group."""
        return {
            one.membership.rank: one
            for one in self.endpoints.values()
            if one.membership is not None and one.membership.group == group
        }

    def profile(self) -> catalogue.EngineProfile | None:
        """Return the costs of the engine on this VM."""
        found = self.services.get(self.settings.service)
        return found.engine if found else None
