"""The waits of a graceful shutdown, each with a timeout."""

import logging
from collections import abc

import curio

POLL_INTERVAL_S = 0.02
CLOSE_LIMIT_S = 2.0

_LOG = logging.getLogger(__name__)

CountSource = abc.Callable[[], int]


async def wait_idle(requests: CountSource, limit_s: float) -> None:
    """Wait until no request is in progress, and log an error on timeout.

    :param requests: Returns the number of requests in progress.
    :param limit_s: The timeout.
    """
    async with curio.ignore_after(limit_s):
        while requests():
            await curio.sleep(POLL_INTERVAL_S)
    if requests():
        _LOG.error(
            'shutdown limit of %s s reached',
            limit_s,
            extra={'in_flight': requests()},
        )


async def wait_closed(connections: CountSource) -> None:
    """Wait until all connections are closed, at most ``CLOSE_LIMIT_S``.

    :param connections: Returns the number of open connections.
    """
    async with curio.ignore_after(CLOSE_LIMIT_S):
        while connections():
            await curio.sleep(POLL_INTERVAL_S)
