"""Event streams survive the loss of an agent or an engine.

Real agents, engines and entries are killed or stopped in the middle of a
stream. Where another endpoint can resume it, the caller must get the text of
an undisturbed stream. Otherwise, the caller must get an error or a stream that
is visibly broken.
"""

import contextlib
import itertools
import json
import signal
import typing
from collections import abc
from http import client as http_client

import pytest

from camphorstair_core import vms
from camphorstair_standins import fleet, loopback, sites

ENGINE_SETTINGS = '{"tokens":80,"token_interval_s":0.02,"repeated_events":3}'
WAIT_LIMIT_S = 20.0
SITE = sites.Site(
    region='qc-est',
    data_centres=('levis-nord',),
    entries=1,
    endpoints={'redacteur': 2},
    rules="""\
service name=redacteur kind=engine in_flight=8 cold_in_flight=4  # tests
model name=redacteur-8b service=redacteur                        # tests
organisation name=gravier in_flight=40                           # tests
route path=/v1/chat/completions service=redacteur                # tests
""",
)


@pytest.fixture(scope='module')
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[fleet.Fleet]:
    """Yield a fleet whose slow engines resend 3 events after a resumption."""
    started = fleet.Fleet(tmp_path_factory.mktemp('fleet'), SITE)
    started.engine_settings = ENGINE_SETTINGS
    try:
        started.start()
        yield started
    finally:
        started.processes.stop()


@pytest.fixture(scope='module')
def undisturbed(running: fleet.Fleet) -> bytes:
    """Return the whole body of a stream without failures."""
    with _open_stream(running) as answer:
        return answer.read()


@contextlib.contextmanager
def _open_stream(
    running: fleet.Fleet,
    timeout_ms: str = '',
    prompt: str = 'Draft a note.',
) -> abc.Iterator[http_client.HTTPResponse]:
    """Request a streamed completion and yield the open response.

    :param running: The fleet.
    :param timeout_ms: Value of the timeout header; empty to leave it out.
    :param prompt: The user's message.
    :yields: The response, whose body is still to be read.
    """
    address = running.entries[0].callers_address
    caller = http_client.HTTPConnection(address, timeout=WAIT_LIMIT_S)
    chat_messages = [{'role': 'user', 'content': prompt}]
    body = {'model': 'redacteur-8b', 'stream': True, 'messages': chat_messages}
    authorization = f'Bearer {running.token("gravier")}'
    request_headers = {'authorization': authorization}
    if timeout_ms:
        request_headers['x-camphorstair-timeout-ms'] = timeout_ms
    path = '/v1/chat/completions'
    caller.request('POST', path, json.dumps(body), request_headers)
    with contextlib.closing(caller):
        yield caller.getresponse()


def _read_events(answer: http_client.HTTPResponse, count: int) -> bytes:
    """Return the next events of a stream, each of three lines."""
    return b''.join(answer.readline() for _ in range(count * 3))


def _stats(running: fleet.Fleet, vm: vms.Vm) -> dict[str, typing.Any]:
    """Return the counters of a VM's engine."""
    address = running.endpoint_addresses[vm.name]
    stats: dict[str, typing.Any] = loopback.http_call(address, '/stats').json()
    return stats


def _busy_agent(running: fleet.Fleet) -> vms.Vm:
    """Return the agent whose engine handles a request."""
    return next(vm for vm in running.agents if _stats(running, vm)['in_flight'])


def _wait_ready(running: fleet.Fleet) -> None:
    """Wait until both endpoints serve requests again.

    Otherwise the failure that one test causes could affect the next.
    """
    unserved = {vm.name for vm in running.agents}
    prompts = itertools.count()

    def all_served() -> bool:
        with _open_stream(running, prompt=str(next(prompts))) as answer:
            _read_events(answer, 1)
            unserved.discard(_busy_agent(running).name)
        return not unserved

    loopback.wait_for(all_served, WAIT_LIMIT_S * 2)


def _restart(running: fleet.Fleet, vm: vms.Vm) -> None:
    """Start a killed agent and wait until both endpoints serve requests."""
    running.start_vm(vm)
    loopback.wait_for(
        lambda: loopback.listening(vm.peers_address), WAIT_LIMIT_S
    )
    _wait_ready(running)


def test_a_killed_agent_does_not_break_the_stream(
    running: fleet.Fleet,
    undisturbed: bytes,
) -> None:
    with _open_stream(running) as answer:
        first_events = _read_events(answer, 5)
        victim = _busy_agent(running)
        running.processes.kill(victim.name)
        text = first_events + answer.read()
    _restart(running, victim)
    assert text == undisturbed


def test_a_stopped_agent_does_not_break_the_stream(
    running: fleet.Fleet,
    undisturbed: bytes,
) -> None:
    with _open_stream(running) as answer:
        first_events = _read_events(answer, 5)
        victim = _busy_agent(running)
        running.processes.send(victim.name, signal.SIGSTOP)
        try:
            text = first_events + answer.read()
        finally:
            running.processes.send(victim.name, signal.SIGCONT)
    _wait_ready(running)
    assert text == undisturbed


def test_a_killed_engine_does_not_break_the_stream(
    running: fleet.Fleet,
    undisturbed: bytes,
) -> None:
    with _open_stream(running) as answer:
        first_events = _read_events(answer, 5)
        victim = _busy_agent(running)
        name = f'{victim.name}-endpoint'
        command = running.processes.by_name[name].args
        running.processes.kill(name)
        text = first_events + answer.read()
    assert isinstance(command, list)
    running.processes.spawn(name, command)
    address = running.endpoint_addresses[victim.name]
    loopback.wait_for(lambda: loopback.listening(address), WAIT_LIMIT_S)
    _wait_ready(running)
    assert text == undisturbed


def test_the_deadline_ends_a_stream_of_stopped_agents(
    running: fleet.Fleet,
) -> None:
    with _open_stream(running, '700') as answer:
        _read_events(answer, 5)
        for vm in running.agents:
            running.processes.send(vm.name, signal.SIGSTOP)
        try:
            with pytest.raises(http_client.IncompleteRead) as broken:
                answer.read()
        finally:
            for vm in running.agents:
                running.processes.send(vm.name, signal.SIGCONT)
    assert b'"deadline_exceeded"' in broken.value.partial
    _wait_ready(running)


@pytest.mark.parametrize('given', ['0', '-1', '1.5', 'soon', '9' * 12])
def test_a_wrong_timeout_is_refused(running: fleet.Fleet, given: str) -> None:
    with _open_stream(running, given) as answer:
        refusal = json.loads(answer.read())
    assert answer.status == 400
    assert f'not "{given}"' in refusal['error']['message']


def test_a_cancelled_caller_cancels_the_engine(running: fleet.Fleet) -> None:
    with _open_stream(running) as answer:
        _read_events(answer, 5)
        victim = _busy_agent(running)
        before = _stats(running, victim)['cancelled']
    loopback.wait_for(
        lambda: _stats(running, victim)['cancelled'] == before + 1,
        WAIT_LIMIT_S,
    )


def test_entry_crash_breaks_stream_of_caller(running: fleet.Fleet) -> None:
    entry = running.entries[0]
    with _open_stream(running) as answer:
        _read_events(answer, 5)
        running.processes.kill(entry.name)
        with pytest.raises((http_client.IncompleteRead, ConnectionError)):
            answer.read()
    running.start_vm(entry)
    address = entry.callers_address
    loopback.wait_for(lambda: loopback.listening(address), WAIT_LIMIT_S)
