"""A rank group as the platform's pages describe it, in memory.

Orders may be carried out late and twice; passes begin whenever the group has
work. ``mixed`` tells whether a pass began while two ranks had different maps.
"""

import attrs

from camphorstair_core.experts import group_orders


@attrs.define
class Rank:
    """One rank.

    :ivar highest: Highest version that it was ever told to prepare.
    :ivar copying: Version whose copy is not whole yet; 0 if none.
    """

    version: int = 0
    prepared: int = 0
    highest: int = 0
    copying: int = 0
    armed: tuple[int, int] = (0, 0)
    held: int | None = None


@attrs.define
class World:
    """A group with the orders that are on their way.

    :ivar ranks: The ranks.
    :ivar step: The last pass that began.
    :ivar working: Whether there is work for passes.
    :ivar late: Orders that will be carried out later.
    :ivar mixed: Whether a pass began on different maps.
    """

    ranks: list[Rank]
    step: int = 0
    working: bool = True
    late: list[group_orders.Order] = attrs.field(factory=list)
    mixed: bool = False

    def reports(self) -> group_orders.Reports:
        """Return the report of each rank."""
        return {
            number: self.report(number) for number in range(len(self.ranks))
        }

    def report(self, number: int) -> group_orders.RankReport:
        """Return the report of a rank."""
        rank = self.ranks[number]
        return group_orders.RankReport(
            1,
            self.step,
            rank.version,
            rank.prepared,
            rank.armed[0],
            rank.armed[1],
            rank.held,
        )

    def carry_out(self, order: group_orders.Order) -> None:
        """Carry an order out, or refuse it by the rank's state."""
        kind = group_orders.OrderKind
        actions = {
            kind.prepare: self._prepare,
            kind.hold: self._hold,
            kind.arm: self._arm,
            kind.go: self._go,
        }
        actions[order.kind](self.ranks[order.rank], order)

    def copy_ends(self, number: int) -> None:
        """Let a rank end its copy."""
        rank = self.ranks[number]
        if rank.copying:
            rank.prepared = rank.copying
            rank.copying = 0

    def begin_pass(self) -> None:
        """Begin the next pass unless the group is idle or held."""
        following = self.step + 1
        if not self.working or any(one.held == following for one in self.ranks):
            return
        self.step = following
        for rank in self.ranks:
            if rank.armed[1] == following:
                rank.version = rank.armed[0]
                rank.prepared = 0
                rank.armed = (0, 0)
        if len({one.version for one in self.ranks}) > 1:
            self.mixed = True

    def _prepare(self, rank: Rank, order: group_orders.Order) -> None:
        if order.version > rank.highest and not rank.armed[0]:
            rank.highest = order.version
            rank.copying = order.version
            rank.prepared = 0

    def _hold(self, rank: Rank, order: group_orders.Order) -> None:
        if order.step > self.step and rank.held is None:
            rank.held = order.step

    def _arm(self, rank: Rank, order: group_orders.Order) -> None:
        if order.version == rank.prepared and order.step > self.step:
            rank.armed = (order.version, order.step)

    def _go(self, rank: Rank, order: group_orders.Order) -> None:
        if rank.held == order.step:
            rank.held = None
