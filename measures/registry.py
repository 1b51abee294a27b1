"""All measures by name."""

import types
from collections import abc

from measures import data_centre_change, reports, request_path

Measure = abc.Callable[[int], reports.Report]

MEASURES: abc.Mapping[str, Measure] = types.MappingProxyType(
    {
        'data_centre_change': data_centre_change.measure,
        'request_path': request_path.measure,
    },
)
