"""docs/OPERATIONS.md: each kind of failure is found by the page's steps."""

import logging
import pathlib
import re

import fleet_bench
import pytest

from camphorstair import log_commands
from camphorstair_core import request_traces
from camphorstair_platform_standins import scripted
from camphorstair_runtime import http_client, logs

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'OPERATIONS.md'
Script = scripted.Script


@pytest.fixture(autouse=True)
def _all_lines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)


def _lines(
    caplog: pytest.LogCaptureFixture,
    request: str,
) -> list[logging.LogRecord]:
    """Return the lines of a request, as the page's grep does."""
    return [
        one
        for one in caplog.records
        if getattr(one, 'request', None) == request
    ]


def _cause(caplog: pytest.LogCaptureFixture, request: str) -> str:
    """Return the cause that the command on the page tells."""
    formatter = logs.JsonFormatter('front-1')
    lines = [
        line
        for line in map(
            log_commands.decode, map(formatter.format, caplog.records)
        )
        if line is not None
    ]
    found = request_traces.trace(lines, request)
    return next(told for told in found if told.startswith('cause: '))


def _says(beginning: str) -> None:
    """Check that the page shows a line that begins so."""
    assert f'"message":"{beginning}' in PAGE.read_text()


def test_refused_under_load(caplog: pytest.LogCaptureFixture) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        full = Script(status=503, not_run=True)
        await running.add_runner('i-1', 'plain', full)
        assert (await running.call('/book/', 'load-1')).status == 503

    fleet_bench.FleetBench().run(body)
    failed, refused = _lines(caplog, 'load-1')
    assert failed.getMessage() == 'attempt failed: status 503'
    assert refused.getMessage().startswith('refused: overloaded')
    assert refused.__dict__['verdict'] == 'not_run'
    assert _cause(caplog, 'load-1') == 'cause: endpoint i-1: status 503'
    _says('refused: overloaded')


def test_cut_off_midway(caplog: pytest.LogCaptureFixture) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        broken = Script(events=5, drop_after_events=2)
        await running.add_runner('i-1', 'engine', broken)
        with pytest.raises(http_client.HttpError):
            await running.call('/draft/', 'cut-1')

    fleet_bench.FleetBench().run(body)
    found = _lines(caplog, 'cut-1')
    assert found[0].getMessage().startswith('attempt failed')
    assert found[0].__dict__['endpoint'] == 'i-1'
    assert found[0].__dict__['verdict'] == 'may_have_run'
    assert found[-1].getMessage().startswith('refused: ')
    assert _cause(caplog, 'cut-1').startswith('cause: endpoint i-1: ')
    _says('attempt failed')
    _says('refused: answer_broken')


def test_refused_for_old_knowledge(caplog: pytest.LogCaptureFixture) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_runner('i-1', 'plain')
        running.store.faults.refuses = True
        await running.until(
            lambda: running.entry.known.outage_start_s is not None
        )
        running.entry.known.confirmed_s -= 5
        assert (await running.call('/look/', 'old-1')).status == 503

    fleet_bench.FleetBench().run(body)
    refused = _lines(caplog, 'old-1')[0]
    assert re.match(
        r'refused: no_configuration: keys were last confirmed \d',
        refused.getMessage(),
    )
    assert refused.__dict__['age_s'] > 4
    assert 'store does not answer: ' in _cause(caplog, 'old-1')
    assert any(
        one.getMessage().startswith('store does not answer')
        for one in caplog.records
    )
    _says('refused: no_configuration: keys were last confirmed')
