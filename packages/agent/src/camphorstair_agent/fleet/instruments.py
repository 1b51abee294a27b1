"""What an agent counts and measures."""

import attrs
from opentelemetry import metrics as metrics_api


@attrs.define
class Instruments:
    """Counters and histograms of an agent.

    :ivar orders: Orders to ranks by kind and status.
    :ivar skew: Mean skew of the map in use when a new one was planned.
    """

    orders: metrics_api.Counter
    skew: metrics_api.Histogram


def create(meter: metrics_api.Meter) -> Instruments:
    """Create the instruments of an agent."""
    return Instruments(
        meter.create_counter('camphorstair_orders'),
        meter.create_histogram('camphorstair_skew'),
    )
