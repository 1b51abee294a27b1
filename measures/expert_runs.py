"""Runs planners over the seeded day."""

import functools
import gc
import time
from collections import abc
from concurrent import futures

import attrs
import numpy as np

from camphorstair_core.experts import maps, planner, smoothing
from measures import expert_day, full_replan

EXPERT_BYTES = 44_000_000
BUDGET_BYTES = 8 * EXPERT_BYTES
RANKS_PER_VM = 8
WORKERS = 6
BOUND_INTERVALS = 60
STEPS_PER_CHANGE = 1
"""Steps lost to a change: weights load beside the steps, a switch waits one."""
MS_IN_S = 1000


@attrs.define(frozen=True)
class Planning:
    """One planner under test.

    :ivar observe: Takes the token counts of an interval.
    :ivar plan: Returns the map to use after the current one.
    :ivar level: Returns a map with other shares, to use while weights load;
        None if loading is granted to take no time.
    """

    observe: abc.Callable[[list[int]], None]
    plan: abc.Callable[[maps.ExpertMap], maps.ExpertMap]
    level: abc.Callable[[maps.ExpertMap], maps.ExpertMap] | None = None


@attrs.define
class DayRun:
    """What a planner did over the day.

    :ivar skews: Skew in each interval, under the true popularity.
    :ivar moved: Replicas loaded.
    :ivar changes: Changes of the map.
    :ivar plan_ms: Processor time of each planning, which leaves out what the
        machine spends on other processes.
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
def run_all(seed: int) -> dict[expert_day.Case, CaseRuns]:
    """Run all planners over the day of every case, a process for each."""
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        pending = {
            case: [
                pool.submit(run, case, seed, planning) for planning in PLANNINGS
            ]
            for case in reversed(expert_day.CASES)
        }
        bounds = {case: _mean_bound(case, seed) for case in expert_day.CASES}
        return {
            case: CaseRuns(
                pending[case][0].result(),
                pending[case][1].result(),
                pending[case][2].result(),
                bounds[case],
            )
            for case in expert_day.CASES
        }


def run(
    case: expert_day.Case,
    seed: int,
    planning: abc.Callable[[maps.Topology], Planning],
) -> DayRun:
    """Run one planner over the day of a case."""
    rows = expert_day.popularity(case, seed)
    counts = expert_day.counts(rows, seed).tolist()
    ranks = topology(case)
    return run_day(rows, counts, ranks, planning(ranks))


def _mean_bound(case: expert_day.Case, seed: int) -> float:
    rows = expert_day.popularity(case, seed)[::BOUND_INTERVALS].tolist()
    ranks = topology(case)
    bounds = [full_replan.lower_bound(row, ranks) for row in rows]
    return sum(bounds) / len(bounds)


def run_day(
    rows: np.ndarray,
    counts: list[list[int]],
    ranks: maps.Topology,
    planning: Planning,
) -> DayRun:
    """Run one planner over a day.

    Counts of an interval reach the planner at its end. A change of shares is
    in force in the next interval; a change that loads weights one interval
    later, with shares for the load of then.

    :param rows: True popularity of each interval.
    :param counts: Token counts of each interval.
    :param ranks: The ranks.
    :param planning: The planner.
    """
    done = DayRun()
    current = maps.contiguous(rows.shape[1], ranks)
    staged = None
    days = list(zip(rows.tolist(), counts, strict=True))
    gc.freeze()  # The day itself is not the planner's to collect.
    for row, counted in days:
        done.skews.append(maps.skew(current, row))
        planning.observe(counted)
        before = current
        if staged is not None and planning.level is not None:
            current, staged = planning.level(staged), None
        else:
            current, staged = _plan(done, current, planning)
        done.changes += current != before
    return done


def _plan(
    done: DayRun,
    current: maps.ExpertMap,
    planning: Planning,
) -> tuple[maps.ExpertMap, maps.ExpertMap | None]:
    """Return the map for the next interval, and one whose weights load."""
    start_s = time.process_time()
    planned = planning.plan(current)
    done.plan_ms.append((time.process_time() - start_s) * MS_IN_S)
    loaded = len(maps.added(current, planned))
    done.moved += loaded
    if loaded and planning.level is not None:
        return planning.level(current), planned
    return planned, None


def planned(ranks: maps.Topology) -> Planning:
    """Return the planner of the product."""
    smoothed = smoothing.SmoothedLoad()
    limits = planner.Limits(BUDGET_BYTES, EXPERT_BYTES)
    policy = planner.Policy()

    def observe(counted: list[int]) -> None:
        smoothing.update_estimate(smoothed, counted)

    def plan(current: maps.ExpertMap) -> maps.ExpertMap:
        loads = smoothed.shares
        return planner.plan(current, loads, ranks, limits, policy).expert_map

    def level(current: maps.ExpertMap) -> maps.ExpertMap:
        loads = smoothed.shares
        return planner.level_shares(current, loads, ranks, policy).expert_map

    return Planning(observe, plan, level)


def replanned(ranks: maps.Topology) -> Planning:
    """Return the full replan; its loads are granted to take no time."""
    seen: list[list[int]] = []

    def plan(_: maps.ExpertMap) -> maps.ExpertMap:
        return full_replan.plan([float(count) for count in seen[-1]], ranks)

    return Planning(seen.append, plan)


def static(_: maps.Topology) -> Planning:
    """Return the planner that never acts."""
    return Planning(lambda _: None, lambda current: current)


PLANNINGS = (planned, replanned, static)
