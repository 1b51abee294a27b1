"""The commands ``trace`` and ``late``, which read logs."""

import pathlib
import typing

import typer

from camphorstair import command_options
from camphorstair_core import decoding, late_requests, request_traces

Request = typing.Annotated[
    str,
    typer.Argument(help='Identifier of the request.'),
]
LogFiles = typing.Annotated[
    list[pathlib.Path],
    typer.Argument(help='Log files of the entries.'),
]

LimitMs = typing.Annotated[
    float,
    typer.Argument(
        help='Time to the first part after which a request is late, in ms.',
        min=0,
    ),
]
_MS_PER_S = 1000


def trace(request: Request, logs: LogFiles) -> None:
    """Show from logs how a request ended, and why.

    Example: camphorstair trace 1f72ee654700503c entry-1.log entry-2.log

    Prints the log lines of the request and the cause of its end. Text before
    the first brace of a line is ignored, and so are lines without a brace.

    Exit codes: 0 shown, 2 a log can't be read.
    """
    lines = [line for path in logs for line in _read_log(path)]
    for told in request_traces.trace(lines, request):
        typer.echo(told)


def late(limit_ms: LimitMs, logs: LogFiles) -> None:
    """Show from logs, second by second, where late requests spent their time.

    Example: camphorstair late 400 entry-1.log entry-2.log agent-1.log

    Counts requests by the second in which they ended. The times are means over
    the late ones: waiting in the entry, failed attempts, and the rest until the
    first part, at the endpoint. The skew is the highest that a planner logged.

    Exit codes: 0 shown, 2 a log can't be read.
    """
    lines = [line for path in logs for line in _read_log(path)]
    seconds = late_requests.summarize(lines, limit_ms / _MS_PER_S)
    for row in late_requests.table(seconds):
        typer.echo(row)


def register(app: typer.Typer) -> None:
    """Register the commands with an application."""
    app.command()(trace)
    app.command()(late)


def _read_log(path: pathlib.Path) -> list[request_traces.LogLine]:
    try:
        text = path.read_text(errors='replace')
    except OSError as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
    log_lines = (decode(line) for line in text.splitlines())
    return [line for line in log_lines if line is not None]


def decode(line: str) -> request_traces.LogLine | None:
    """Return the log entry of a line, or None if the line has none."""
    _prefix, brace, content = line.partition('{')
    try:
        return decoding.from_json(brace + content, request_traces.LogLine)
    except decoding.FormatError:
        return None
