"""Bytes, steps and planning time spent on rebalancing experts over a day.

One layer is planned every 10 s. A change of the map is assumed to cost one
step, at the step boundary; weights load in parallel with the steps.
"""

import numpy as np

from measures import expert_day, expert_runs, reports, skew

BYTES_TARGET = 0.1
PLAN_TARGET_MS = 50
GIB = 2**30


def measure(seed: int) -> reports.Report:
    """Measure the cost of rebalancing.

    The baseline is a full replan in each interval.

    :param seed: Seed of the popularity and of the counts.
    """
    report = reports.Report('rebalance_cost', seed, {})
    runs_by_case = expert_runs.run_all(seed)
    for case, runs in runs_by_case.items():
        _add_case(report, case, runs)
    report.targets = [
        reports.Target(f'bytes_ratio_{skew.TARGET_CASE}', at_most=BYTES_TARGET),
        reports.Target(
            f'plan_max_ms_{skew.TARGET_CASE}', at_most=PLAN_TARGET_MS
        ),
    ]
    return report


def _add_case(
    report: reports.Report,
    case: expert_day.Case,
    runs: expert_runs.CaseRuns,
) -> None:
    name = case.name()
    for day_run, figures in (
        (runs.planned, report.figures),
        (runs.replanned, report.baseline),
    ):
        moved_bytes = day_run.moved * expert_runs.EXPERT_BYTES
        figures[f'moved_gib_{name}'] = moved_bytes / GIB
        figures[f'steps_lost_{name}'] = (
            day_run.changes * expert_runs.STEPS_PER_CHANGE
        )
        figures[f'plan_mean_ms_{name}'] = float(np.mean(day_run.plan_ms))
        figures[f'plan_max_ms_{name}'] = max(day_run.plan_ms)
    ratio = runs.planned.moved / runs.replanned.moved
    report.figures[f'bytes_ratio_{name}'] = ratio
