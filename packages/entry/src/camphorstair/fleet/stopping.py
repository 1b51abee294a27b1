"""Stops an entry gracefully.

Accepting a request is a promise to answer it. So a request whose answer can't
be expected to end before the process does is refused as not run, and its caller
goes elsewhere at once.
"""

import logging

import attrs
import curio

from camphorstair.fleet import dispatch, joining, state
from camphorstair_core.fleet import membership, waiting
from camphorstair_runtime import (
    clocks,
    closing,
    http_server,
    shutdown,
)

# Part of the grace period reserved for sending the last answers and closing the
# connections before the process is killed.
GRACE_RESERVE_S = 0.7
# Time for the error answers to the requests that still run at the end.
LAST_ANSWERS_S = 0.2
# Callers cache directory answers for up to three times their lifetime.
ANSWER_CACHE_FACTOR = 3
ANSWER_SLACK_S = 0.5

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Stop:
    """The stop of an entry.

    :ivar entry: The entry's state.
    :ivar dispatcher: Assigns endpoints.
    :ivar callers: The server for callers.
    :ivar joining: The membership of the entry.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    callers: http_server.Server
    joining: joining.EntryMembership

    async def run(self) -> None:
        """Leave, finish the requests in progress and close the connections.

        The entry leaves the directory, serves until cached directory answers
        have expired and refuses new requests from then on. Requests that still
        run when the grace period ends, less its reserve, are answered with an
        error.
        """
        deadline_s = self._announce()
        await self.dispatcher.serve_queues()
        await self.joining.leave()
        answer_cache_s = (
            membership.ANSWER_TTL_S * ANSWER_CACHE_FACTOR + ANSWER_SLACK_S
        )
        await curio.sleep(min(answer_cache_s, _left_s(deadline_s)))
        await shutdown.wait_idle(self._in_progress, _left_s(deadline_s))
        await self._end_requests()
        self.callers.end_idle()
        await shutdown.wait_closed(self.callers.idle_connections)

    def _announce(self) -> float:
        """Note when requests are refused and ended; return the latter."""
        entry = self.entry
        grace_s = entry.settings.bounds.grace_s - GRACE_RESERVE_S
        now_s = clocks.monotonic_s()
        entry.leaving = True
        entry.stop_s = now_s + grace_s
        entry.refuse_from_s = now_s + min(
            membership.ANSWER_TTL_S * ANSWER_CACHE_FACTOR, grace_s
        )
        for queue in entry.queues.values():
            for waiter in queue.waiters:
                waiting.limit_start(waiter, entry.stop_s)
        _LOG.info('shutting down', extra={'in_progress': self._in_progress()})
        self.callers.announce_close()
        return entry.stop_s

    async def _end_requests(self) -> None:
        """Let the requests that still run end with an error answer."""
        self.entry.ended = True
        for responder in self.callers.active:
            # Wakes the task that waits for the caller to disconnect.
            closing.stop_reading(responder.sock)
        await curio.ignore_after(LAST_ANSWERS_S, self._wait_ended)

    async def _wait_ended(self) -> None:
        while self._in_progress():
            await curio.sleep(shutdown.POLL_INTERVAL_S)

    def _in_progress(self) -> int:
        return len(self.callers.active)


def _left_s(deadline_s: float) -> float:
    return max(0, deadline_s - clocks.monotonic_s())
