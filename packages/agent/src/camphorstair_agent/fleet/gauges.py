"""Gauges of an agent and of the engine on its VM."""

from collections import abc

from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import state

Observations = abc.Iterator[metrics_api.Observation]


def create(meter: metrics_api.Meter, agent: state.FleetAgent) -> None:
    """Register the gauges of an agent with a meter."""

    def gauge(name: str, read: abc.Callable[[], float]) -> None:
        def observe(_options: metrics_api.CallbackOptions) -> Observations:
            yield metrics_api.Observation(read())

        meter.create_observable_gauge(f'camphorstair_{name}', [observe])

    gauge('engine_running', lambda: _running(agent))
    gauge('engine_waiting', lambda: _waiting(agent))
    gauge('map_version', lambda: _map_version(agent))
    gauge('members', lambda: len(agent.members))


def _running(agent: state.FleetAgent) -> int:
    return agent.report.running if agent.report else 0


def _waiting(agent: state.FleetAgent) -> int:
    return agent.report.waiting if agent.report else 0


def _map_version(agent: state.FleetAgent) -> int:
    rank = agent.report.rank if agent.report else None
    return rank.version if rank else 0
