"""OpenTelemetry metrics, exported in the Prometheus format."""

import attrs
import prometheus_client
from opentelemetry import metrics as metrics_api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as metrics_sdk
from opentelemetry.sdk import resources


@attrs.define
class Instruments:
    """The counters of a process."""

    requests: metrics_api.Counter
    refusals: metrics_api.Counter
    retries: metrics_api.Counter
    dropped_parts: metrics_api.Counter
    keyed: metrics_api.Counter
    repeated_events: metrics_api.Counter
    resumed_streams: metrics_api.Counter
    silent_agents: metrics_api.Counter
    ejections: metrics_api.Counter


def set_up(node: str) -> Instruments:
    """Start the collection of metrics and return the counters.

    :param node: The node's name, a label of each metric.
    """
    meter = start(node)
    return Instruments(
        requests=meter.create_counter('camphorstair_requests'),
        refusals=meter.create_counter('camphorstair_refusals'),
        retries=meter.create_counter('camphorstair_retries'),
        dropped_parts=meter.create_counter('camphorstair_dropped_parts'),
        keyed=meter.create_counter('camphorstair_keyed_requests'),
        repeated_events=meter.create_counter('camphorstair_repeated_events'),
        resumed_streams=meter.create_counter('camphorstair_resumed_streams'),
        ejections=meter.create_counter('camphorstair_ejections'),
        silent_agents=meter.create_counter('camphorstair_silent_agents'),
    )


def start(node: str) -> metrics_api.Meter:
    """Start the collection of metrics and return a meter to create them.

    :param node: The node's name, a label of each metric.
    """
    provider = metrics_sdk.MeterProvider(
        metric_readers=[prometheus.PrometheusMetricReader()],
        resource=resources.Resource({'service.instance.id': node}),
        shutdown_on_exit=False,
    )
    return provider.get_meter('camphorstair')


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
