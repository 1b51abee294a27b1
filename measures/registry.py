"""All measures by name."""

import types
from collections import abc

from measures import at_most_once, reports, request_path

Measure = abc.Callable[[int], reports.Report]

MEASURES: abc.Mapping[str, Measure] = types.MappingProxyType(
    {
        'request_path': request_path.measure,
        'at_most_once': at_most_once.measure,
    },
)
