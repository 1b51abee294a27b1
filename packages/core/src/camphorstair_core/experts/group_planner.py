"""Plans the map of a rank group from the counts that its ranks report."""

import itertools

import attrs

from camphorstair_core.experts import even_maps, smoothing

# Experts of a set that a rank may have to copy for one plan.
NEW_EXPERTS = 1
# Least fall of the mean skew for which a map is changed.
LEAST_GAIN = 0.3
# Counts of an interval below this say too little.
LEAST_COUNT = 400

Sets = tuple[even_maps.Held, ...]
Counts = tuple[tuple[int, ...], ...]


@attrs.define(eq=False)
class GroupPlanner:
    """What a planner knows of a group.

    :ivar places: Most experts of a set at one rank.
    :ivar spare: Experts of a set that a rank may copy at most.
    :ivar loads: Estimated load of the experts of each set.
    :ivar last: Last counts of each rank.
    """

    places: int
    spare: int
    loads: list[smoothing.SmoothedLoad] = attrs.field(factory=list)
    last: dict[int, Counts] = attrs.field(factory=dict)

    def note(self, counts: dict[int, Counts]) -> None:
        """Take over the counts of all ranks since their starts."""
        set_count = min((len(one) for one in counts.values()), default=0)
        if not self.loads:
            self.loads = [smoothing.SmoothedLoad() for _ in range(set_count)]
        for index, smoothed in enumerate(self.loads[:set_count]):
            grown = self._grown(counts, index)
            if sum(grown) >= LEAST_COUNT:
                smoothing.note_counts(smoothed, grown)
        self.last = counts

    def skew(self, sets: Sets, paces: even_maps.Loads = ()) -> float:
        """Return the mean skew of a map under the estimated load.

        :param paces: How much slower than usual each rank is; empty if none.
        """
        if not self._known(sets):
            return 1.0
        found = [
            even_maps.skew(held, smoothed.shares, paces)
            for held, smoothed in zip(sets, self.loads, strict=True)
        ]
        return sum(found) / len(found)

    def plan(self, sets: Sets, paces: even_maps.Loads = ()) -> Sets | None:
        """Return a map that is worth its copies, or None.

        :param sets: The map in use.
        :param paces: How much slower than usual each rank is; empty if none.
        """
        if not self._known(sets):
            return None
        limits = even_maps.SetLimits(self.places, min(self.spare, NEW_EXPERTS))
        planned = tuple(
            even_maps.plan_set(held, smoothed.shares, limits, paces)
            for held, smoothed in zip(sets, self.loads, strict=True)
        )
        if self.skew(sets, paces) - self.skew(planned, paces) < LEAST_GAIN:
            return None
        return planned

    def _grown(self, counts: dict[int, Counts], index: int) -> list[int]:
        """Return the counts of a set since the last ones, over all ranks."""
        size = max(len(one[index]) for one in counts.values())
        grown = list(itertools.repeat(0, size))
        for rank, now in counts.items():
            before = self.last.get(rank)
            if before is None or sum(before[index]) > sum(now[index]):
                continue
            for expert, count in enumerate(now[index]):
                grown[expert] += max(0, count - before[index][expert])
        return grown

    def _known(self, sets: Sets) -> bool:
        if not sets or len(sets) != len(self.loads):
            return False
        return all(one.shares for one in self.loads)
