"""Tests that the verdict on a request decides which status its caller gets."""

import uuid

import pytest

from camphorstair_core import errors, verdicts
from camphorstair_runtime import http_messages
from camphorstair_standins import fleet, loopback

STATUSES = (408, 421, 429, 503)
CODES = tuple(
    code
    for code in errors.__dict__.values()
    if isinstance(code, errors.ErrorCode)
)


def _book(
    running: fleet.Fleet, status: int, key: str = ''
) -> loopback.HttpResponse:
    """Make a booking that its service runs, then answers with a status."""
    headers = {
        'authorization': f'Bearer {running.token("gravier")}',
        'x-booking-status': str(status),
    }
    if key:
        headers['idempotency-key'] = key
    address = running.entries[0].callers_address
    return loopback.http_call(address, '/bookings', b'{}', headers)


# A service's own 503 to a booking that it had run reached the caller, who
# takes it for the promise that nothing has run (review/11).
@pytest.mark.parametrize('status', STATUSES)
def test_a_refusal_by_a_service_that_has_run_the_booking_is_not_passed_on(
    small_fleet: fleet.Fleet, status: int
) -> None:
    answer = _book(small_fleet, status)
    assert answer.status == 502
    assert answer.headers['x-camphorstair-verdict'] == 'ran'
    assert 'retry-after' not in answer.headers


@pytest.mark.parametrize('status', STATUSES)
def test_a_refusal_that_is_kept_for_a_key_is_not_passed_on(
    small_fleet: fleet.Fleet, status: int
) -> None:
    key = str(uuid.uuid4())
    for _ in range(2):
        answer = _book(small_fleet, status, key)
        assert answer.status == 502
        assert answer.headers['x-camphorstair-verdict'] == 'ran'


def test_other_failures_of_a_service_are_passed_on(
    small_fleet: fleet.Fleet,
) -> None:
    for status in (500, 504, 409):
        assert _book(small_fleet, status).status == status


# Without its owner's word on a key, a request was refused with 503 or 429
# although an earlier one with the key may have run.
@pytest.mark.parametrize('code', CODES, ids=lambda code: code.name)
@pytest.mark.parametrize('verdict', verdicts.Verdict)
def test_only_what_has_not_run_gets_a_status_that_promises_so(
    code: errors.ErrorCode, verdict: verdicts.Verdict
) -> None:
    error = errors.RequestError(code, 'message', verdict, 1.0)
    status = http_messages.error_response(error).status
    if verdict is verdicts.Verdict.not_run:
        assert status == code.status
    else:
        assert status not in STATUSES
        assert status in {code.status, 502}
