"""Logging never blocks, and its line rate is limited."""

import logging
import os

import msgspec

from camphorstair_runtime import bounded_logs, logs

READ_BYTES = 1_000_000


def _record(number: int) -> logging.LogRecord:
    return logging.makeLogRecord(
        {'msg': f'line {number}', 'levelname': 'INFO', 'name': 'test'},
    )


def _read_lines(descriptor: int) -> list[dict[str, object]]:
    """Return the decoded log lines that a pipe holds."""
    raw_lines = os.read(descriptor, READ_BYTES)
    return [msgspec.json.decode(line) for line in raw_lines.splitlines()]


def test_log_lines_over_rate_limit_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    now_s: list[float] = [0]
    handler = bounded_logs.BoundedHandler(writer, lambda: now_s[0])
    handler.setFormatter(logs.JsonFormatter('front-1'))
    for number in range(bounded_logs.BURST_LINES + 7):
        handler.emit(_record(number))
        if not number % 100:
            _read_lines(reader)
    now_s[0] = 1
    handler.emit(_record(9999))
    log_lines = _read_lines(reader)
    assert log_lines[-2]['dropped'] == 7
    assert log_lines[-1]['message'] == 'line 9999'


def test_logging_does_not_block_when_pipe_is_not_read() -> None:
    _reader, writer = os.pipe()
    now_s: list[float] = [0]
    handler = bounded_logs.BoundedHandler(writer, lambda: now_s[0])
    handler.setFormatter(logs.JsonFormatter('front-1'))
    for number in range(3000):
        now_s[0] += 1
        handler.emit(_record(number))
    handler.emit(_record(0))
