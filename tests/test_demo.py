"""The demo site stops gracefully on SIGINT and SIGTERM."""

import json
import pathlib
import signal
import subprocess
import sys

import pytest

from camphorstair_standins import loopback

DEMO = pathlib.Path(__file__).parent.parent / 'tools' / 'demo.py'
STOP_TIMEOUT_S = 60.0


@pytest.mark.parametrize('number', [signal.SIGINT, signal.SIGTERM])
def test_a_running_site_stops_gracefully(number: signal.Signals) -> None:
    command = [sys.executable, str(DEMO), '--keep-running']
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        site = json.loads(process.stdout.readline())
        health = loopback.http_call(site['entries'][0], '/healthz')
        process.send_signal(number)
        remaining_output, _ = process.communicate(timeout=STOP_TIMEOUT_S)
    assert health.status == 200
    assert remaining_output == b'All processes stopped gracefully.\n'
    assert process.returncode == 0
    assert not any(map(loopback.listening, site['entries']))
