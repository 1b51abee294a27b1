"""Processor time that a process spends on log lines."""

import logging
import os
import time

from camphorstair_runtime import bounded_logs, logs
from measures import reports

LINES = 3000
LOGGER = 'camphorstair.fleet.forwarding'


def measure(seed: int) -> reports.Report:
    """Measure the time of a written line and of a line over the rate limit.

    Also returns the largest share of one core that written lines can take,
    which is that of ``LINES_PER_S`` lines per second.

    :param seed: Not used: the lines are the same each time.
    """
    written_us = _time_per_line_us(LINES, float('inf'))
    left_out_us = _time_per_line_us(LINES, 0)
    share = bounded_logs.LINES_PER_S * written_us / 1e6
    figures = {
        'written_us': written_us,
        'left_out_us': left_out_us,
        'core_share_at_most': share,
    }
    return reports.Report('log_cost', seed, figures)


def _time_per_line_us(lines: int, allowed: float) -> float:
    """Return the mean processor time of a line in microseconds.

    :param lines: Number of lines to log.
    :param allowed: Number of lines that the handler may write.
    """
    with open(os.devnull, 'wb') as sink:
        handler = bounded_logs.BoundedHandler(sink.fileno(), float)
        handler.setFormatter(logs.JsonFormatter('front-1'))
        handler.set_available_lines(allowed)
        start_s = time.process_time()
        for number in range(lines):
            handler.handle(_make_record(number))
        return (time.process_time() - start_s) / lines * 1e6


def _make_record(number: int) -> logging.LogRecord:
    record = logging.LogRecord(
        LOGGER, logging.INFO, __file__, 0, 'answered', None, None
    )
    record.__dict__.update(
        request=f'{number:016x}',
        route='draft',
        version=3,
        endpoint='i-7c2f0efd5a',
        attempts=1,
        queued_s=0.012,
        first_part_s=0.142,
        whole_s=1.183,
    )
    return record
