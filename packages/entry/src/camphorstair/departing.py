"""Graceful shutdown of an entry."""

import logging

import curio

from camphorstair import entry_state
from camphorstair_runtime import announcing, clocks, http_server, shutdown

_LOG = logging.getLogger(__name__)


async def shut_down(
    entry: entry_state.Entry,
    server: http_server.Server,
) -> None:
    """Shut an entry down gracefully.

    Callers may connect until the last directory answer that names this entry
    has expired. So announce the shutdown to all entries first; each replies
    how long its answers still name this entry. Serve until then, wait for the
    running requests, and close the connections. Both waits end at the
    shutdown limit of the settings. Finally announce that the entry has
    stopped.

    :param entry: The entry.
    :param server: The HTTP server for callers.
    """
    entry.state.leaving = True
    limit_s = entry.checked.shutdown.limit_s
    deadline_s = clocks.monotonic_s() + limit_s
    _LOG.info('shutting down', extra={'in_flight': len(server.active)})
    server.announce_close()
    async with curio.ignore_after(limit_s):
        await _wait_answers_expired(entry, deadline_s)
    remaining_s = max(0, deadline_s - clocks.monotonic_s())
    await shutdown.wait_idle(lambda: len(server.active), remaining_s)
    server.end_idle()
    await shutdown.wait_closed(server.idle_connections)
    await announcing.announce_leaving(
        entry.state,
        limit_s,
        entry.named.named_s,
        last=True,
    )
    _LOG.info('stopped')


async def _wait_answers_expired(
    entry: entry_state.Entry,
    deadline_s: float,
) -> None:
    """Announce the shutdown and wait until no valid answer names this entry.

    The wait ends at the shutdown deadline, also if an answer is still valid.
    """
    lifetime_s = entry.checked.directory.answer_lifetime_s
    limit_s = entry.checked.shutdown.limit_s
    outcomes = await announcing.announce_leaving(
        entry.state,
        limit_s + lifetime_s,
        entry.named.named_s,
    )
    now_s = clocks.monotonic_s()
    own_remaining_s = entry.named.named_s(entry.state.identity.name, now_s)
    named_until_s = announcing.named_deadline_s(
        entry.state, outcomes, lifetime_s
    )
    expiry_s = max(named_until_s, now_s + own_remaining_s)
    if expiry_s > deadline_s:
        _LOG.error(
            'shutdown limit reached: directory answers name this entry'
            ' for %.1f s more',
            expiry_s - deadline_s,
        )
    await curio.sleep(max(0, min(expiry_s, deadline_s) - now_s))
