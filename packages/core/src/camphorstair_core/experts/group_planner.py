"""Plans the map of a rank group from the counts that its ranks report."""

import itertools

import attrs

from camphorstair_core.experts import even_maps, smoothing

# Maximum number of experts of a set that a rank has to copy for one plan.
MAX_NEW_EXPERTS = 1
# Minimum decrease of the mean skew that justifies a new map.
MIN_GAIN = 0.3
# An interval with fewer counts than this is too noisy to update the estimate.
MIN_COUNT = 400

Sets = tuple[even_maps.RankExperts, ...]
Counts = tuple[tuple[int, ...], ...]


@attrs.define(eq=False)
class GroupPlanner:
    """The load estimate of a rank group, and the limits on its plans.

    :ivar places: Maximum number of experts of a set at one rank.
    :ivar spare: Maximum number of experts of a set that a rank may copy.
    :ivar loads: Estimated loads of the experts, by set.
    :ivar last: Last counts of each rank.
    """

    places: int
    spare: int
    loads: list[smoothing.SmoothedLoad] = attrs.field(factory=list)
    last: dict[int, Counts] = attrs.field(factory=dict)

    def note(self, counts: dict[int, Counts]) -> None:
        """Update the estimate from the counts of all ranks since their starts.

        :param counts: For each rank and set the token count of each expert.
        """
        set_count = min((len(sets) for sets in counts.values()), default=0)
        if not self.loads:
            self.loads = [smoothing.SmoothedLoad() for _ in range(set_count)]
        for index, smoothed in enumerate(self.loads[:set_count]):
            increase = self._increase(counts, index)
            if sum(increase) >= MIN_COUNT:
                smoothing.update_estimate(smoothed, increase)
        self.last = counts

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
        if not self._load_known(sets):
            return None
        limits = even_maps.SetLimits(
            self.places, min(self.spare, MAX_NEW_EXPERTS)
        )
        planned = tuple(
            even_maps.plan_set(held, smoothed.shares, limits, paces)
            for held, smoothed in zip(sets, self.loads, strict=True)
        )
        if self.skew(sets, paces) - self.skew(planned, paces) < MIN_GAIN:
            return None
        return planned

    def _increase(self, counts: dict[int, Counts], index: int) -> list[int]:
        """Return the increase of a set's counts since the last report.

        The increase is summed over the ranks. A rank whose counts are new or
        have decreased, as after a restart, is left out.
        """
        size = max(len(sets[index]) for sets in counts.values())
        increase = list(itertools.repeat(0, size))
        for rank, current in counts.items():
            before = self.last.get(rank)
            if before is None or sum(before[index]) > sum(current[index]):
                continue
            for expert, count in enumerate(current[index]):
                increase[expert] += max(0, count - before[index][expert])
        return increase

    def _load_known(self, sets: Sets) -> bool:
        if not sets or len(sets) != len(self.loads):
            return False
        return all(smoothed.shares for smoothed in self.loads)
