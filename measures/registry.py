"""All measures by name."""

import types
from collections import abc

from measures import (
    at_most_once,
    configuration,
    rebalance_cost,
    reports,
    request_path,
    skew,
)

Measure = abc.Callable[[int], reports.Report]

MEASURES: abc.Mapping[str, Measure] = types.MappingProxyType(
    {
        'request_path': request_path.measure,
        'at_most_once': at_most_once.measure,
        'configuration': configuration.measure,
        'skew': skew.measure,
        'rebalance_cost': rebalance_cost.measure,
    },
)
