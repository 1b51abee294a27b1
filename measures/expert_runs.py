"""Run expert map planners over the simulated day."""

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
BOUND_SAMPLE_STEP = 60
STEPS_PER_CHANGE = 1
"""Steps lost to a change of the map.

Weights load in parallel with the steps; the switch to the new map takes one.
"""
MS_IN_S = 1000


@attrs.define(frozen=True)
class PlannerFunctions:
    """The functions of a planner under test.

    :ivar observe: Records the token counts of an interval.
    :ivar plan: Returns the map that replaces the current one.
    :ivar level: Returns the current map with adjusted shares, for use while
        weights load; None if loading is assumed to take no time.
    """

    observe: abc.Callable[[list[int]], None]
    plan: abc.Callable[[maps.ExpertMap], maps.ExpertMap]
    level: abc.Callable[[maps.ExpertMap], maps.ExpertMap] | None = None


@attrs.define
class DayRun:
    """Result of a planner over the day.

    :ivar skews: Skew of each interval under the true popularity: the ratio of
        the busiest rank's load to the mean load.
    :ivar moved: Number of replicas loaded.
    :ivar changes: Number of changes of the map.
    :ivar plan_ms: Processor time of each call of the planner. Processor time
        excludes the load of other processes on the machine.
    """

    skews: list[float] = attrs.field(factory=list)
    moved: int = 0
    changes: int = 0
    plan_ms: list[float] = attrs.field(factory=list)


@attrs.define(frozen=True)
class CaseRuns:
    """The results of all planners for one case.

    :ivar planned: Result of the production planner.
    :ivar replanned: Result of the full replan in each interval.
    :ivar static: Result of the initial map, never changed.
    :ivar bound: Mean over the day of the lower bound of the skew.
    """

    planned: DayRun
    replanned: DayRun
    static: DayRun
    bound: float


def topology(case: expert_day.Case) -> maps.Topology:
    """Return the topology of a case, with one spare slot on each rank."""
    vms = tuple(f'vm-{rank // RANKS_PER_VM}' for rank in range(case.ranks))
    slots = case.experts // case.ranks + 1
    return maps.Topology(vms, ('larisa',) * case.ranks, slots)


@functools.cache
def run_all(seed: int) -> dict[expert_day.Case, CaseRuns]:
    """Run all planners over the day of every case, in parallel processes.

    The results are cached, since several measures use them.

    :param seed: Seed of the popularity and of the counts.
    """
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        pending = {
            case: [
                pool.submit(run, case, seed, make_planner)
                for make_planner in PLANNERS
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
    make_planner: abc.Callable[[maps.Topology], PlannerFunctions],
) -> DayRun:
    """Run one planner over the day of a case.

    :param case: Sizes and popularity.
    :param seed: Seed of the popularity and of the counts.
    :param make_planner: Returns the planner for a topology.
    """
    rows = expert_day.popularity(case, seed)
    counts = expert_day.counts(rows, seed).tolist()
    ranks = topology(case)
    return run_day(rows, counts, ranks, make_planner(ranks))


def _mean_bound(case: expert_day.Case, seed: int) -> float:
    """Return the mean lower bound of the skew over a sample of intervals."""
    rows = expert_day.popularity(case, seed)[::BOUND_SAMPLE_STEP].tolist()
    ranks = topology(case)
    bounds = [full_replan.lower_bound(popularity, ranks) for popularity in rows]
    return sum(bounds) / len(bounds)


def run_day(
    rows: np.ndarray,
    counts: list[list[int]],
    ranks: maps.Topology,
    planning: PlannerFunctions,
) -> DayRun:
    """Run one planner over a day.

    The planner receives the counts of an interval at its end. A change of the
    shares alone takes effect in the next interval. A change that loads weights
    takes effect one interval later, with shares adjusted to the load by then.

    :param rows: True popularity, one row per interval.
    :param counts: Token counts of each interval.
    :param ranks: Topology of the ranks.
    :param planning: Planner to run.
    """
    day_run = DayRun()
    current = maps.contiguous(rows.shape[1], ranks)
    staged = None
    intervals = list(zip(rows.tolist(), counts, strict=True))
    # Exempts the day's data from garbage collections, so that their cost
    # doesn't count as time of the planner.
    gc.freeze()
    for popularity, interval_counts in intervals:
        day_run.skews.append(maps.skew(current, popularity))
        planning.observe(interval_counts)
        before = current
        if staged is not None and planning.level is not None:
            current, staged = planning.level(staged), None
        else:
            current, staged = _plan_interval(day_run, current, planning)
        day_run.changes += current != before
    return day_run


def _plan_interval(
    day_run: DayRun,
    current: maps.ExpertMap,
    planning: PlannerFunctions,
) -> tuple[maps.ExpertMap, maps.ExpertMap | None]:
    """Plan once, and record the time and the loaded replicas.

    :returns: The map for the next interval, and the map whose weights are
        loading, if any.
    """
    start_s = time.process_time()
    planned_map = planning.plan(current)
    day_run.plan_ms.append((time.process_time() - start_s) * MS_IN_S)
    loaded = len(maps.added(current, planned_map))
    day_run.moved += loaded
    if loaded and planning.level is not None:
        return planning.level(current), planned_map
    return planned_map, None


def planned(ranks: maps.Topology) -> PlannerFunctions:
    """Return the production planner."""
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

    return PlannerFunctions(observe, plan, level)


def replanned(ranks: maps.Topology) -> PlannerFunctions:
    """Return the full replan; loading weights is assumed to take no time."""
    seen: list[list[int]] = []

    def plan(_: maps.ExpertMap) -> maps.ExpertMap:
        return full_replan.plan([float(count) for count in seen[-1]], ranks)

    return PlannerFunctions(seen.append, plan)


def static(_: maps.Topology) -> PlannerFunctions:
    """Return the planner that never changes the map."""
    return PlannerFunctions(lambda _: None, lambda current: current)


PLANNERS = (planned, replanned, static)
