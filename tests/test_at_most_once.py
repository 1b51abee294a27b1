"""Bookings through real processes: killed, stopped and repeated elsewhere."""

import signal
import time
import uuid
from concurrent import futures
from http import client

import pytest

from camphorstair_core import keys
from camphorstair_standins import fleet, loopback

ORGANISATION = 'gravier'
LIMIT_S = 30.0
SLOW = 'x-booking-s'


def book(
    running: fleet.Fleet,
    entry: int,
    key: str,
    body: bytes = b'{}',
    booking_s: str = '',
) -> loopback.HttpResponse:
    """Book through one of the entries."""
    headers = {
        'authorization': f'Bearer {running.token(ORGANISATION)}',
        'idempotency-key': key,
        SLOW: booking_s,
    }
    address = running.entries[entry].callers_address
    return loopback.http_call(address, '/bookings', body, headers)


def runs(running: fleet.Fleet, key: str) -> int:
    """Return how often a booking ran, on all endpoints together."""
    return sum(
        loopback.http_call(address, '/bookings/keys').json().get(key, 0)
        for name, address in running.endpoint_addresses.items()
        if 'comptoir' in name
    )


def verdict(answer: loopback.HttpResponse) -> str:
    """Return the verdict that an answer carries."""
    return answer.headers['x-camphorstair-verdict']


def key_of_slot(slot: int) -> str:
    """Return an undated key of a slot."""
    while True:
        key = undated_key()
        if keys.slot_of(keys.digest(ORGANISATION, 'comptoir', key)) == slot:
            return key


def dated_key_of_slot(slot: int) -> str:
    """Return a UUID of version 7 made now, of a slot."""
    while True:
        key = dated_key()
        if keys.slot_of(keys.digest(ORGANISATION, 'comptoir', key)) == slot:
            return key


def dated_key() -> str:
    """Return a UUID of version 7 made now."""
    random_bits = uuid.uuid4().int & ((1 << 80) - 1)
    made_ms = int(time.time() * 1000)
    number = (made_ms << 80) | random_bits
    number = number & ~(0xF << 76) | (7 << 76)
    return str(uuid.UUID(int=number))


def owner_of(running: fleet.Fleet, key: str) -> str:
    """Return the name of the endpoint's VM that ran a booking."""
    for name, address in running.endpoint_addresses.items():
        if 'comptoir' in name:
            counted = loopback.http_call(address, '/bookings/keys').json()
            if key in counted:
                return name
    raise loopback.WaitError(f'booking {key} did not run')


def undated_key() -> str:
    """Return a key that does not tell when it was made."""
    return str(uuid.uuid4())


def running_key(running: fleet.Fleet, name: str) -> str:
    """Return a key that an endpoint owns and has run."""
    for _ in range(100):
        key = undated_key()
        assert book(running, 0, key).status == 200
        if owner_of(running, key) == name:
            return key
    raise loopback.WaitError(f'{name} owns no key')


@pytest.fixture
def victim(small_fleet: fleet.Fleet) -> str:
    """Return the name of the agent that is to fail."""
    return next(
        vm.name for vm in small_fleet.agents if vm.service == 'comptoir'
    )


def test_a_repeat_through_another_entry_gets_the_first_answer(
    small_fleet: fleet.Fleet,
) -> None:
    key = undated_key()
    first = book(small_fleet, 0, key)
    repeat = book(small_fleet, 1, key)
    assert first.status == 200
    assert repeat.body == first.body
    assert repeat.headers['idempotent-replayed'] == 'true'
    assert runs(small_fleet, key) == 1


def test_a_repeat_joins_the_first_while_it_runs(
    small_fleet: fleet.Fleet,
) -> None:
    key = undated_key()
    with futures.ThreadPoolExecutor(4) as pool:
        answers = list(
            pool.map(lambda entry: book(small_fleet, entry % 2, key), range(4))
        )
    assert {answer.status for answer in answers} == {200}
    assert len({answer.body for answer in answers}) == 1
    assert runs(small_fleet, key) == 1


def test_a_key_is_not_for_two_requests(small_fleet: fleet.Fleet) -> None:
    key = undated_key()
    assert book(small_fleet, 0, key, b'{"yard":1}').status == 200
    other = book(small_fleet, 1, key, b'{"yard":2}')
    assert other.status == 422
    assert verdict(other) == 'not_run'


def test_a_stopped_agent_that_wakes_runs_nothing_twice(
    small_fleet: fleet.Fleet,
    victim: str,
) -> None:
    key = running_key(small_fleet, victim)
    small_fleet.processes.send(victim, signal.SIGSTOP)
    try:
        while_stopped = book(small_fleet, 1, key)
    finally:
        small_fleet.processes.send(victim, signal.SIGCONT)
    assert verdict(while_stopped) == 'may_have_run'
    assert book(small_fleet, 0, key).status == 200
    assert runs(small_fleet, key) == 1


def test_a_lost_answer_is_there_for_the_repeat(
    small_fleet: fleet.Fleet,
) -> None:
    key = undated_key()
    host, _, port = small_fleet.entries[0].callers_address.rpartition(':')
    caller = client.HTTPConnection(host, int(port))
    token = small_fleet.token(ORGANISATION)
    headers = {'authorization': f'Bearer {token}', 'idempotency-key': key}
    caller.request('POST', '/bookings', b'{}', {**headers, SLOW: '1'})
    loopback.wait_for(lambda: runs(small_fleet, key) == 1, LIMIT_S)
    caller.close()
    repeat = book(small_fleet, 1, key)
    assert repeat.status == 200
    assert runs(small_fleet, key) == 1


def test_an_agent_killed_in_a_booking_forgets_it_and_runs_no_repeat(
    small_fleet: fleet.Fleet,
    victim: str,
) -> None:
    owned = running_key(small_fleet, victim)
    slot = keys.slot_of(keys.digest(ORGANISATION, 'comptoir', owned))
    key = key_of_slot(slot)
    vm = next(vm for vm in small_fleet.agents if vm.name == victim)
    with futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(book, small_fleet, 0, key, b'{}', '60')
        loopback.wait_for(lambda: runs(small_fleet, key) == 1, LIMIT_S)
        small_fleet.processes.kill(victim)
        assert verdict(first.result()) == 'may_have_run'
    assert verdict(book(small_fleet, 1, key)) == 'may_have_run'
    small_fleet.start_vm(vm)

    def refused_by_owner() -> bool:
        answer = book(small_fleet, 1, key)
        assert verdict(answer) == 'may_have_run'
        return bool(answer.json()['error']['code'] == 'may_have_run')

    loopback.wait_for(refused_by_owner, LIMIT_S)
    assert runs(small_fleet, key) == 1
    # A key made after the new start can not have run before it.
    loopback.wait_for(
        lambda: book(small_fleet, 1, dated_key_of_slot(slot)).status == 200,
        LIMIT_S,
    )
