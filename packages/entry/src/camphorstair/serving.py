"""Startup and main loop of an entry."""

import logging
import pathlib
import random

import curio

from camphorstair import callers, departing, entry_state, link_pool
from camphorstair_core import vms
from camphorstair_runtime import (
    following,
    heartbeats,
    http_server,
    listening,
    logs,
    metrics,
    node,
    peers,
    platform,
    security,
    settings,
    signals,
)

_LOG = logging.getLogger(__name__)


def build(checked: settings.EntrySettings) -> entry_state.Entry:
    """Return the initial state of an entry."""
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
    """Serve until a termination signal, then shut down gracefully."""
    terminated = signals.watch()
    checked = entry.checked
    server = http_server.Server(callers.CallerHandler(entry).handle)
    peer_server = peers.PeerServer(
        entry.state,
        named_s=entry.named.named_s,
        on_change=entry.refresh,
    )
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(
            listening.serve(
                *settings.split_address(checked.listen.callers),
                server.serve,
                security.callers_context(checked.security),
            ),
        )
        await group.spawn(
            listening.serve(
                *settings.split_address(checked.listen.peers),
                peer_server.serve,
                security.peers_context(checked.security),
            ),
        )
        await group.spawn(_follower(entry).run)
        await group.spawn(
            heartbeats.HeartbeatExchange(
                entry.state,
                entry.refresh,
                entry.generator,
            ).run,
        )
        _LOG.info('listening', extra={'callers': checked.listen.callers})
        await terminated.recv(1)
        await departing.shut_down(entry, server)
        await group.cancel_remaining()


def _follower(entry: entry_state.Entry) -> following.Follower:
    platform_settings = entry.checked.platform
    return following.Follower(
        entry.state,
        platform.PlatformClient(platform_settings.key_value),
        platform_settings.vm_list,
        entry.refresh,
        entry.generator,
    )


def main(path: str) -> None:
    """Run an entry.

    :param path: Path of the settings file.
    """
    checked = settings.load(pathlib.Path(path), settings.EntrySettings)
    logs.set_up(checked.node.name, checked.logging.level)
    curio.run(run, build(checked))
    signals.ignore()
