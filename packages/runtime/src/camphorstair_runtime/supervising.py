"""Restarts the endless tasks of a process after an unexpected error."""

import logging
from collections import abc

import curio

RESTART_PAUSE_S = 0.5

_LOG = logging.getLogger(__name__)


Run = abc.Callable[[], abc.Awaitable[None]]


async def keep_running(run: Run) -> None:
    """Run a task; after an unexpected error, log it and run the task again.

    One malformed message must not end the process, whose other tasks serve
    callers. Tasks that can't start at all, as when an address is in use, are
    not run by this function.

    :param run: Starts the task; it keeps its state in its own object.
    """
    while True:
        try:
            await run()
        except curio.CancelledError:
            raise
        except Exception:  # noqa: BLE001, the reason is in the docstring
            _LOG.exception('%s failed and is started again', run)
        else:
            return
        await curio.sleep(RESTART_PAUSE_S)
