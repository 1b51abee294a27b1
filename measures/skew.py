"""Ratio of the slowest rank's step time to the mean, over a simulated day.

The day is run in intervals of 10 s. The step time of a rank is assumed to be
its expected load under the true popularity, which no planner sees.
"""

import numpy as np

from measures import expert_day, expert_runs, reports

MEAN_TARGET = 1.05
QUANTILE_TARGET = 1.25
QUANTILE = 0.99
TARGET_CASE = 'zipf_1_0_32x256'


def measure(seed: int) -> reports.Report:
    """Measure the skew over the day.

    The baseline is a full replan in each interval.

    :param seed: Seed of the popularity and of the counts.
    """
    report = reports.Report('skew', seed, {})
    runs_by_case = expert_runs.run_all(seed)
    for case, runs in runs_by_case.items():
        _add_case(report, case, runs)
    report.targets = [
        reports.Target(f'mean_{TARGET_CASE}', at_most=MEAN_TARGET),
        reports.Target(f'p99_{TARGET_CASE}', at_most=QUANTILE_TARGET),
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
        figures[f'mean_{name}'] = float(np.mean(day_run.skews))
        figures[f'p99_{name}'] = float(np.quantile(day_run.skews, QUANTILE))
    report.figures[f'static_mean_{name}'] = float(np.mean(runs.static.skews))
    report.figures[f'bound_mean_{name}'] = runs.bound
