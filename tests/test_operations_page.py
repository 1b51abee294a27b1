"""The steps of docs/OPERATIONS.md find the cause of each kind of failure."""

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
def _log_at_info(caplog: pytest.LogCaptureFixture) -> None:
    """Capture log records of level INFO and above in every test."""
    caplog.set_level(logging.INFO)


def _request_records(
    caplog: pytest.LogCaptureFixture,
    request: str,
) -> list[logging.LogRecord]:
    """Return the log records of a request, as the page's grep finds them."""
    return [
        log_record
        for log_record in caplog.records
        if getattr(log_record, 'request', None) == request
    ]


def _traced_cause(caplog: pytest.LogCaptureFixture, request: str) -> str:
    """Return the cause that the page's trace command prints."""
    formatter = logs.JsonFormatter('front-1')
    lines = [
        line
        for line in map(
            log_commands.decode, map(formatter.format, caplog.records)
        )
        if line is not None
    ]
    output_lines = request_traces.trace(lines, request)
    return next(told for told in output_lines if told.startswith('cause: '))


def _assert_on_page(beginning: str) -> None:
    """Assert that the page shows a log message with this beginning."""
    assert f'"message":"{beginning}' in PAGE.read_text()


def test_overload_refusal_is_logged_and_documented(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        full = Script(status=503, not_run=True)
        await running.add_endpoint('i-1', 'plain', full)
        assert (await running.call('/book/', 'load-1')).status == 503

    fleet_bench.FleetBench().run(body)
    failed, refused = _request_records(caplog, 'load-1')
    assert failed.getMessage() == 'attempt failed: status 503'
    assert refused.getMessage().startswith('refused: overloaded')
    assert refused.__dict__['verdict'] == 'not_run'
    assert _traced_cause(caplog, 'load-1') == 'cause: endpoint i-1: status 503'
    _assert_on_page('refused: overloaded')


def test_broken_stream_is_logged_and_documented(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        broken = Script(events=5, drop_after_events=2)
        await running.add_endpoint('i-1', 'engine', broken)
        with pytest.raises(http_client.HttpError):
            await running.call('/draft/', 'cut-1')

    fleet_bench.FleetBench().run(body)
    log_records = _request_records(caplog, 'cut-1')
    assert log_records[0].getMessage().startswith('attempt failed')
    assert log_records[0].__dict__['endpoint'] == 'i-1'
    assert log_records[0].__dict__['verdict'] == 'may_have_run'
    assert log_records[-1].getMessage().startswith('refused: ')
    assert _traced_cause(caplog, 'cut-1').startswith('cause: endpoint i-1: ')
    _assert_on_page('attempt failed')
    _assert_on_page('refused: answer_broken')


def test_stale_keys_refusal_is_logged_and_documented(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        running.store.faults.refuses = True
        await running.wait_until(
            lambda: running.entry.freshness.outage_start_s is not None
        )
        running.entry.freshness.confirmed_s -= 5
        assert (await running.call('/look/', 'old-1')).status == 503

    fleet_bench.FleetBench().run(body)
    refused = _request_records(caplog, 'old-1')[0]
    assert re.match(
        r'refused: no_configuration: keys were last confirmed \d',
        refused.getMessage(),
    )
    assert refused.__dict__['age_s'] > 4
    assert 'store does not answer: ' in _traced_cause(caplog, 'old-1')
    assert any(
        log_record.getMessage().startswith('store does not answer')
        for log_record in caplog.records
    )
    _assert_on_page('refused: no_configuration: keys were last confirmed')
