"""Tests of the command that tells where late requests spent their time."""

import json
import pathlib

import pytest
from typer import testing

from camphorstair import command_line
from camphorstair_core import late_requests, request_traces

LIMIT_S = 0.4
TIME = '2026-12-04T04:00:01.250+00:00'
SECOND = TIME[:19]


def _answered(
    request: str, queued_s: float, first_part_s: float
) -> request_traces.LogLine:
    return request_traces.LogLine(
        TIME,
        'front-1',
        'answered',
        request,
        queued_s=queued_s,
        first_part_s=first_part_s,
    )


def _failed(request: str, attempt_s: float) -> request_traces.LogLine:
    message = 'attempt failed: status 503'
    return request_traces.LogLine(
        TIME, 'front-1', message, request, attempt_s=attempt_s
    )


def test_times_of_late_requests_are_told_apart() -> None:
    refused = request_traces.LogLine(
        TIME, 'front-1', 'refused: overloaded: no endpoint was free', 'a3'
    )
    planner = request_traces.LogLine(TIME, 'side-1', 'no new map', skew=1.5)
    lines = [
        _answered('a1', 0, LIMIT_S),
        _answered('a2', 0.5, 1.0),
        _failed('a2', 0.125),
        refused,
        planner,
    ]
    assert late_requests.summarize(lines, LIMIT_S) == {
        SECOND: late_requests.Second(2, 1, 1, 0.5, 0.125, 0.375, 1.5)
    }


def test_requests_are_counted_in_the_second_of_their_outcome() -> None:
    later = request_traces.LogLine('2026-12-04T04:00:03', 'front-1', 'answered')
    seconds = late_requests.summarize([later, _answered('a1', 0, 0)], LIMIT_S)
    assert [second.answered for second in seconds.values()] == [1, 1]
    assert list(seconds) == sorted(seconds)


def test_the_command_shows_a_row_for_each_second(
    tmp_path: pathlib.Path,
) -> None:
    line = {
        'time': TIME,
        'node': 'front-1',
        'message': 'answered',
        'queued_s': 0.5,
        'first_part_s': 1.0,
    }
    log = tmp_path / 'front-1.log'
    log.write_text(f'{json.dumps(line)}\nnot a line of ours\n')
    shown = testing.CliRunner().invoke(
        command_line.application(), ['late', '400', str(log)]
    )
    assert shown.exit_code == 0
    assert shown.output.splitlines() == [
        late_requests.HEADER,
        f'{SECOND}         1     1        0     0.500     0.000       0.500  0.00',
    ]


@pytest.mark.parametrize('arguments', [['400', 'missing.log'], ['-1', 'a'], []])
def test_bad_arguments_are_an_error(arguments: list[str]) -> None:
    shown = testing.CliRunner().invoke(
        command_line.application(), ['late', *arguments]
    )
    assert shown.exit_code == 2
