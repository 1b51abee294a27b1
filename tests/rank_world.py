"""In-memory model of a rank group that follows the platform's protocol.

An order may be carried out late or twice. A forward pass can begin whenever
the group has work.
"""

import attrs

from camphorstair_core.experts import group_orders


@attrs.define
class Rank:
    """State of one rank.

    :ivar version: Version of the expert map in use.
    :ivar prepared: Version whose experts are all copied; 0 if none.
    :ivar highest_version: Highest version that the rank accepted for
        preparation.
    :ivar copying_version: Version whose experts are being copied; 0 if none.
    :ivar armed: Version to activate and the pass that activates it; zeros if
        none.
    :ivar held_pass: Pass that the rank does not begin; None if none.
    """

    version: int = 0
    prepared: int = 0
    highest_version: int = 0
    copying_version: int = 0
    armed: tuple[int, int] = (0, 0)
    held_pass: int | None = None


@attrs.define
class World:
    """A rank group and its delayed orders.

    :ivar ranks: Ranks by number.
    :ivar step: Number of the last pass that began.
    :ivar working: Whether the group has work, so that passes can begin.
    :ivar delayed_orders: Orders that are carried out later.
    :ivar mixed_maps: Whether a pass began while ranks used different maps.
    """

    ranks: list[Rank]
    step: int = 0
    working: bool = True
    delayed_orders: list[group_orders.Order] = attrs.field(factory=list)
    mixed_maps: bool = False

    def reports(self) -> group_orders.Reports:
        """Return the report of each rank by its number."""
        return {
            number: self.report(number) for number in range(len(self.ranks))
        }

    def report(self, number: int) -> group_orders.RankReport:
        """Return the report of one rank."""
        rank = self.ranks[number]
        return group_orders.RankReport(
            1,
            self.step,
            rank.version,
            rank.prepared,
            rank.armed[0],
            rank.armed[1],
            rank.held_pass,
        )

    def carry_out(self, order: group_orders.Order) -> None:
        """Carry out an order; ignore it if the rank's state forbids it."""
        kind = group_orders.OrderKind
        actions = {
            kind.prepare: self._prepare,
            kind.hold: self._hold,
            kind.arm: self._arm,
            kind.disarm: self._disarm,
            kind.go: self._go,
        }
        actions[order.kind](self.ranks[order.rank], order)

    def copy_ends(self, number: int) -> None:
        """Complete a rank's copy, which makes its version the prepared one."""
        rank = self.ranks[number]
        if rank.copying_version:
            rank.prepared = rank.copying_version
            rank.copying_version = 0

    def begin_pass(self) -> None:
        """Begin the next pass unless the group is idle or the pass is held.

        Ranks that are armed for this pass activate their prepared version.
        """
        next_step = self.step + 1
        if not self.working or any(
            member.held_pass == next_step for member in self.ranks
        ):
            return
        self.step = next_step
        for rank in self.ranks:
            if rank.armed[1] == next_step:
                rank.version = rank.armed[0]
                rank.prepared = 0
                rank.armed = (0, 0)
        if len({member.version for member in self.ranks}) > 1:
            self.mixed_maps = True

    def _prepare(self, rank: Rank, order: group_orders.Order) -> None:
        if order.version > rank.highest_version and not rank.armed[0]:
            rank.highest_version = order.version
            rank.copying_version = order.version
            rank.prepared = 0

    def _hold(self, rank: Rank, order: group_orders.Order) -> None:
        if order.step > self.step and rank.held_pass is None:
            rank.held_pass = order.step

    def _arm(self, rank: Rank, order: group_orders.Order) -> None:
        if order.version == rank.prepared and order.step > self.step:
            rank.armed = (order.version, order.step)

    def _disarm(self, rank: Rank, order: group_orders.Order) -> None:
        if order.version == rank.armed[0]:
            rank.armed = (0, 0)

    def _go(self, rank: Rank, order: group_orders.Order) -> None:
        if rank.held_pass == order.step:
            rank.held_pass = None
