"""Step time of the slowest rank over the mean, over a day of popularity.

The day is run at intervals of 10 s; the step time of a rank is taken to be
its expected load under the true popularity, which no planner sees.
"""

import numpy as np

from measures import expert_day, expert_runs, reports

MEAN_TARGET = 1.05
QUANTILE_TARGET = 1.25
QUANTILE = 0.99
TARGET_CASE = 'zipf_1_0_32x256'


def measure(seed: int) -> reports.Report:
    """Measure the skew over the day; the baseline is the full replan.

    :param seed: Seed of the popularity and of the counts.
    """
    report = reports.Report('skew', seed, {})
    every = expert_runs.run_all(seed)
    for case, runs in every.items():
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
    for day, figures in (
        (runs.planned, report.figures),
        (runs.replanned, report.baseline),
    ):
        figures[f'mean_{name}'] = float(np.mean(day.skews))
        figures[f'p99_{name}'] = float(np.quantile(day.skews, QUANTILE))
    report.figures[f'static_mean_{name}'] = float(np.mean(runs.static.skews))
    report.figures[f'bound_mean_{name}'] = runs.bound
