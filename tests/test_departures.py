"""Entries and agents shut down gracefully while requests are in flight."""

import json
import pathlib
import signal
import socket
import typing
from collections import abc
from concurrent import futures

import curio
import pytest

from camphorstair_core import messages, vms
from camphorstair_runtime import links, settings
from camphorstair_standins import fleet, loopback, sites

WAIT_LIMIT_S = 20.0
SITE = sites.Site(
    region='qc-est',
    data_centres=('levis-nord', 'levis-sud'),
    entries=1,
    endpoints={'redacteur': 1, 'comptoir': 1},
    rules=sites.LEVIS_RULES,
)
DRAFT_BODY = json.dumps(
    {'model': 'redacteur-8b', 'stream': True, 'messages': []},
).encode()


@pytest.fixture
def slow_fleet(tmp_path: pathlib.Path) -> abc.Iterator[fleet.Fleet]:
    """Yield a fleet whose answers take one to two seconds."""
    running = fleet.Fleet(tmp_path, SITE)
    running.engine_settings = '{"tokens":60,"token_interval_s":0.03}'
    running.booking_s = 1.0
    running.shutdown_limit_s = 10.0
    try:
        running.start()
        yield running
    finally:
        running.processes.stop()


@pytest.fixture
def patient_fleet(
    tmp_path: pathlib.Path,
) -> abc.Iterator[fleet.Fleet]:
    """Yield a fleet whose directory answers are valid for 8 seconds.

    A leaving entry keeps serving until every directory answer that names it
    has expired.
    """
    running = fleet.Fleet(tmp_path, SITE)
    running.engine_settings = '{"tokens":60,"token_interval_s":0.03}'
    running.answer_lifetime_s = 8.0
    running.shutdown_limit_s = 15.0
    try:
        running.start()
        yield running
    finally:
        running.processes.stop()


def headers(running: fleet.Fleet) -> dict[str, str]:
    """Return the headers that authorise a request."""
    return {'authorization': f'Bearer {running.token("gravier")}'}


def draft(running: fleet.Fleet, entry: vms.Vm) -> loopback.HttpResponse:
    """Request a streamed completion and return the whole answer."""
    path = '/v1/chat/completions'
    return loopback.http_call(
        entry.callers_address, path, DRAFT_BODY, headers(running)
    )


def book(running: fleet.Fleet, entry: vms.Vm) -> loopback.HttpResponse:
    """Send a booking and return the answer."""
    return loopback.http_call(
        entry.callers_address, '/bookings', b'{}', headers(running)
    )


def busy_agent(running: fleet.Fleet, service: str) -> vms.Vm:
    """Wait until an endpoint of a service is busy and return its VM."""
    busy: list[vms.Vm] = []

    def any_busy() -> bool:
        for vm in running.agents:
            if vm.service == service and endpoint_is_busy(running, vm):
                busy.append(vm)
        return bool(busy)

    loopback.wait_for(any_busy, WAIT_LIMIT_S)
    return busy[0]


def endpoint_is_busy(running: fleet.Fleet, vm: vms.Vm) -> bool:
    """Return whether a VM's endpoint has run a booking or serves a draft."""
    address = running.endpoint_addresses[vm.name]
    if vm.service == 'comptoir':
        return bool(loopback.http_call(address, '/runs').json())
    return bool(loopback.http_call(address, '/stats').json()['in_flight'])


def terminate(running: fleet.Fleet, name: str) -> None:
    """Send SIGTERM to a process."""
    running.processes.send(name, signal.SIGTERM)


def exit_code(running: fleet.Fleet, name: str) -> int:
    """Wait until a process ends and return its exit code."""
    return running.processes.by_name[name].wait(WAIT_LIMIT_S)


@pytest.mark.parametrize('who', ['entry', 'agent'])
def test_sigterm_lets_running_stream_finish(
    slow_fleet: fleet.Fleet, who: str
) -> None:
    entry = slow_fleet.entries[0]
    with futures.ThreadPoolExecutor() as pool:
        call = pool.submit(draft, slow_fleet, entry)
        agent = busy_agent(slow_fleet, 'redacteur')
        name = entry.name if who == 'entry' else agent.name
        terminate(slow_fleet, name)
        answer = call.result()
    assert answer.body.endswith(b'data: [DONE]\n\n')
    assert answer.body.count(b'"content"') == 61
    assert exit_code(slow_fleet, name) == 0


@pytest.mark.parametrize('who', ['entry', 'agent'])
def test_sigterm_lets_running_booking_finish(
    slow_fleet: fleet.Fleet, who: str
) -> None:
    entry = slow_fleet.entries[0]
    with futures.ThreadPoolExecutor() as pool:
        call = pool.submit(book, slow_fleet, entry)
        agent = busy_agent(slow_fleet, 'comptoir')
        name = entry.name if who == 'entry' else agent.name
        terminate(slow_fleet, name)
        assert call.result().json()['booking'] == 1
    assert exit_code(slow_fleet, name) == 0


def test_reached_shutdown_limit_is_logged(slow_fleet: fleet.Fleet) -> None:
    slow_fleet.shutdown_limit_s = 0.2
    entry = slow_fleet.entries[1]
    terminate(slow_fleet, entry.name)
    assert exit_code(slow_fleet, entry.name) == 0
    slow_fleet.start_vm(entry)
    loopback.wait_for(lambda: is_healthy(entry), WAIT_LIMIT_S)
    with futures.ThreadPoolExecutor() as pool:
        call = pool.submit(draft, slow_fleet, entry)
        busy_agent(slow_fleet, 'redacteur')
        terminate(slow_fleet, entry.name)
        assert call.exception() is not None
    assert exit_code(slow_fleet, entry.name) == 0
    log = slow_fleet.processes.log_path(entry.name).read_text()
    assert 'shutdown limit of 0.' in log


def is_healthy(entry: vms.Vm) -> bool:
    """Return whether an entry listens and reports that it is healthy."""
    address = entry.callers_address
    if not loopback.listening(address):
        return False
    return loopback.http_call(address, '/healthz').status == 200


def test_partly_received_request_is_served_after_sigterm(
    slow_fleet: fleet.Fleet,
) -> None:
    entry = slow_fleet.entries[0]
    host, port = settings.split_address(entry.callers_address)
    token = headers(slow_fleet)['authorization']
    with socket.create_connection((host, port), WAIT_LIMIT_S) as sock:
        sock.sendall(b'POST /bookings HTTP/1.1\r\nhost: entry\r\n')
        wait_until_read(slow_fleet, entry)
        terminate(slow_fleet, entry.name)
        wait_leaving(slow_fleet, entry)
        rest_of_request = (
            f'authorization: {token}\r\ncontent-length: 2\r\n\r\n{{}}'
        )
        sock.sendall(rest_of_request.encode())
        answer = b''.join(iter(lambda: sock.recv(65536), b''))
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in answer.lower()
    assert b'"booking":1' in answer


def wait_until_read(running: fleet.Fleet, entry: vms.Vm) -> None:
    """Wait until an entry has had time to read the bytes sent before."""
    assert loopback.http_call(entry.callers_address, '/healthz').status == 200


def wait_leaving(running: fleet.Fleet, entry: vms.Vm) -> None:
    """Wait until an entry has logged that it is shutting down."""
    path = running.processes.log_path(entry.name)
    loopback.wait_for(lambda: 'shutting down' in path.read_text(), WAIT_LIMIT_S)


def test_the_directory_leaves_out_a_leaving_entry_at_once(
    patient_fleet: fleet.Fleet,
) -> None:
    leaving_entry, remaining_entry = patient_fleet.entries
    path = '/v1/entries'
    directory = loopback.http_call(remaining_entry.callers_address, path).json()
    assert leaving_entry.callers_address in directory['addresses']
    with futures.ThreadPoolExecutor() as pool:
        call = pool.submit(draft, patient_fleet, leaving_entry)
        busy_agent(patient_fleet, 'redacteur')
        terminate(patient_fleet, leaving_entry.name)
        log = patient_fleet.processes.log_path(remaining_entry.name)
        loopback.wait_for(
            lambda: 'peer leaves' in log.read_text(), WAIT_LIMIT_S
        )
        for entry in (remaining_entry, leaving_entry):
            directory = loopback.http_call(entry.callers_address, path).json()
            assert directory['addresses'] == [remaining_entry.callers_address]
        assert call.result().body.endswith(b'data: [DONE]\n\n')


def test_the_directory_leaves_out_an_entry_that_died(
    slow_fleet: fleet.Fleet,
) -> None:
    killed_entry, remaining_entry = slow_fleet.entries
    path = '/v1/entries'

    def listed_addresses() -> list[str]:
        answer = loopback.http_call(remaining_entry.callers_address, path)
        return list(answer.json()['addresses'])

    assert killed_entry.callers_address in listed_addresses()
    slow_fleet.processes.kill(killed_entry.name)
    loopback.wait_for(
        lambda: listed_addresses() == [remaining_entry.callers_address],
        WAIT_LIMIT_S,
    )
    slow_fleet.start_vm(killed_entry)
    loopback.wait_for(
        lambda: killed_entry.callers_address in listed_addresses(), WAIT_LIMIT_S
    )


def test_a_request_to_a_leaving_agent_is_refused_as_not_run(
    slow_fleet: fleet.Fleet,
) -> None:
    with futures.ThreadPoolExecutor() as pool:
        call = pool.submit(draft, slow_fleet, slow_fleet.entries[0])
        agent = busy_agent(slow_fleet, 'redacteur')
        replies = curio.run(_send_to_leaving_agent, slow_fleet, agent)
        assert call.result().body.endswith(b'data: [DONE]\n\n')
    assert [type(reply) for reply in replies] == [
        messages.RequestRefused,
        messages.RequestRefused,
    ]
    assert replies[0].request_id == 'late'
    assert {reply.code for reply in replies} == {'leaving'}


async def _send_to_leaving_agent(
    running: fleet.Fleet,
    agent: vms.Vm,
) -> list[typing.Any]:
    """Send a request to a leaving agent and return its two messages.

    The first refuses the request. The second has no request identifier; it
    says that the link ends and that no later request was read.
    """
    host, port = settings.split_address(agent.peers_address)
    link = await links.connect(host, port, None, WAIT_LIMIT_S)
    await link.call(messages.StatusRequest())
    terminate(running, agent.name)
    status: typing.Any = await link.call(messages.StatusRequest())
    while not status.leaving:
        status = await link.call(messages.StatusRequest())
    start = messages.RequestStart(
        request_id='late',
        attempt=1,
        service='redacteur',
        organisation='gravier',
        priority=1,
        idempotent=False,
        idempotency_key='',
        method='POST',
        path='/v1/chat/completions',
        headers=[],
        body=DRAFT_BODY,
        remaining_ms=1000,
    )
    await link.send(start)
    refused = await link.receive()
    link_refusal = await link.receive()
    await link.close()
    return [refused, link_refusal]
