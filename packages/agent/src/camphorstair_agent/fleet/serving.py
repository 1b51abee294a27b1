"""Starts and runs the process of a fleet agent."""

import logging
import signal

import curio

from camphorstair_agent.fleet import (
    engine_calls,
    gauges,
    instruments,
    listing,
    planning,
    rank_calls,
    ranks,
    rescuing,
    sensing,
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
)

_LOG = logging.getLogger(__name__)


async def run(boot_settings: boot.BootSettings) -> None:
    """Serve until a termination signal; SIGHUP is only logged."""
    signalled = signals.watch(signal.SIGHUP)
    meter = metrics.start(boot_settings.name)
    agent = state.FleetAgent(boot_settings, instruments.create(meter))
    gauges.create(meter, agent)
    client = store.StoreClient(boot_settings.store.address)
    service = ranks.RankService(
        engine_calls.EngineCalls(boot_settings.engine_address),
        engine_calls.EngineCalls(boot_settings.engine_address),
    )
    load_sender = sensing.Sensing(
        agent, engine_calls.EngineCalls(boot_settings.engine_address)
    )
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(
            listening.serve(
                boot_settings.address,
                boot_settings.internal_port,
                http_server.Server(service.handle).serve,
            ),
        )
        await group.spawn(metrics_page.serve, boot_settings.address)
        await group.spawn(listing.Listing(agent, client).run)
        await group.spawn(load_sender.run)
        calls = rank_calls.RankCalls(agent)
        await group.spawn(planning.Planning(agent, client, calls).run)
        await group.spawn(rescuing.Rescue(agent, calls).run)
        _LOG.info('listening', extra={'engine': boot_settings.engine_address})
        while await signalled.recv(1) == bytes([signal.SIGHUP]):
            _LOG.info('SIGHUP ignored: settings are read only at the start')
        await group.cancel_remaining()
    _LOG.info('stopped')


def main() -> None:
    """Run an agent with the boot settings of the platform."""
    boot_settings = boot.decode(boot.path().read_bytes())
    bounded_logs.set_up(boot_settings.name, 'INFO')
    curio.run(run, boot_settings)
    signals.ignore()
