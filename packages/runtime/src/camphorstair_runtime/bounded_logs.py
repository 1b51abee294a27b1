"""Logs to standard output that never block and stay bounded under load."""

import logging
import os
import time
from collections import abc

from camphorstair_runtime import logs

LINES_PER_S = 300
BURST_LINES = 600
# A pipe takes a line of this length whole or not at all.
MOST_BYTES = 4000
_STANDARD_OUTPUT = 1


class BoundedHandler(logging.Handler):
    """Writes lines at a bounded rate, and tells how many it left out."""

    def __init__(
        self,
        descriptor: int = _STANDARD_OUTPUT,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Set where lines go, and the clock of the rate."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._tokens: float = BURST_LINES
        self._refilled_s = clock()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line unless the rate or the reader forbids it."""
        if not self._take():
            self._dropped += 1
            return
        if self._dropped:
            self._report_dropped(record)
        if not self._write(self.format(record)):
            self._dropped += 1

    def allow(self, lines: float) -> None:
        """Set how many lines may be written before the rate counts."""
        self._tokens = lines

    def _report_dropped(self, record: logging.LogRecord) -> None:
        lost = logging.makeLogRecord(
            {
                'name': __name__,
                'levelname': 'WARNING',
                'msg': 'log lines were left out',
                'created': record.created,
                'dropped': self._dropped,
            },
        )
        if self._write(self.format(lost)):
            self._dropped = 0

    def _take(self) -> bool:
        now_s = self._clock()
        refilled = (now_s - self._refilled_s) * LINES_PER_S
        if refilled:
            self._tokens = min(BURST_LINES, self._tokens + refilled)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, text: str) -> bool:
        line = b'%s\n' % text.encode()[:MOST_BYTES]
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            # The reader is gone or too slow; the line counts as left out.
            return False


def set_up(node: str, level: str) -> None:
    """Send all logs to standard output as JSON, one object a line.

    :param node: The node's name.
    :param level: The lowest level that is logged.
    """
    handler = BoundedHandler()
    handler.setFormatter(logs.JsonFormatter(node))
    logging.basicConfig(level=level, handlers=[handler], force=True)
