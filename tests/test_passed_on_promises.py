"""Tests that a status promises "not run" only of requests that have not run.

The statuses 408, 421, 429 and 503 promise it, whoever gave them (review/11).
"""

import types

import attrs
import curio
import fleet_bench
import pytest
import raw_endpoints

from camphorstair.fleet import dispatch
from camphorstair_core import errors
from camphorstair_core.fleet import placement, waiting
from camphorstair_platform_standins import exchange_headers, scripted
from camphorstair_runtime import closing, http_messages
from camphorstair_standins import loopback

ATTEMPT = 'a1'
OWN = (exchange_headers.ATTEMPT, ATTEMPT)
FOREIGN = (exchange_headers.ATTEMPT, 'a0')
RETRY_AFTER = ('retry-after', '1')
STATUSES = (408, 421, 429, 503)
# A status 421 says by itself that another endpoint was expected; a seal says
# that the expected one has answered.
FAILURES = (
    *((status, (OWN, exchange_headers.SEAL)) for status in STATUSES),
    *((status, (OWN,)) for status in (408, 429, 503)),
    *((status, (exchange_headers.SEAL,)) for status in STATUSES),
    *(
        (status, (OWN, exchange_headers.SEAL, RETRY_AFTER))
        for status in STATUSES
    ),
    *((status, ()) for status in (408, 429, 503)),
    *((status, (FOREIGN, exchange_headers.NOT_RUN)) for status in STATUSES),
)
# Each ends the answer in another way, after the lines of its head.
FRAMINGS = types.MappingProxyType(
    {
        'with a length': b'content-length: 6\r\n\r\nfailed',
        'in chunks': b'transfer-encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n',
        'up to the close': b'\r\nfailed',
        'without a body': b'content-length: 0\r\n\r\n',
        'cut short': b'content-length: 60\r\n\r\nfailed',
        'a chunk cut short': b'transfer-encoding: chunked\r\n\r\n60\r\nfailed',
    }
)
Script = scripted.Script
Lines = tuple[tuple[str, str], ...]


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


@attrs.define(eq=False)
class ClosingEndpoint:
    """An endpoint that closes each connection after its answer.

    :ivar content: The bytes of each answer.
    :ivar resets: Whether it resets the connections.
    """

    content: bytes
    resets: bool = False

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Answer one request and close the connection."""
        await sock.recv(65536)
        await sock.sendall(self.content)
        if self.resets:
            await curio.sleep(0.05)
            closing.reset_on_close(sock)


async def _add_closing(
    running: fleet_bench.FleetBench, service: str, endpoint: ClosingEndpoint
) -> None:
    """Register an endpoint and wait until the entry lists it."""
    address = loopback.free_address()
    await running.listen_raw(address, endpoint.serve)
    running.register('i-1', service, address)
    await running.wait_until(lambda: running.entry.endpoints.endpoints)


async def _add_route(
    running: fleet_bench.FleetBench,
    name: str,
    kind: str,
    service: str,
    **overrides: object,
) -> None:
    """Configure a route and wait until it is in force."""
    route = fleet_bench.route(name, kind, service, **overrides)
    running.configure(2, Routes=[route])
    await running.wait_until(lambda: running.entry.configuration.version == 2)


def _check_no_promise(answer: http_messages.Response) -> None:
    """Check that an answer promises nothing and is no endpoint's."""
    assert answer.status == 502
    for name, _text in (exchange_headers.SEAL, RETRY_AFTER):
        assert not http_messages.header(answer.headers, name)


# A booking that had run was answered 503 and made once more (review/11).
@pytest.mark.parametrize(('status', 'lines'), FAILURES)
def test_a_failure_that_does_not_say_not_run_promises_nothing(
    bench: fleet_bench.FleetBench, status: int, lines: Lines
) -> None:
    failure = raw_endpoints.answer(status, *lines, body=b'failed')

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', 'plain', failure)
        _check_no_promise(await running.call('/book/', ATTEMPT))

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('resets', [False, True])
def test_a_failure_promises_nothing_however_it_ends(
    bench: fleet_bench.FleetBench, status: int, framing: str, resets: bool
) -> None:
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in (OWN, exchange_headers.SEAL)
    )
    head = f'HTTP/1.1 {status} x\r\n{lines}'.encode()
    endpoint = ClosingEndpoint(head + FRAMINGS[framing], resets)

    async def body(running: fleet_bench.FleetBench) -> None:
        await _add_closing(running, 'plain', endpoint)
        _check_no_promise(await running.call('/book/', ATTEMPT))

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
def test_a_failure_after_an_interim_response_promises_nothing(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    failure = raw_endpoints.answer(status, OWN, exchange_headers.SEAL)
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', 'plain', interim + failure)
        _check_no_promise(await running.call('/book/', ATTEMPT))

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('resumable', [False, True])
def test_a_failed_stream_promises_nothing(
    bench: fleet_bench.FleetBench, status: int, resumable: bool
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _add_route(
            running, 'unsafe', 'streaming', 'engine', Resumable=resumable
        )
        engine = await running.add_endpoint('i-1', 'engine', Script(status))
        _check_no_promise(await running.call('/unsafe/'))
        assert len(engine.arrivals) == 1

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize(
    'lines', [(OWN,), (), (OWN, exchange_headers.SEAL, RETRY_AFTER)]
)
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 100 Continue\r\n\r\n'])
def test_what_says_not_run_is_refused_as_not_run(
    bench: fleet_bench.FleetBench, status: int, lines: Lines, interim: bytes
) -> None:
    refusal = raw_endpoints.answer(status, *lines, exchange_headers.NOT_RUN)

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', 'plain', interim + refusal)
        answer = await running.call('/book/', ATTEMPT)
        assert answer.status == 503
        assert http_messages.header(answer.headers, 'retry-after')
        assert not http_messages.header(
            answer.headers, exchange_headers.SEAL[0]
        )

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
def test_what_says_not_run_is_tried_elsewhere(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _add_route(running, 'twice', 'non_idempotent', 'plain')
        first = await running.add_endpoint('i-1', 'plain')
        second = await running.add_endpoint('i-2', 'plain')
        # Whichever is chosen first refuses.
        first.scripts = [Script(status, not_run=True), Script()]
        second.scripts = first.scripts
        assert (await running.call('/twice/')).status == 200
        assert len(first.arrivals) + len(second.arrivals) == 2

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
def test_a_failure_after_a_refusal_promises_nothing(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _add_route(running, 'twice', 'non_idempotent', 'plain')
        first = await running.add_endpoint('i-1', 'plain')
        second = await running.add_endpoint('i-2', 'plain')
        first.scripts = [Script(503, not_run=True), Script(status)]
        second.scripts = first.scripts
        _check_no_promise(await running.call('/twice/'))

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
def test_a_refusal_after_a_failure_promises_nothing(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        first = await running.add_endpoint('i-1', 'plain')
        second = await running.add_endpoint('i-2', 'plain')
        first.scripts = [Script(status), Script(503, not_run=True)]
        second.scripts = first.scripts
        _check_no_promise(await running.call('/look/'))
        assert len(first.arrivals) + len(second.arrivals) == 2

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
def test_a_failed_request_that_may_be_repeated_is_tried_elsewhere(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        first = await running.add_endpoint('i-1', 'plain')
        second = await running.add_endpoint('i-2', 'plain')
        first.scripts = [Script(status), Script()]
        second.scripts = first.scripts
        assert (await running.call('/look/')).status == 200

    bench.run(body)


def test_a_failed_request_that_waits_for_another_endpoint_is_promised_nothing(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _add_route(running, 'short', 'idempotent', 'plain', TimeoutMs=600)
        busy = await running.add_endpoint('i-1', 'plain', Script(delay_s=9))
        held = [
            await curio.spawn(running.call, '/short/', f'b{number}')
            for number in range(4)
        ]
        await running.wait_until(lambda: len(busy.arrivals) == 4)
        failing = await running.add_endpoint('i-2', 'plain', Script(503))
        answer = await running.call('/short/')
        assert answer.status in {502, 504}
        assert len(failing.arrivals) == 1
        for task in held:
            await task.cancel()

    bench.run(body)


# Whatever refuses the repetition, such as more urgent requests that take its
# place in the queue, can't tell that the first attempt has not run.
@pytest.mark.parametrize('status', STATUSES)
def test_a_repetition_that_is_refused_is_promised_nothing(
    bench: fleet_bench.FleetBench,
    monkeypatch: pytest.MonkeyPatch,
    status: int,
) -> None:
    acquire = dispatch.Dispatcher.acquire
    acquired: list[waiting.Waiter] = []

    async def acquire_once(
        dispatcher: dispatch.Dispatcher, service: str, waiter: waiting.Waiter
    ) -> placement.Candidate:
        acquired.append(waiter)
        if len(acquired) > 1:
            raise dispatcher.refusal(service, errors.overloaded, 'dropped')
        return await acquire(dispatcher, service, waiter)

    async def body(running: fleet_bench.FleetBench) -> None:
        monkeypatch.setattr(dispatch.Dispatcher, 'acquire', acquire_once)
        await running.add_endpoint('i-1', 'plain', Script(status))
        await running.add_endpoint('i-2', 'plain', Script(status))
        _check_no_promise(await running.call('/look/'))
        assert len(acquired) == 2

    bench.run(body)


@pytest.mark.parametrize('status', STATUSES)
def test_a_late_failure_on_a_kept_connection_promises_nothing(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    late = raw_endpoints.answer(status, FOREIGN, exchange_headers.NOT_RUN)
    failure = raw_endpoints.answer(
        status, (exchange_headers.ATTEMPT, 'a2'), exchange_headers.SEAL
    )

    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await raw_endpoints.add(
            running,
            'i-1',
            'plain',
            raw_endpoints.sealed(ATTEMPT),
            late + failure,
        )
        assert (await running.call('/look/', ATTEMPT)).status == 200
        _check_no_promise(await running.call('/look/', 'a2'))
        assert len(endpoint.requests[0]) == 2

    bench.run(body)


def test_other_failures_of_an_endpoint_are_passed_on(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain', Script(500), Script(504))
        for status in (500, 504):
            answer = await running.call('/book/')
            assert answer.status == status
            assert http_messages.header(
                answer.headers, exchange_headers.SEAL[0]
            )

    bench.run(body)
