"""Counters and histograms of an agent."""

import attrs
from opentelemetry import metrics as metrics_api


@attrs.define
class Instruments:
    """The instruments that an agent records to.

    :ivar orders: Number of orders sent to ranks, by kind and response status.
    :ivar skew: Mean load skew of the map in use whenever a new one is planned.
    """

    orders: metrics_api.Counter
    skew: metrics_api.Histogram


def create(meter: metrics_api.Meter) -> Instruments:
    """Create the instruments of an agent."""
    return Instruments(
        meter.create_counter('camphorstair_orders'),
        meter.create_histogram('camphorstair_skew'),
    )
