"""The examples of the callers' page work as written."""

import pathlib
import re
import subprocess
import sys

from camphorstair_standins import fleet

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'callers.md'


def _filled(running: fleet.Fleet) -> str:
    text = PAGE.read_text(encoding='utf-8')
    address = running.entries[0].callers_address
    text = text.replace('ENTRY', address)
    text = text.replace('TOKEN', running.token('gravier'))
    return text.replace('KEY', 'page-1')


def _curl(text: str, path: str) -> str:
    command = next(
        block
        for block in re.findall(
            r'^    (curl(?:.*\\\n)*.*)$', text, re.MULTILINE
        )
        if path in block
    )
    done = subprocess.run(
        ['bash', '-c', command],
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def test_the_client_example_prints_a_draft(small_fleet: fleet.Fleet) -> None:
    text = _filled(small_fleet)
    example = re.findall(r'```python\n(.*?)```', text, re.DOTALL)[0]
    done = subprocess.run(
        [sys.executable, '-c', example],
        capture_output=True,
        text=True,
        check=True,
    )
    assert len(done.stdout.split()) == 20


def test_the_curl_examples_answer(small_fleet: fleet.Fleet) -> None:
    text = _filled(small_fleet)
    assert '"deadline_s":' in _curl(text, '/v1/entries')
    first = _curl(text, '/bookings')
    assert '"booking":' in first
    assert _curl(text, '/bookings') == first
