"""A fleet of processes that use TLS on all of their own listeners."""

import json
import pathlib
import ssl
from urllib import request

import certificates
import pytest

from camphorstair_core import vms
from camphorstair_standins import fleet, sites

SITE = sites.Site(
    region='qc-est',
    data_centres=('levis-nord', 'charny'),
    entries=1,
    endpoints={'redacteur': 1, 'comptoir': 1},
    rules=sites.LEVIS_RULES,
)


def _enable_tls(directory: pathlib.Path, text: str) -> str:
    """Return the settings with TLS in place of plain connections."""
    file_settings = (
        f'certificate = "{directory}/fleet.pem"',
        f'private_key = "{directory}/fleet-key.pem"',
        f'authority = "{directory}/fleet-authority.pem"',
    )
    return text.replace('plain = true', '\n'.join(file_settings))


def _post(running: fleet.Fleet, path: str, body: object) -> bytes:
    """Send a POST request to an entry over TLS and return the response body."""
    directory = running.directory
    context = ssl.create_default_context(
        cafile=str(directory / 'fleet-authority.pem'),
    )
    address = running.entries[0].callers_address
    http_request = request.Request(
        f'https://{address}{path}',
        json.dumps(body).encode(),
        {'authorization': f'Bearer {running.token("gravier")}'},
    )
    with request.urlopen(http_request, context=context, timeout=30) as response:
        return bytes(response.read())


def test_fleet_with_tls_serves_streams_and_bookings(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    certificates.write_certificate(tmp_path, 'fleet')
    plain_settings_text = fleet.settings_text

    def settings_text(running: fleet.Fleet, vm: vms.Vm) -> str:
        return _enable_tls(tmp_path, plain_settings_text(running, vm))

    monkeypatch.setattr(fleet, 'settings_text', settings_text)
    running = fleet.Fleet(tmp_path, SITE)
    try:
        running.start()
        body = {'model': 'redacteur-8b', 'stream': True, 'messages': []}
        draft = _post(running, '/v1/chat/completions', body)
        booking = _post(running, '/bookings', {'yard': 4})
    finally:
        running.processes.stop()
    assert draft.rstrip().endswith(b'data: [DONE]')
    assert b'"booking":1' in booking
