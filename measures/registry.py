"""All measures by name."""

import types
from collections import abc

from measures import (
    affinity,
    at_most_once,
    overload,
    rebalance_cost,
    reports,
    request_path,
    skew,
)

Measure = abc.Callable[[int], reports.Report]

MEASURES: abc.Mapping[str, Measure] = types.MappingProxyType(
    {
        'request_path': request_path.measure,
        'overload': overload.measure,
        'affinity': affinity.measure,
        'at_most_once': at_most_once.measure,
        'skew': skew.measure,
        'rebalance_cost': rebalance_cost.measure,
    },
)
