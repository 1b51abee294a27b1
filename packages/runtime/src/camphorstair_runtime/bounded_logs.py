"""Rate-limited, non-blocking logging to standard output."""

import logging
import os
import time
from collections import abc

from camphorstair_runtime import logs

LINES_PER_S = 300
BURST_LINES = 600
# Below PIPE_BUF (4096 bytes on Linux), so that a write to a pipe is atomic.
MAX_LINE_BYTES = 4000
_STANDARD_OUTPUT = 1


class BoundedHandler(logging.Handler):
    """Writes lines at a limited rate and logs how many were dropped.

    The rate is limited by a token bucket with one token per line.
    """

    def __init__(
        self,
        descriptor: int = _STANDARD_OUTPUT,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Make the output descriptor non-blocking and fill the token bucket.

        :param descriptor: File descriptor that lines are written to.
        :param clock: Returns the monotonic time in seconds; the bucket is
            refilled by the time that has passed.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._tokens: float = BURST_LINES
        self._refilled_s = clock()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it if the rate is exceeded or a write fails.

        The next record that is written is preceded by a line with the number
        of dropped lines.
        """
        if not self._consume_token():
            self._dropped += 1
            return
        if self._dropped:
            self._report_dropped(record)
        if not self._write_line(self.format(record)):
            self._dropped += 1

    def set_available_lines(self, lines: float) -> None:
        """Set the number of lines that may be written before the rate limits.

        :param lines: Number of tokens; it may exceed the bucket size until
            the next refill.
        """
        self._tokens = lines

    def _report_dropped(self, record: logging.LogRecord) -> None:
        dropped_record = logging.makeLogRecord(
            {
                'name': __name__,
                'levelname': 'WARNING',
                'msg': 'log lines were left out',
                'created': record.created,
                'dropped': self._dropped,
            },
        )
        if self._write_line(self.format(dropped_record)):
            self._dropped = 0

    def _consume_token(self) -> bool:
        now_s = self._clock()
        refilled = (now_s - self._refilled_s) * LINES_PER_S
        if refilled:
            self._tokens = min(BURST_LINES, self._tokens + refilled)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_line(self, text: str) -> bool:
        line = b'%s\n' % text.encode()[:MAX_LINE_BYTES]
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            # The pipe is closed or full: the line counts as dropped.
            return False


def set_up(node: str, level: str) -> None:
    """Send all logs to standard output as JSON, one object per line.

    :param node: The node's name, a field of each line.
    :param level: The lowest level that is logged.
    """
    handler = BoundedHandler()
    handler.setFormatter(logs.JsonFormatter(node))
    logging.basicConfig(level=level, handlers=[handler], force=True)
