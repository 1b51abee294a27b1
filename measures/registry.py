"""All measures by name."""

import types
from collections import abc

from measures import (
    data_centre_change,
    rebalance_cost,
    reports,
    request_path,
    skew,
)

Measure = abc.Callable[[int], reports.Report]

MEASURES: abc.Mapping[str, Measure] = types.MappingProxyType(
    {
        'data_centre_change': data_centre_change.measure,
        'request_path': request_path.measure,
        'skew': skew.measure,
        'rebalance_cost': rebalance_cost.measure,
    },
)
