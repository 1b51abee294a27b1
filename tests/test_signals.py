"""Tests of what processes do with signals when they end."""

import signal
import subprocess
import sys

import pytest

# Ends as the serving processes do. Modules make the interpreter's exit longer.
ENDING = """
import sys
import curio, h11, msgspec
from camphorstair_runtime import signals
signals.watch(signals.signal.SIGHUP)
print('ready', flush=True)
sys.stdin.readline()
signals.ignore()
print('ends', flush=True)
"""
RUNS = 5


@pytest.mark.parametrize(
    'number', [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
)
def test_a_signal_while_the_interpreter_exits_does_not_end_the_process(
    number: signal.Signals,
) -> None:
    for _ in range(RUNS):
        with subprocess.Popen(
            [sys.executable, '-c', ENDING],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as process:
            assert process.stdin and process.stdout
            assert process.stdout.readline() == b'ready\n'
            process.stdin.write(b'\n')
            process.stdin.flush()
            assert process.stdout.readline() == b'ends\n'
            while process.poll() is None:
                process.send_signal(number)
        assert process.returncode == 0
