"""Plans the map of a rank group from the counts that its ranks report."""

from collections import abc

import attrs

from camphorstair_core.experts import count_increases, even_maps, smoothing

# Maximum number of experts of a set that a rank has to copy for one plan.
MAX_NEW_EXPERTS = 1
# Minimum decrease of the mean skew that justifies a new map.
MIN_GAIN = 0.3
# An interval with fewer counts than this is too noisy to update the estimate.
MIN_COUNT = 400

Sets = tuple[even_maps.RankExperts, ...]


@attrs.define(eq=False)
class GroupPlanner:
    """The load estimate of a rank group, and the limits on its plans.

    :ivar places: Maximum number of experts of a set at one rank.
    :ivar spare: Maximum number of experts of a set that a rank may copy.
    :ivar loads: Estimated loads of the experts, by set.
    """

    places: int
    spare: int
    loads: list[smoothing.SmoothedLoad] = attrs.field(factory=list)

    def note(self, increase: count_increases.Counts) -> None:
        """Update the estimate from the recent choices of the group.

        :param increase: For each set, how often each expert was chosen since
            the last call.
        """
        if not self.loads:
            self.loads = [smoothing.SmoothedLoad() for _ in increase]
        for smoothed, counts in zip(self.loads, increase, strict=False):
            if sum(counts) >= MIN_COUNT:
                smoothing.update_estimate(smoothed, list(counts))

    def skew(self, sets: Sets, paces: even_maps.Loads = ()) -> float:
        """Return the mean skew of a map's sets under the estimated load.

        :param sets: The map.
        :param paces: Slowdown factor of each rank; empty if all have their
            usual speed.
        :returns: 1 as long as the load of the map is not known.
        """
        if not self._load_known(sets):
            return 1.0
        skews = [
            even_maps.skew(held, smoothed.shares, paces)
            for held, smoothed in zip(sets, self.loads, strict=True)
        ]
        return sum(skews) / len(skews)

    def plan(self, sets: Sets, paces: even_maps.Loads = ()) -> Sets | None:
        """Return a map whose gain justifies its copies, or None.

        :param sets: The map in use.
        :param paces: Slowdown factor of each rank; empty if all have their
            usual speed.
        """
        return even_maps.finish(self.plan_steps(sets, paces))

    def plan_steps(
        self, sets: Sets, paces: even_maps.Loads = ()
    ) -> abc.Generator[None, None, Sets | None]:
        """Plan in short steps, between which the caller can do other work.

        :param sets: The map in use.
        :param paces: Slowdown factor of each rank; empty if all have their
            usual speed.
        :returns: A map whose gain justifies its copies, or None.
        """
        if not self._load_known(sets):
            return None
        limits = even_maps.SetLimits(
            self.places, min(self.spare, MAX_NEW_EXPERTS)
        )
        planned = []
        loads = [list(smoothed.shares) for smoothed in self.loads]
        for held, shares in zip(sets, loads, strict=True):
            planned_set = yield from even_maps.plan_steps(
                held, shares, limits, paces
            )
            planned.append(planned_set)
        planned_sets = tuple(planned)
        if self.skew(sets, paces) - self.skew(planned_sets, paces) < MIN_GAIN:
            return None
        return planned_sets

    def _load_known(self, sets: Sets) -> bool:
        if not sets or len(sets) != len(self.loads):
            return False
        return all(smoothed.shares for smoothed in self.loads)
