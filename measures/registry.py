"""The measures by name, in the order in which ``all`` runs them."""

import types
from collections import abc

from measures import (
    affinity,
    at_most_once,
    cold_start,
    configuration,
    control_cost,
    data_centre_change,
    fleet_overload,
    fleet_subsets,
    log_cost,
    overload,
    rebalance_cost,
    reports,
    request_path,
    skew,
)

Measure = abc.Callable[[int], reports.Report]

MEASURES: abc.Mapping[str, Measure] = types.MappingProxyType(
    {
        'control_cost': control_cost.measure,
        'data_centre_change': data_centre_change.measure,
        'request_path': request_path.measure,
        'at_most_once': at_most_once.measure,
        'cold_start': cold_start.measure,
        'overload': overload.measure,
        'fleet_overload': fleet_overload.measure,
        'fleet_subsets': fleet_subsets.measure,
        'log_cost': log_cost.measure,
        'affinity': affinity.measure,
        'configuration': configuration.measure,
        'skew': skew.measure,
        'rebalance_cost': rebalance_cost.measure,
    },
)
