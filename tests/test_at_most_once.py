"""A request with an idempotency key runs at most once.

Bookings are sent through real processes. Agents are killed or stopped while a
booking runs, and the request is repeated through another entry.
"""

import signal
import time
import uuid
from concurrent import futures
from http import client

import pytest

from camphorstair_core import keys
from camphorstair_standins import fleet, loopback

ORGANISATION = 'gravier'
WAIT_LIMIT_S = 30.0
DURATION_HEADER = 'x-booking-s'


def book(
    running: fleet.Fleet,
    entry: int,
    key: str,
    body: bytes = b'{}',
    booking_s: str = '',
) -> loopback.HttpResponse:
    """Send a booking through an entry and return the answer.

    :param running: The fleet.
    :param entry: Index of the entry.
    :param key: The idempotency key.
    :param body: The request's body.
    :param booking_s: How long the booking takes; empty for the default.
    :returns: The entry's answer.
    """
    headers = {
        'authorization': f'Bearer {running.token(ORGANISATION)}',
        'idempotency-key': key,
        DURATION_HEADER: booking_s,
    }
    address = running.entries[entry].callers_address
    return loopback.http_call(address, '/bookings', body, headers)


def count_runs(running: fleet.Fleet, key: str) -> int:
    """Return how often a booking ran, summed over all endpoints."""
    return sum(
        loopback.http_call(address, '/bookings/keys').json().get(key, 0)
        for name, address in running.endpoint_addresses.items()
        if 'comptoir' in name
    )


def verdict(answer: loopback.HttpResponse) -> str:
    """Return the verdict in an answer's headers."""
    return answer.headers['x-camphorstair-verdict']


def key_of_slot(slot: int) -> str:
    """Return a random key, without a timestamp, that falls into a slot."""
    while True:
        key = undated_key()
        if keys.slot_of(keys.digest(ORGANISATION, 'comptoir', key)) == slot:
            return key


def dated_key_of_slot(slot: int) -> str:
    """Return a UUIDv7 of the current time that falls into a slot."""
    while True:
        key = dated_key()
        if keys.slot_of(keys.digest(ORGANISATION, 'comptoir', key)) == slot:
            return key


def dated_key() -> str:
    """Return a UUIDv7 of the current time."""
    random_bits = uuid.uuid4().int & ((1 << 80) - 1)
    timestamp_ms = int(time.time() * 1000)
    number = (timestamp_ms << 80) | random_bits
    number = number & ~(0xF << 76) | (7 << 76)
    return str(uuid.UUID(int=number))


def owner_name(running: fleet.Fleet, key: str) -> str:
    """Return the name of the VM whose endpoint ran a booking.

    :param running: The fleet.
    :param key: The booking's idempotency key.
    :returns: The VM's name.
    :raises WaitError: If no endpoint ran the booking.
    """
    for name, address in running.endpoint_addresses.items():
        if 'comptoir' in name:
            runs_by_key = loopback.http_call(address, '/bookings/keys').json()
            if key in runs_by_key:
                return name
    raise loopback.WaitError(f'booking {key} did not run')


def undated_key() -> str:
    """Return a random key without a timestamp (UUIDv4)."""
    return str(uuid.uuid4())


def completed_key_of(running: fleet.Fleet, name: str) -> str:
    """Run bookings until a VM's endpoint has run one, and return its key.

    :param running: The fleet.
    :param name: The name of the VM.
    :returns: The key of a booking that the VM's endpoint ran.
    :raises WaitError: If 100 random keys all ran elsewhere.
    """
    for _ in range(100):
        key = undated_key()
        assert book(running, 0, key).status == 200
        if owner_name(running, key) == name:
            return key
    raise loopback.WaitError(f'{name} owns no key')


@pytest.fixture
def victim(small_fleet: fleet.Fleet) -> str:
    """Return the name of the agent that the test kills or stops."""
    return next(
        vm.name for vm in small_fleet.agents if vm.service == 'comptoir'
    )


def test_retry_through_other_entry_replays_stored_response(
    small_fleet: fleet.Fleet,
) -> None:
    key = undated_key()
    first = book(small_fleet, 0, key)
    repeat = book(small_fleet, 1, key)
    assert first.status == 200
    assert repeat.body == first.body
    assert repeat.headers['idempotent-replayed'] == 'true'
    assert count_runs(small_fleet, key) == 1


def test_concurrent_requests_with_same_key_run_once(
    small_fleet: fleet.Fleet,
) -> None:
    key = undated_key()
    with futures.ThreadPoolExecutor(4) as pool:
        answers = list(
            pool.map(lambda entry: book(small_fleet, entry % 2, key), range(4))
        )
    assert {answer.status for answer in answers} == {200}
    assert len({answer.body for answer in answers}) == 1
    assert count_runs(small_fleet, key) == 1


def test_reused_key_with_different_body_is_rejected(
    small_fleet: fleet.Fleet,
) -> None:
    key = undated_key()
    assert book(small_fleet, 0, key, b'{"yard":1}').status == 200
    conflicting_answer = book(small_fleet, 1, key, b'{"yard":2}')
    assert conflicting_answer.status == 422
    assert verdict(conflicting_answer) == 'not_run'


def test_retry_during_and_after_agent_pause_runs_once(
    small_fleet: fleet.Fleet,
    victim: str,
) -> None:
    key = completed_key_of(small_fleet, victim)
    small_fleet.processes.send(victim, signal.SIGSTOP)
    try:
        answer_while_stopped = book(small_fleet, 1, key)
    finally:
        small_fleet.processes.send(victim, signal.SIGCONT)
    assert verdict(answer_while_stopped) == 'may_have_run'
    assert book(small_fleet, 0, key).status == 200
    assert count_runs(small_fleet, key) == 1


def test_retry_after_caller_disconnect_succeeds_without_rerun(
    small_fleet: fleet.Fleet,
) -> None:
    key = undated_key()
    host, _, port = small_fleet.entries[0].callers_address.rpartition(':')
    caller = client.HTTPConnection(host, int(port))
    token = small_fleet.token(ORGANISATION)
    headers = {'authorization': f'Bearer {token}', 'idempotency-key': key}
    caller.request(
        'POST', '/bookings', b'{}', {**headers, DURATION_HEADER: '1'}
    )
    loopback.wait_for(lambda: count_runs(small_fleet, key) == 1, WAIT_LIMIT_S)
    caller.close()
    repeat = book(small_fleet, 1, key)
    assert repeat.status == 200
    assert count_runs(small_fleet, key) == 1


def test_key_in_flight_at_agent_crash_is_not_rerun(
    small_fleet: fleet.Fleet,
    victim: str,
) -> None:
    owned_key = completed_key_of(small_fleet, victim)
    slot = keys.slot_of(keys.digest(ORGANISATION, 'comptoir', owned_key))
    key = key_of_slot(slot)
    vm = next(vm for vm in small_fleet.agents if vm.name == victim)
    with futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(book, small_fleet, 0, key, b'{}', '60')
        loopback.wait_for(
            lambda: count_runs(small_fleet, key) == 1, WAIT_LIMIT_S
        )
        small_fleet.processes.kill(victim)
        assert verdict(first.result()) == 'may_have_run'
    assert verdict(book(small_fleet, 1, key)) == 'may_have_run'
    small_fleet.start_vm(vm)

    def refused_by_owner() -> bool:
        answer = book(small_fleet, 1, key)
        assert verdict(answer) == 'may_have_run'
        return bool(answer.json()['error']['code'] == 'may_have_run')

    loopback.wait_for(refused_by_owner, WAIT_LIMIT_S)
    assert count_runs(small_fleet, key) == 1
    # A key dated after the agent's restart can't have run before it.
    loopback.wait_for(
        lambda: book(small_fleet, 1, dated_key_of_slot(slot)).status == 200,
        WAIT_LIMIT_S,
    )
