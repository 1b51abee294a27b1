"""Tests that only a whole answer in the protocol is passed on to a caller.

What an endpoint sends is checked at one place, ``http_client``, before any of
it is used.
"""

import http

import curio
import fleet_bench
import pytest
import raw_endpoints

from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import http_client, http_messages
from camphorstair_standins import loopback

BODY = b'id: 1\ndata: y\n\n'
OTHER_STATUSES = (
    '000',
    '001',
    '099',
    '101',
    '600',
    '700',
    '999',
    '1000',
    '20',
    '2',
    '',
    '-20',
    '+20',
    '2e2',
    '0200',
)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def _answer(status: str, body: bytes = BODY) -> bytes:
    """Return a sealed answer to the attempt a1 with any text as its status."""
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in exchange_headers.sealed('a1')
    )
    head = f'HTTP/1.1 {status} x\r\n{lines}content-length: {len(body)}\r\n\r\n'
    return head.encode() + body


# A runner in trouble sent an answer whose status was 000, and its caller got it.
@pytest.mark.parametrize('status', OTHER_STATUSES)
@pytest.mark.parametrize(
    ('path', 'service'),
    [('/book/', 'plain'), ('/look/', 'plain'), ('/draft/', 'engine')],
)
def test_an_answer_with_an_unknown_status_is_not_passed_on(
    bench: fleet_bench.FleetBench, path: str, service: str, status: str
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', service, _answer(status))
        answer = await running.call(path)
        # It may have run, so no status promises that it has not.
        assert answer.status == http.HTTPStatus.BAD_GATEWAY
        assert exchange_headers.SEAL not in answer.headers
        candidate = running.entry.candidates['i-1']
        assert candidate.health.failures

    bench.run(body)


@pytest.mark.parametrize('status', [200, 299, 300, 404, 500, 599])
def test_a_final_status_is_passed_on_as_it_is(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', 'plain', _answer(str(status)))
        answer = await running.call('/book/')
        assert answer.status == status
        assert exchange_headers.SEAL in answer.headers

    bench.run(body)


# A runner stopped in the middle of its answer's head and closed; callers got a
# 200 with an empty body that was framed as whole.
@pytest.mark.parametrize(
    ('path', 'service'), [('/book/', 'plain'), ('/draft/', 'engine')]
)
def test_an_answer_that_stops_at_any_byte_is_not_passed_on_as_whole(
    bench: fleet_bench.FleetBench, path: str, service: str
) -> None:
    whole = _answer('200')
    stops: list[int] = []

    async def stop_early(sock: curio.io.Socket, _address: object) -> None:
        if await sock.recv(65536):
            await sock.sendall(whole[: stops[-1]])

    async def body(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        await running.listen_raw(address, stop_early)
        running.register('i-1', service, address)
        known = running.entry.endpoints.endpoints
        await running.wait_until(lambda: 'i-1' in known)
        while len(stops) < len(whole):
            stops.append(len(stops))
            assert await _body_of_whole(running, path) is None, stops[-1]
        stops.append(len(whole))
        assert await _body_of_whole(running, path) == BODY

    bench.run(body)


async def _body_of_whole(
    running: fleet_bench.FleetBench, path: str
) -> bytes | None:
    """Return the body of a success that is framed as whole; None if it is not."""
    try:
        answer = await running.call(path)
    except http_client.HttpError:
        return None
    return answer.body if answer.status == http.HTTPStatus.OK else None


# The stand-alone product's agent, and calls to the store, read answers with the
# same client.
@pytest.mark.parametrize('sent', [*OTHER_STATUSES, None])
def test_each_client_refuses_what_is_no_whole_answer(sent: str | None) -> None:
    content = _answer('200')[:40] if sent is None else _answer(sent)

    async def serve(sock: curio.io.Socket, _address: object) -> None:
        await sock.recv(65536)
        await sock.sendall(content)

    async def body(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        await running.listen_raw(address, serve)
        request = http_messages.Request('GET', '/', [], b'')
        with pytest.raises(http_client.HttpError) as failed:
            await http_client.fetch(address, request)
        assert failed.value.sent

    fleet_bench.FleetBench().run(body)
