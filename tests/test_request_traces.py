"""The trace command derives the cause of a request's end from log lines."""

import pathlib

import pytest
from typer import testing

from camphorstair import command_line
from camphorstair_core import request_traces

REQUEST_ID = 'a1'
MINUTE = '2026-12-04T04:00:'


def _line(
    second: int,
    message: str,
    request: str = '',
    endpoint: str = '',
) -> request_traces.LogLine:
    """Return a log line of the node front-1 at a second of one minute."""
    time = f'{MINUTE}{second:02}'
    return request_traces.LogLine(time, 'front-1', message, request, endpoint)


@pytest.mark.parametrize(
    ('lines', 'cause'),
    [
        (
            [_line(3, 'answered', REQUEST_ID, endpoint='i-1')],
            'cause: none; answered by i-1',
        ),
        (
            [_line(3, 'refused: overloaded: no endpoint was free', REQUEST_ID)],
            'cause: it waited at the entry and no endpoint was free in time',
        ),
        (
            [
                _line(1, 'endpoint ready', endpoint='i-1'),
                _line(2, 'endpoint draining', endpoint='i-1'),
                _line(3, 'refused: no_endpoint: of service x', REQUEST_ID),
                _line(4, 'endpoint gone', endpoint='i-1'),
            ],
            f'the last that went: {MINUTE}02 front-1 endpoint draining (i-1)',
        ),
        (
            [_line(3, 'refused: no_configuration: none is known', REQUEST_ID)],
            'cause: the entry had just started',
        ),
        (
            [
                _line(2, 'attempt failed: reset', REQUEST_ID, endpoint='i-1'),
                _line(
                    3, 'attempt failed: status 500', REQUEST_ID, endpoint='i-2'
                ),
                _line(4, 'refused: answer_broken: reset', REQUEST_ID),
            ],
            'cause: endpoint i-2: status 500',
        ),
        (
            [_line(2, 'attempt failed: reset', REQUEST_ID, endpoint='i-1')],
            'cause: the caller left, or its entry was killed, after this',
        ),
        (
            [_line(2, 'refused: unauthorized: unknown key', REQUEST_ID)],
            'cause: version 0 of the configuration does not allow it',
        ),
    ],
)
def test_trace_ends_with_cause_of_request_outcome(
    lines: list[request_traces.LogLine],
    cause: str,
) -> None:
    assert request_traces.trace(lines, REQUEST_ID)[-1] == cause


def test_trace_reports_dropped_log_lines() -> None:
    lines = [_line(2, request_traces.LINES_DROPPED)]
    assert request_traces.trace(lines, REQUEST_ID)[-1].endswith(
        'left out lines'
    )


def test_trace_command_reads_prefixed_log_and_skips_other_lines(
    tmp_path: pathlib.Path,
) -> None:
    log = tmp_path / 'entries.log'
    line = '{"time":"T1","node":"front-1","message":"answered","request":"a1"'
    log.write_text(f'no line\n 0.21 front-1 {line},"endpoint":"i-7"}}\n')
    invocation = testing.CliRunner().invoke(
        command_line.application(), ['trace', REQUEST_ID, str(log)]
    )
    assert invocation.exit_code == 0
    assert invocation.output.endswith('cause: none; answered by i-7\n')


def test_a_log_that_cannot_be_read_is_named(tmp_path: pathlib.Path) -> None:
    absent = tmp_path / 'absent.log'
    invocation = testing.CliRunner().invoke(
        command_line.application(), ['trace', REQUEST_ID, str(absent)]
    )
    assert invocation.exit_code == 2
    assert 'absent.log' in invocation.output
