"""A process that reads the ranks of a group and orders what is due, for tests."""

import attrs
import rank_world

from camphorstair_core.experts import group_orders

SIZE = 3
HOLD_RANK = 1


@attrs.define
class Planner:
    """A process that polls ranks one by one and then sends orders.

    :ivar target_version: Version to bring into use; None for a rescuer, which
        only finishes or undoes the change of another planner.
    :ivar round_reports: Reports of the round in progress by rank.
    :ivar previous_holds: Held passes in the reports of the previous round,
        as pairs of rank and pass.
    :ivar unanswered_step: Step of its last order to hold without an answer.
    """

    target_version: int | None
    round_reports: group_orders.Reports = attrs.field(factory=dict)
    previous_holds: group_orders.Holds = frozenset()
    unanswered_step: int = 0

    def look(
        self, world: rank_world.World, margin: int = group_orders.STEP_MARGIN
    ) -> list[group_orders.Order]:
        """Read one more rank's report.

        :param margin: How many steps ahead a hold is ordered.
        :returns: The orders if this report completes a round, else none.
        """
        number = len(self.round_reports)
        self.round_reports[number] = world.report(number)
        if len(self.round_reports) < SIZE:
            return []
        reports = self.round_reports
        before = self.previous_holds
        self.round_reports = {}
        self.previous_holds = group_orders.holds(reports)
        if self.previous_holds:
            return group_orders.orders_while_held(reports, SIZE, before)
        if self.target_version is None:
            return []
        return group_orders.orders_before_hold(
            reports,
            SIZE,
            self.target_version,
            HOLD_RANK,
            margin,
            self.unanswered_step,
        )
