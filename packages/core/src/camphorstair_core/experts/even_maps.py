"""Plans expert maps of engines that share an expert's tokens evenly.

A pass lasts, set by set, as long as the most loaded rank's part, where a slow
rank's part counts for its pace. A set's planner makes one change after another,
always the one that lowers the times of the busiest ranks most: a further replica
of an expert, or an exchange of two experts between ranks. A new expert has to be
copied to its rank, so a plan adds only a few to each.
"""

import collections as containers
import itertools
from collections import abc

import attrs

# High powers of the ranks' loads follow the busiest rank.
_POWER = 8
_EXPERTS_TRIED = 4
_RANKS_TRIED = 5
# Least gain of a change, as a share of the busiest rank's power: 0.6 takes a tenth
# off that rank's time.
_LEAST_GAIN = 0.6
# Time of the slowest rank, over the mean, that is not worth a copy.
_EVEN_ENOUGH = 1.7
# A slow rank gives its experts away one by one, and each gains less.
_LEAST_GAIN_BESIDE_SLOW = 0.3
_SLOW_FACTOR = 1.4

Held = tuple[tuple[int, ...], ...]
Loads = abc.Sequence[float]


@attrs.frozen
class SetLimits:
    """What a plan of one set may do.

    :ivar places: Most experts at one rank.
    :ivar new: Most experts that a rank may have to copy.
    """

    places: int
    new: int


@attrs.define
class _Draft:
    """A map of one set in the making.

    :ivar held: Experts of each rank.
    :ivar holders: Ranks of each expert.
    :ivar loads: Load of each expert; the mean of a rank is 1.
    :ivar paces: How much slower than usual each rank is.
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
        """Return how many experts a rank would have to copy."""
        return len(self.held[rank] - self.original[rank])

    def least_gain(self) -> float:
        """Return the least gain, as a share of the busiest rank's power."""
        if max(self.paces) > _SLOW_FACTOR * min(self.paces):
            return _LEAST_GAIN_BESIDE_SLOW
        return _LEAST_GAIN

    def time(self, expert: int, rank: int, copies: int) -> float:
        """Return the time that a rank takes for its part of an expert."""
        return self.loads[expert] / copies * self.paces[rank]


@attrs.frozen
class _Change:
    """Experts added to ranks and removed from ranks, as (expert, rank)."""

    added: tuple[tuple[int, int], ...]
    removed: tuple[tuple[int, int], ...] = ()


def initial(experts: int, ranks: int) -> Held:
    """Return the map that assigns experts in turn."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


def rank_loads(held: Held, loads: Loads) -> list[float]:
    """Return the load of each rank in the unit of the experts' loads."""
    copies = containers.Counter(itertools.chain.from_iterable(held))
    return [
        sum(loads[one] / copies[one] for one in experts) for experts in held
    ]


def skew(held: Held, loads: Loads, paces: Loads = ()) -> float:
    """Return the time of the slowest rank over the mean at the usual pace.

    :param held: Experts of each rank.
    :param loads: Load of each expert in any unit.
    :param paces: How much slower than usual each rank is; empty if none is.
    :returns: 1 for even loads of ranks at their usual pace.
    """
    by_rank = rank_loads(held, loads)
    total = sum(by_rank)
    times = _times(by_rank, paces)
    return max(times) * len(by_rank) / total if total else 1.0


def plan_set(
    held: Held,
    loads: Loads,
    limits: SetLimits,
    paces: Loads = (),
) -> Held:
    """Return a map of one set by which the ranks take more even times.

    :param held: Experts of each rank now.
    :param loads: Load of each expert in any unit.
    :param limits: What may be done.
    :param paces: How much slower than usual each rank is; empty if none is.
    """
    draft = _draft(held, loads, paces)
    while True:
        change = _best_change(draft, limits)
        if change is None:
            return tuple(tuple(sorted(one)) for one in draft.held)
        _apply(draft, change)


def _times(by_rank: list[float], paces: Loads) -> list[float]:
    if not paces:
        return by_rank
    return [load * pace for load, pace in zip(by_rank, paces, strict=True)]


def _draft(held: Held, loads: Loads, paces: Loads) -> _Draft:
    unit = sum(loads) / len(held) or 1.0
    scaled = [load / unit for load in loads]
    holders: list[set[int]] = [set() for _ in loads]
    for rank, experts in enumerate(held):
        for expert in experts:
            holders[expert].add(rank)
    return _Draft(
        [set(one) for one in held],
        holders,
        scaled,
        paces or list(itertools.repeat(1.0, len(held))),
        _times(rank_loads(held, scaled), paces),
        [frozenset(one) for one in held],
    )


def _best_change(draft: _Draft, limits: SetLimits) -> _Change | None:
    if max(draft.by_rank) <= _EVEN_ENOUGH:
        return None
    now = sum(load**_POWER for load in draft.by_rank)
    # Where several ranks are as busy, a change helps one of them only.
    least = now - draft.least_gain() * max(draft.by_rank) ** _POWER
    best = None
    for change in _changes(draft, limits):
        value = _value_after(draft, change)
        if value < least:
            least, best = value, change
    return best


def _changes(draft: _Draft, limits: SetLimits) -> abc.Iterator[_Change]:
    ranks = sorted(range(len(draft.held)), key=draft.by_rank.__getitem__)
    busiest = ranks[-1]
    hot = _by_part(draft, busiest)[-_EXPERTS_TRIED:]
    open_ranks = [one for one in ranks if draft.new_count(one) < limits.new]
    for rank in open_ranks[:_RANKS_TRIED]:
        for expert in hot:
            if rank not in draft.holders[expert]:
                yield from _additions(draft, limits, expert, rank, busiest)


def _additions(
    draft: _Draft,
    limits: SetLimits,
    expert: int,
    rank: int,
    busiest: int,
) -> abc.Iterator[_Change]:
    """Yield the ways to put an expert of the busiest rank on another."""
    here = (expert, rank)
    there = (expert, busiest)
    if len(draft.held[rank]) < limits.places:
        yield _Change((here,))
        yield _Change((here,), (there,))
    ordered = _by_part(draft, rank)
    for other in ordered:
        if len(draft.holders[other]) > 1:
            yield _Change((here,), ((other, rank),))
            break
    if draft.new_count(busiest) >= limits.new:
        return
    for cold in ordered[:_EXPERTS_TRIED]:
        if busiest not in draft.holders[cold]:
            yield _Change((here, (cold, busiest)), (there, (cold, rank)))


def _by_part(draft: _Draft, rank: int) -> list[int]:
    """Return the experts of a rank, the least loaded replica first."""

    def part(expert: int) -> float:
        return draft.loads[expert] / len(draft.holders[expert])

    return sorted(draft.held[rank], key=part)


def _value_after(draft: _Draft, change: _Change) -> float:
    by_rank = draft.by_rank.copy()
    changed = {one for one, _rank in change.added + change.removed}
    for expert in changed:
        before = draft.holders[expert]
        after = _holders_after(draft, change, expert)
        for rank in before:
            by_rank[rank] -= draft.time(expert, rank, len(before))
        for rank in after:
            by_rank[rank] += draft.time(expert, rank, len(after))
    return sum(max(load, 0) ** _POWER for load in by_rank)


def _holders_after(draft: _Draft, change: _Change, expert: int) -> set[int]:
    added = {rank for one, rank in change.added if one == expert}
    removed = {rank for one, rank in change.removed if one == expert}
    return (draft.holders[expert] | added) - removed


def _apply(draft: _Draft, change: _Change) -> None:
    for expert, rank in change.added:
        draft.held[rank].add(expert)
        draft.holders[expert].add(rank)
    for removed, rank in change.removed:
        draft.held[rank].remove(removed)
        draft.holders[removed].remove(rank)
    scaled = tuple(tuple(one) for one in draft.held)
    draft.by_rank = _times(rank_loads(scaled, draft.loads), draft.paces)
