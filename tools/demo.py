"""Demonstrates the system on a small fleet; see README.md."""

import argparse
import json
import pathlib
import signal
import sys
import tempfile
import typing
import uuid

from camphorstair_standins import fleet, loopback, sites

ORGANISATION = 'gravier'
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
OUT_RULE = 'out data_centre=charny  # demo: maintenance\n'


def print_line(text: str) -> None:
    """Print one line and flush standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def authorization(running: fleet.Fleet) -> dict[str, str]:
    """Return the authorization header of a caller."""
    return {'authorization': f'Bearer {running.token(ORGANISATION)}'}


def ask_directory(running: fleet.Fleet) -> str:
    """Return the first entry address that the directory returns."""
    entry_address = running.entries[0].callers_address
    answer = loopback.http_call(entry_address, '/v1/entries').json()
    return str(answer['addresses'][0])


def stream_draft(running: fleet.Fleet, address: str) -> str:
    """Stream a completion and return its text.

    :raises fleet.FleetError: if the stream is incomplete.
    """
    body = {
        'model': 'redacteur-8b',
        'stream': True,
        'messages': [{'role': 'user', 'content': 'Draft a gate note.'}],
    }
    answer = loopback.http_call(
        address,
        '/v1/chat/completions',
        json.dumps(body).encode(),
        authorization(running),
    )
    if not answer.body.rstrip().endswith(b'data: [DONE]'):
        raise fleet.FleetError(f'the stream is incomplete: {answer.body!r}')
    return ''.join(_texts(answer.body))


def _texts(body: bytes) -> typing.Iterator[str]:
    for line in body.split(b'\n'):
        if line.startswith(b'data: {'):
            chunk = json.loads(line.removeprefix(b'data: '))
            yield chunk['choices'][0]['delta']['content']


def book(running: fleet.Fleet, address: str) -> int:
    """Make a booking and return its number."""
    headers = {**authorization(running), 'idempotency-key': str(uuid.uuid4())}
    answer = loopback.http_call(address, '/bookings', b'{"yard":4}', headers)
    return int(answer.json()['booking'])


def run_steps(running: fleet.Fleet) -> None:
    """Run the steps of the demo and print each result."""
    count = len(running.processes.by_name)
    print_line(f'{count} processes run, the first rules are in force.')
    address = ask_directory(running)
    print_line(f'The directory says to use {address}.')
    print_line(f'A draft, streamed: {stream_draft(running, address)}')
    print_line(f'A booking: number {book(running, address)}.')
    before = running.rules_path.read_text(encoding='utf-8')
    running.rules_path.write_text(before + OUT_RULE, encoding='utf-8')
    print_line(f'charny is taken out: {_one_line(running.apply())}')
    print_line(f'A draft meanwhile: {stream_draft(running, address)}')
    running.rules_path.write_text(before, encoding='utf-8')
    print_line(f'charny is brought back: {_one_line(running.apply())}')
    print_line(f'A booking after that: number {book(running, address)}.')


def _one_line(text: str) -> str:
    return ', '.join(text.split('\n')).rstrip(', ')


def keep_running(running: fleet.Fleet) -> None:
    """Print the addresses and wait for Ctrl-C.

    The stop signals are blocked only here, after the processes have started:
    a child process inherits the signal mask, and SIGTERM could not stop it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    print_line(
        json.dumps(
            {
                'entries': [vm.callers_address for vm in running.entries],
                'token': running.token(ORGANISATION),
                'rules': str(running.rules_path),
                'settings': str(
                    running.settings_path(running.entries[0].name),
                ),
                'organisation': ORGANISATION,
                'model': 'redacteur-8b',
            },
        ),
    )
    signal.sigwait(STOP_SIGNALS)


def main() -> None:
    """Run the demo, or keep the fleet running with ``--keep-running``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--keep-running', action='store_true')
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix='camphorstair-') as directory:
        running = fleet.Fleet(pathlib.Path(directory), sites.LEVIS)
        try:
            running.start()
            if options.keep_running:
                keep_running(running)
            else:
                run_steps(running)
        finally:
            running.processes.stop()
    print_line('All processes stopped gracefully.')


if __name__ == '__main__':
    main()
