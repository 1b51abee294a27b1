"""Gauges of an entry's configuration, queues, endpoints and members."""

from collections import abc

from opentelemetry import metrics as metrics_api

from camphorstair.fleet import state
from camphorstair_core.fleet import content_age, ejection
from camphorstair_runtime import clocks

Observed = abc.Iterator[metrics_api.Observation]


def create(meter: metrics_api.Meter, entry: state.FleetEntry) -> None:
    """Create the gauges of an entry; they are read at each collection."""

    def gauge(name: str, read: abc.Callable[[], float]) -> None:
        def observe(_options: metrics_api.CallbackOptions) -> Observed:
            yield metrics_api.Observation(read())

        meter.create_observable_gauge(f'camphorstair_{name}', [observe])

    gauge('configuration_version', lambda: _configuration_version(entry))
    gauge('knowledge_age_seconds', lambda: _knowledge_age_s(entry))
    gauge('queued_requests', lambda: _queued_count(entry))
    meter.create_observable_gauge(
        'camphorstair_queued_by_priority',
        [lambda _options: _queued_by_priority(entry)],
    )
    gauge('endpoints', lambda: len(entry.endpoints.endpoints))
    gauge('ejected_endpoints', lambda: _ejected_count(entry))
    gauge('quarantined_parts', lambda: len(entry.crashes.quarantined.holds))
    gauge('held_bytes', lambda: entry.held.totals.total_bytes)
    gauge('kept_request_bytes', lambda: entry.kept_requests.budget.total_bytes)
    gauge('kept_answer_bytes', lambda: entry.kept_answers.budget.total_bytes)
    gauge('members', lambda: len(entry.members.present))


def _configuration_version(entry: state.FleetEntry) -> int:
    return entry.configuration.version if entry.configuration else 0


def _knowledge_age_s(entry: state.FleetEntry) -> float:
    return content_age.age_s(entry.freshness, clocks.boottime_s())


def _queued_count(entry: state.FleetEntry) -> int:
    return sum(len(queue.waiters) for queue in entry.queues.values())


def _queued_by_priority(entry: state.FleetEntry) -> Observed:
    """Return the number of queued requests of ranked services by priority."""
    counts: dict[int, int] = {}
    for queue in entry.queues.values():
        for waiter in queue.waiters if queue.is_ranked else ():
            counts[waiter.priority] = counts.get(waiter.priority, 0) + 1
    for priority, count in counts.items():
        yield metrics_api.Observation(count, {'priority': priority})


def _ejected_count(entry: state.FleetEntry) -> int:
    now_s = clocks.monotonic_s()
    return sum(
        ejection.is_ejected(candidate.health, now_s)
        for candidate in entry.candidates.values()
    )
