"""Runs an entry."""

import logging
import pathlib
import random

import curio

from camphorstair import callers, entry_state, link_pool
from camphorstair_core import vms
from camphorstair_runtime import (
    following,
    http_server,
    logs,
    metrics,
    node,
    peers,
    platform,
    security,
    settings,
    signals,
)

DRAIN_INTERVAL_S = 0.05

_LOG = logging.getLogger(__name__)


def build(checked: settings.EntrySettings) -> entry_state.Entry:
    """Return the state of an entry that has not started."""
    state = node.NodeState(checked.node, vms.VmRole.entry)
    state.link_context = security.client_context(checked.security)
    return entry_state.Entry(
        checked=checked,
        state=state,
        token_key=security.token_key(checked.security),
        pool=link_pool.LinkPool(state.link_context),
        instruments=metrics.set_up(checked.node.name),
        generator=random.SystemRandom(),
    )


async def run(entry: entry_state.Entry) -> None:
    """Serve until a termination signal, then finish what runs."""
    terminated = signals.watch()
    checked = entry.checked
    server = http_server.Server(callers.Callers(entry).handle)
    follower = following.Follower(
        entry.state,
        platform.PlatformClient(checked.platform.key_value),
        checked.platform.vm_list,
        entry.refresh,
        entry.generator,
    )
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(
            curio.tcp_server(
                *settings.split_address(checked.listen.callers),
                server.serve,
                ssl=security.callers_context(checked.security),
            ),
        )
        await group.spawn(
            curio.tcp_server(
                *settings.split_address(checked.listen.peers),
                peers.PeerServer(entry.state).serve,
                ssl=security.peers_context(checked.security),
            ),
        )
        await group.spawn(follower.run)
        _LOG.info('listening', extra={'callers': checked.listen.callers})
        await terminated.recv(1)
        await _drain(entry, server)
        await group.cancel_remaining()


async def _drain(
    entry: entry_state.Entry,
    server: http_server.Server,
) -> None:
    entry.state.leaving = True
    limit_s = entry.checked.shutdown.limit_s
    _LOG.info('shutting down')
    await server.close_idle()
    async with curio.ignore_after(limit_s):
        while entry.requests_in_flight():
            await curio.sleep(DRAIN_INTERVAL_S)
    if entry.requests_in_flight():
        _LOG.error(
            'shutdown limit of %s s reached',
            limit_s,
            extra={'in_flight': entry.requests_in_flight()},
        )
    _LOG.info('stopped')


def main(path: str) -> None:
    """Run an entry with the settings of a file."""
    checked = settings.load(pathlib.Path(path), settings.EntrySettings)
    logs.set_up(checked.node.name, checked.logging.level)
    curio.run(run, build(checked))
