"""The examples in docs/callers.md run as written."""

import pathlib
import re
import subprocess
import sys

from camphorstair_standins import fleet

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'callers.md'


def _page_text(running: fleet.Fleet) -> str:
    """Return the page's text with its placeholders filled in."""
    text = PAGE.read_text(encoding='utf-8')
    address = running.entries[0].callers_address
    text = text.replace('ENTRY', address)
    text = text.replace('TOKEN', running.token('gravier'))
    return text.replace('KEY', 'page-1')


def _run_curl_example(text: str, path: str) -> str:
    """Run the page's first curl command for a path and return its output."""
    command = next(
        block
        for block in re.findall(
            r'^    (curl(?:.*\\\n)*.*)$', text, re.MULTILINE
        )
        if path in block
    )
    process = subprocess.run(
        ['bash', '-c', command],
        capture_output=True,
        text=True,
        check=True,
    )
    return process.stdout


def test_the_client_example_prints_a_draft(small_fleet: fleet.Fleet) -> None:
    text = _page_text(small_fleet)
    example = re.findall(r'```python\n(.*?)```', text, re.DOTALL)[0]
    process = subprocess.run(
        [sys.executable, '-c', example],
        capture_output=True,
        text=True,
        check=True,
    )
    assert len(process.stdout.split()) == 20


def test_curl_examples_return_expected_responses(
    small_fleet: fleet.Fleet,
) -> None:
    text = _page_text(small_fleet)
    assert '"deadline_s":' in _run_curl_example(text, '/v1/entries')
    first = _run_curl_example(text, '/bookings')
    assert '"booking":' in first
    assert _run_curl_example(text, '/bookings') == first
