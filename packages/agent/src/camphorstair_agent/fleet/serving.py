"""Starts and runs the process of a fleet agent."""

import functools
import logging
import signal

import curio

from camphorstair_agent.fleet import (
    engine_calls,
    gauges,
    instruments,
    listing,
    order_crashes,
    planning,
    rank_calls,
    rank_datagrams,
    ranks,
    rescuing,
    sensing,
    slot_granting,
    state,
)
from camphorstair_fleet import metrics_page
from camphorstair_platform import boot, store
from camphorstair_runtime import (
    bounded_logs,
    http_server,
    listening,
    metrics,
    signals,
    supervising,
)

_LOG = logging.getLogger(__name__)


async def run(told: boot.BootSettings) -> None:
    """Serve until a termination signal; SIGHUP is only logged."""
    signal_socket = signals.watch(signal.SIGHUP)
    meter = metrics.start(told.name)
    agent = state.FleetAgent(told, instruments.create(meter))
    gauges.create(meter, agent)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(metrics_page.serve, told.address)
        await _serve_rank(group, told)
        for task in _tasks(agent):
            await group.spawn(supervising.keep_running, task)
        _LOG.info('listening', extra={'engine': told.engine_address})
        while await signal_socket.recv(1) == bytes([signal.SIGHUP]):
            _LOG.info('SIGHUP ignored: settings are read only at the start')
        await group.cancel_remaining()
    _LOG.info('stopped')


def _tasks(agent: state.FleetAgent) -> list[supervising.Run]:
    """Return the tasks of an agent that run until it stops."""
    told = agent.settings
    client = store.StoreClient(told.store.address)
    follower = listing.StoreFollower(agent, client)
    datagrams = rank_datagrams.DatagramCaller(told.address)
    calls = rank_calls.RankCalls(agent, datagrams)
    crashes = order_crashes.OrderCrashes(agent, client)
    load_reporter = sensing.LoadReporter(
        agent, engine_calls.EngineCalls(told.engine_address)
    )
    granter = slot_granting.SlotGranter(
        agent, engine_calls.EngineCalls(told.engine_address)
    )
    return [
        follower.run,
        follower.run_services,
        load_reporter.run,
        granter.run,
        datagrams.run,
        crashes.run,
        planning.PlannerCandidate(agent, client, calls, crashes).run,
        rescuing.HoldWatchdog(agent, calls).run,
    ]


async def _serve_rank(group: curio.TaskGroup, told: boot.BootSettings) -> None:
    """Answer the calls of planners and of other agents."""
    service = ranks.RankService(
        engine_calls.EngineCalls(told.engine_address),
        engine_calls.EngineCalls(told.engine_address),
    )
    host, port = told.address, told.internal_port
    server = http_server.Server(service.handle)
    await group.spawn(listening.serve(host, port, server.serve))
    await group.spawn(
        supervising.keep_running,
        functools.partial(service.serve_datagrams, host, port),
    )


def main() -> None:
    """Run an agent with the boot settings of the platform."""
    told = boot.decode(boot.path().read_bytes())
    bounded_logs.set_up(told.name, 'INFO')
    curio.run(run, told)
    signals.ignore()
