"""Tests of answers that only the end of their connection delimits."""

import http
import socket
import struct

import attrs
import curio
import fleet_bench
import pytest

from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import http_client
from camphorstair_standins import loopback

EVENT = b'id: 1\ndata: w1\n\n'
# Closing a socket with this option resets its connection.
RESET = struct.pack('ii', 1, 0)


@attrs.define(eq=False)
class UnframedEndpoint:
    """An endpoint whose answers tell no length.

    :ivar body: The bytes of each answer.
    :ivar resets: Whether it resets the connection after them.
    """

    body: bytes
    resets: bool = False

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Answer one request and close the connection."""
        await sock.recv(65536)
        headers = exchange_headers.sealed('a1')
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers)
        head = f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode()
        await sock.sendall(head + self.body)
        if self.resets:
            await curio.sleep(0.05)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _call(
    running: fleet_bench.FleetBench,
    path: str,
    service: str,
    endpoint: UnframedEndpoint,
) -> bytes:
    """Return the body of a complete answer; empty if none came."""
    address = loopback.free_address()
    await running.listen_raw(address, endpoint.serve)
    running.register('i-1', service, address)
    await running.wait_until(lambda: running.entry.endpoints.endpoints)
    try:
        answer = await running.call(path)
    except http_client.HttpError:
        return b''
    return answer.body if answer.status == http.HTTPStatus.OK else b''


@pytest.mark.parametrize(
    ('body', 'complete'),
    [(EVENT, True), (b'id: 1\n\nid: 2\nda', False), (b'id: 1\ndat', False)],
)
def test_a_stream_is_complete_if_it_ends_after_an_event(
    bench: fleet_bench.FleetBench, body: bytes, complete: bool
) -> None:
    async def play(running: fleet_bench.FleetBench) -> None:
        endpoint = UnframedEndpoint(body)
        answer = await _call(running, '/draft/', 'engine', endpoint)
        assert bool(answer) == complete

    bench.run(play)


def test_a_stream_that_ends_before_its_first_event_is_not_complete(
    bench: fleet_bench.FleetBench,
) -> None:
    async def play(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        await running.listen_raw(address, UnframedEndpoint(b'').serve)
        running.register('i-1', 'engine', address)
        await running.wait_until(lambda: running.entry.endpoints.endpoints)
        answer = await running.call('/draft/')
        assert answer.status == http.HTTPStatus.BAD_GATEWAY

    bench.run(play)


@pytest.mark.parametrize('resets', [False, True])
def test_a_plain_answer_that_is_reset_is_not_complete(
    bench: fleet_bench.FleetBench, resets: bool
) -> None:
    async def play(running: fleet_bench.FleetBench) -> None:
        endpoint = UnframedEndpoint(b'booked', resets)
        answer = await _call(running, '/look/', 'plain', endpoint)
        assert bool(answer) != resets

    bench.run(play)
