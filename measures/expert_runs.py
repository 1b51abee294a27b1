"""Runs planners over the seeded day."""

import functools
import time
from collections import abc

import attrs
import numpy as np

from camphorstair_core.experts import maps, planner, smoothing
from measures import expert_day, full_replan

EXPERT_BYTES = 44_000_000
BUDGET_BYTES = 8 * EXPERT_BYTES
RANKS_PER_VM = 8
STEPS_PER_CHANGE = 1
"""Steps lost to a change: weights load beside the steps, a switch waits one."""
MS_IN_S = 1000


@attrs.define(frozen=True)
class Planning:
    """One planner under test.

    :ivar observe: Takes the token counts of an interval.
    :ivar plan: Returns the map to use after the current one.
    :ivar staged: Whether loading weights takes an interval.
    """

    observe: abc.Callable[[list[int]], None]
    plan: abc.Callable[[maps.ExpertMap], maps.ExpertMap]
    staged: bool = True


@attrs.define
class DayRun:
    """What a planner did over the day.

    :ivar skews: Skew in each interval, under the true popularity.
    :ivar moved: Replicas loaded.
    :ivar changes: Changes of the map.
    :ivar plan_ms: Time of each planning.
    """

    skews: list[float] = attrs.field(factory=list)
    moved: int = 0
    changes: int = 0
    plan_ms: list[float] = attrs.field(factory=list)


@attrs.define(frozen=True)
class CaseRuns:
    """The runs of all planners over one case.

    :ivar bound: Mean of the lower bound over the day.
    """

    planned: DayRun
    replanned: DayRun
    static: DayRun
    bound: float


def topology(case: expert_day.Case) -> maps.Topology:
    """Return the ranks of a case: one spare slot each."""
    vms = tuple(f'vm-{rank // RANKS_PER_VM}' for rank in range(case.ranks))
    slots = case.experts // case.ranks + 1
    return maps.Topology(vms, ('larisa',) * case.ranks, slots)


@functools.cache
def run(case: expert_day.Case, seed: int) -> CaseRuns:
    """Run all planners over the day of a case."""
    rows = expert_day.popularity(case, seed)
    counts = expert_day.counts(rows, seed).tolist()
    ranks = topology(case)
    return CaseRuns(
        run_day(rows, counts, ranks, _planned(ranks)),
        run_day(rows, counts, ranks, _replanned(ranks)),
        run_day(rows, counts, ranks, _static()),
        float(
            np.mean(
                [full_replan.lower_bound(row, ranks) for row in rows[::20]]
            ),
        ),
    )


def run_day(
    rows: np.ndarray,
    counts: list[list[int]],
    ranks: maps.Topology,
    planning: Planning,
) -> DayRun:
    """Run one planner over a day.

    Counts of an interval reach the planner at its end. A change of shares is
    in force in the next interval; a change that loads weights one interval
    later, and the planner rests while they load.

    :param rows: True popularity of each interval.
    :param counts: Token counts of each interval.
    :param ranks: The ranks.
    :param planning: The planner.
    """
    done = DayRun()
    current = maps.contiguous(rows.shape[1], ranks)
    staged = None
    for row, counted in zip(rows.tolist(), counts, strict=True):
        done.skews.append(maps.skew(current, row))
        planning.observe(counted)
        if staged is not None:
            current, staged = staged, None
            continue
        planned = _plan(done, current, planning)
        if planning.staged and maps.added(current, planned):
            staged = planned
        else:
            current = planned
    return done


def _plan(
    done: DayRun,
    current: maps.ExpertMap,
    planning: Planning,
) -> maps.ExpertMap:
    start_s = time.perf_counter()
    planned = planning.plan(current)
    done.plan_ms.append((time.perf_counter() - start_s) * MS_IN_S)
    if planned != current:
        done.changes += 1
        done.moved += len(maps.added(current, planned))
    return planned


def _planned(ranks: maps.Topology) -> Planning:
    smoothed = smoothing.SmoothedLoad()
    limits = planner.Limits(BUDGET_BYTES, EXPERT_BYTES)
    policy = planner.Policy()

    def observe(counted: list[int]) -> None:
        smoothing.note_counts(smoothed, counted)

    def plan(current: maps.ExpertMap) -> maps.ExpertMap:
        loads = smoothed.shares
        return planner.plan(current, loads, ranks, limits, policy).expert_map

    return Planning(observe, plan)


def _replanned(ranks: maps.Topology) -> Planning:
    """Return the full replan; its loads are granted to take no time."""
    seen: list[list[int]] = []

    def plan(_: maps.ExpertMap) -> maps.ExpertMap:
        return full_replan.plan([float(count) for count in seen[-1]], ranks)

    return Planning(seen.append, plan, staged=False)


def _static() -> Planning:
    return Planning(lambda _: None, lambda current: current)
