"""A rank group whose engine crashes under orders, for tests of its planner."""

import attrs
import curio

from camphorstair_agent.fleet import map_planning, rank_calls, state
from camphorstair_core.experts import group_orders
from camphorstair_core.fleet import roster
from camphorstair_fleet import internal_messages
from camphorstair_standins import loopback

GROUP = 'g'
SIZE = 2
# The reply takes longer than the shortened incidents of the tests.
REPLY_S = 0.1


def registration(rank: int, address: str, born_ms: int) -> roster.Registration:
    """Return the registration of a rank of the group."""
    return roster.Registration(
        f'i-{rank}',
        'engine',
        address,
        'levis-nord',
        roster.EndpointState.ready,
        4,
        0,
        born_ms,
        roster.GroupMembership(GROUP, 1, rank, SIZE, is_open=True),
    )


@attrs.define(eq=False)
class CrashingGroup:
    """A group whose first rank ends under each order to prepare a map.

    :ivar agent: The planner's agent, which knows the ranks.
    :ivar epoch: Number of its formations.
    :ivar ended: Whether the first rank has ended and not started again.
    :ivar prepares: Number of orders to prepare that it has had.
    """

    agent: state.FleetAgent
    epoch: int = 1
    ended: bool = False
    prepares: int = 0

    async def states(self, ranks: rank_calls.Ranks) -> rank_calls.States:
        """Return the states of the ranks; the group forms again meanwhile."""
        await curio.sleep(REPLY_S)
        found = {
            rank: internal_messages.RankState(
                group_orders.RankReport(self.epoch, 1, 0, 0)
            )
            for rank in ranks
            if rank or not self.ended
        }
        if self.ended:
            self.ended = False
            self.epoch += 1
            self.register()
        return found

    def register(self) -> None:
        """Register the ranks' engines anew."""
        for rank in range(SIZE):
            address = loopback.free_address()
            row = registration(rank, address, self.epoch)
            self.agent.endpoints[row.endpoint] = row

    async def prepare(
        self, orders: rank_calls.Orders, *_details: object
    ) -> set[int]:
        """Send the order; nobody answers."""
        self.prepares += 1
        self.ended = True
        return set()


@attrs.define(eq=False)
class EagerPlanner:
    """Plans another map whenever it is asked.

    :ivar epoch: The group's formation.
    :ivar in_use: The map in use.
    :ivar planned: Number of maps planned.
    """

    epoch: int = 1
    in_use: map_planning.MapPlan | None = None
    planned: int = 0

    async def plan(self, *_known: object) -> map_planning.MapPlan:
        """Return a new map."""
        self.planned += 1
        return map_planning.MapPlan(self.planned, ())


@attrs.frozen
class Held:
    """A planner lease that is held."""

    def held(self) -> bool:
        """Return whether it is held."""
        return True
