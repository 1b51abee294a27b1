"""Plans expert maps for engines that split tokens evenly among replicas.

In each set of experts, a pass takes as long as its slowest rank: the rank's
load multiplied by its slowdown factor. The planner is greedy. It makes one
change after another, always the change that lowers the times of the busiest
ranks most: an additional replica of an expert, or an exchange of two experts
between ranks. Each new expert has to be copied to its rank, so a plan adds only
a few experts to a rank.
"""

import collections as containers
import itertools
import typing
from collections import abc

import attrs

# The objective is the sum of the rank times to this power: a high power makes
# the busiest rank dominate the sum.
_OBJECTIVE_POWER = 8
_MAX_EXPERTS_TRIED = 4
_MAX_RANKS_TRIED = 5
# Minimum gain of a change, as a fraction of the busiest rank's term of the
# objective: 0.6 takes about a tenth off that rank's time.
_MIN_GAIN = 0.6
# Up to this ratio of the slowest rank's time to the mean, no copy is worth its
# cost.
_ACCEPTED_SKEW = 1.7
# A slow rank hands over its experts one at a time, and each change gains less.
_MIN_GAIN_BESIDE_SLOW = 0.3
_SLOW_FACTOR = 1.4

Planned = typing.TypeVar('Planned')
RankExperts = tuple[tuple[int, ...], ...]
Loads = abc.Sequence[float]


@attrs.frozen
class SetLimits:
    """Limits on the plan of one set.

    :ivar places: Maximum number of experts at one rank.
    :ivar new: Maximum number of experts that a rank may have to copy.
    """

    places: int
    new: int


@attrs.define
class _Draft:
    """A map of one set that is being planned.

    :ivar held: Experts of each rank.
    :ivar holders: Ranks of each expert.
    :ivar loads: Load of each expert, scaled so that the mean load of a rank
        is 1.
    :ivar paces: Slowdown factor of each rank; 1 is its usual speed.
    :ivar by_rank: Time that each rank takes for its load.
    :ivar original: Experts of each rank before the plan.
    """

    held: list[set[int]]
    holders: list[set[int]]
    loads: list[float]
    paces: Loads
    by_rank: list[float]
    original: list[frozenset[int]]

    def new_count(self, rank: int) -> int:
        """Return how many experts a rank has to copy for this draft."""
        return len(self.held[rank] - self.original[rank])

    def min_gain(self) -> float:
        """Return the minimum gain of a change.

        :returns: A fraction of the busiest rank's term of the objective.
        """
        if max(self.paces) > _SLOW_FACTOR * min(self.paces):
            return _MIN_GAIN_BESIDE_SLOW
        return _MIN_GAIN

    def time(self, expert: int, rank: int, copies: int) -> float:
        """Return the time that a rank takes for its replica of an expert.

        :param expert: The expert.
        :param rank: The rank that holds the replica.
        :param copies: Number of replicas that share the expert's load.
        """
        return self.loads[expert] / copies * self.paces[rank]


@attrs.frozen
class _Change:
    """A change of a draft.

    :ivar added: Replicas to add, as pairs of expert and rank.
    :ivar removed: Replicas to remove, as pairs of expert and rank.
    """

    added: tuple[tuple[int, int], ...]
    removed: tuple[tuple[int, int], ...] = ()


def round_robin(experts: int, ranks: int) -> RankExperts:
    """Return the map that assigns experts to ranks in round-robin order."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


def rank_loads(held: RankExperts, loads: Loads) -> list[float]:
    """Return the load of each rank, in the unit of the experts' loads."""
    copies = containers.Counter(itertools.chain.from_iterable(held))
    return [
        sum(loads[expert] / copies[expert] for expert in experts)
        for experts in held
    ]


def skew(held: RankExperts, loads: Loads, paces: Loads = ()) -> float:
    """Return the ratio of the slowest rank's time to the mean time.

    The mean is that of all ranks at their usual speed.

    :param held: Experts of each rank.
    :param loads: Load of each expert in any unit.
    :param paces: Slowdown factor of each rank; empty if all have their usual
        speed.
    :returns: 1 for even loads and ranks at their usual speed, and without any
        load.
    """
    by_rank = rank_loads(held, loads)
    total = sum(by_rank)
    times = _times(by_rank, paces)
    return max(times) * len(by_rank) / total if total else 1.0


def plan_set(
    held: RankExperts,
    loads: Loads,
    limits: SetLimits,
    paces: Loads = (),
) -> RankExperts:
    """Return a map of one set that evens out the times of the ranks.

    :param held: Experts of each rank now.
    :param loads: Load of each expert in any unit.
    :param limits: Limits on the plan.
    :param paces: Slowdown factor of each rank; empty if all have their usual
        speed.
    :returns: The map; equal to the current one if no change is worth its cost.
    """
    return finish(plan_steps(held, loads, limits, paces))


def finish(steps: abc.Generator[None, None, Planned]) -> Planned:
    """Do all steps of a plan and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def plan_steps(
    held: RankExperts,
    loads: Loads,
    limits: SetLimits,
    paces: Loads = (),
) -> abc.Generator[None, None, RankExperts]:
    """Do the same as :func:`plan_set`, with a pause after each change."""
    draft = _draft(held, loads, paces)
    while True:
        change = _best_change(draft, limits)
        if change is None:
            return tuple(tuple(sorted(experts)) for experts in draft.held)
        _apply(draft, change)
        yield


def _times(by_rank: list[float], paces: Loads) -> list[float]:
    if not paces:
        return by_rank
    return [load * pace for load, pace in zip(by_rank, paces, strict=True)]


def _draft(held: RankExperts, loads: Loads, paces: Loads) -> _Draft:
    unit = sum(loads) / len(held) or 1.0
    scaled = [load / unit for load in loads]
    holders: list[set[int]] = [set() for _ in loads]
    for rank, experts in enumerate(held):
        for expert in experts:
            holders[expert].add(rank)
    return _Draft(
        [set(rank_experts) for rank_experts in held],
        holders,
        scaled,
        paces or list(itertools.repeat(1.0, len(held))),
        _times(rank_loads(held, scaled), paces),
        [frozenset(rank_experts) for rank_experts in held],
    )


def _best_change(draft: _Draft, limits: SetLimits) -> _Change | None:
    if max(draft.by_rank) <= _ACCEPTED_SKEW:
        return None
    # Where several ranks are equally busy, a change helps only one of them. So
    # the required gain is relative to one rank's term, not to the whole sum.
    lowest = -draft.min_gain() * max(draft.by_rank) ** _OBJECTIVE_POWER
    best = None
    for change in _changes(draft, limits):
        difference = _objective_difference(draft, change)
        if difference < lowest:
            lowest, best = difference, change
    return best


def _changes(draft: _Draft, limits: SetLimits) -> abc.Iterator[_Change]:
    ranks = sorted(range(len(draft.held)), key=draft.by_rank.__getitem__)
    busiest = ranks[-1]
    hottest = _by_replica_load(draft, busiest)[-_MAX_EXPERTS_TRIED:]
    open_ranks = [rank for rank in ranks if draft.new_count(rank) < limits.new]
    for rank in open_ranks[:_MAX_RANKS_TRIED]:
        for expert in hottest:
            if rank not in draft.holders[expert]:
                yield from _additions(draft, limits, expert, rank, busiest)


def _additions(
    draft: _Draft,
    limits: SetLimits,
    expert: int,
    rank: int,
    busiest: int,
) -> abc.Iterator[_Change]:
    """Yield the changes that add an expert of the busiest rank to another rank.

    :param draft: The draft.
    :param limits: Limits on the plan.
    :param expert: The expert.
    :param rank: The rank that gets a replica of the expert.
    :param busiest: The busiest rank.
    """
    new_replica = (expert, rank)
    old_replica = (expert, busiest)
    if len(draft.held[rank]) < limits.places:
        yield _Change((new_replica,))
        yield _Change((new_replica,), (old_replica,))
    ordered = _by_replica_load(draft, rank)
    for held_expert in ordered:
        if len(draft.holders[held_expert]) > 1:
            yield _Change((new_replica,), ((held_expert, rank),))
            break
    if draft.new_count(busiest) >= limits.new:
        return
    for cold in ordered[:_MAX_EXPERTS_TRIED]:
        if busiest not in draft.holders[cold]:
            yield _Change(
                (new_replica, (cold, busiest)),
                (old_replica, (cold, rank)),
            )


def _by_replica_load(draft: _Draft, rank: int) -> list[int]:
    """Return the experts of a rank, sorted by the load of their replica."""

    def replica_load(expert: int) -> float:
        return draft.loads[expert] / len(draft.holders[expert])

    return sorted(draft.held[rank], key=replica_load)


def _objective_difference(draft: _Draft, change: _Change) -> float:
    """Return by how much a change raises the objective."""
    added_time = _added_times(draft, change)
    return sum(
        max(draft.by_rank[rank] + added, 0) ** _OBJECTIVE_POWER
        - draft.by_rank[rank] ** _OBJECTIVE_POWER
        for rank, added in added_time.items()
    )


def _added_times(draft: _Draft, change: _Change) -> dict[int, float]:
    """Return by how much a change raises the time of each rank it concerns."""
    added_time: dict[int, float] = containers.defaultdict(float)
    changed = {expert for expert, _rank in change.added + change.removed}
    for expert in changed:
        before = draft.holders[expert]
        after = _holders_after(draft, change, expert)
        for holder in before:
            added_time[holder] -= draft.time(expert, holder, len(before))
        for new_holder in after:
            added_time[new_holder] += draft.time(expert, new_holder, len(after))
    return added_time


def _holders_after(draft: _Draft, change: _Change, expert: int) -> set[int]:
    added = {
        rank
        for changed_expert, rank in change.added
        if changed_expert == expert
    }
    removed = {
        rank
        for changed_expert, rank in change.removed
        if changed_expert == expert
    }
    return (draft.holders[expert] | added) - removed


def _apply(draft: _Draft, change: _Change) -> None:
    for expert, rank in change.added:
        draft.held[rank].add(expert)
        draft.holders[expert].add(rank)
    for removed, rank in change.removed:
        draft.held[rank].remove(removed)
        draft.holders[removed].remove(rank)
    held = tuple(tuple(experts) for experts in draft.held)
    draft.by_rank = _times(rank_loads(held, draft.loads), draft.paces)
