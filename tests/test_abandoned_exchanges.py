"""Tests that a request that nobody waits for any more does not arrive late.

A connection that is closed in good order delivers what is held up on the way,
for example until a frozen VM wakes; one that is reset does not.
"""

import socket
from collections import abc

import curio
import fleet_bench
import pytest

from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import (
    closing,
    http_client,
    http_messages,
    persistent_connection,
)
from camphorstair_standins import loopback

RESET = 'reset'
CLOSED = 'closed'
ANSWER = b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
# The caller leaves while its endpoint is silent.
LEAVE_S = 0.2


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


class Endpoint:
    """An endpoint that notes how its connections end.

    :ivar ends: How they ended.
    """

    def __init__(self, answer: bytes = b'') -> None:
        """Set what is answered to a request."""
        self.answer = answer
        self.ends: list[str] = []

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Read one request, answer it and wait for the end."""
        try:
            if not await sock.recv(65536):
                return
            await sock.sendall(self.answer)
            while await sock.recv(65536):
                await curio.sleep(0)
        except ConnectionResetError:
            self.ends.append(RESET)
        else:
            self.ends.append(CLOSED)


# Requests reached a rank as its VM woke, seconds after their callers had left.
@pytest.mark.parametrize(
    ('path', 'service'),
    [('/book/', 'plain'), ('/look/', 'plain'), ('/draft/', 'engine')],
)
def test_a_request_whose_caller_has_left_is_withdrawn(
    bench: fleet_bench.FleetBench, path: str, service: str
) -> None:
    endpoint = Endpoint()

    async def body(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        await running.listen_raw(address, endpoint.serve)
        running.register('i-1', service, address)
        await running.wait_until(lambda: running.entry.endpoints.endpoints)
        caller = await http_client.connect(running.told.callers_address)
        lines = exchange_headers.request('a1', fleet_bench.KEY, 4)
        request = http_messages.Request('POST', path, lines, b'')
        await http_client.send(caller, fleet_bench.HOST, request)
        await curio.sleep(LEAVE_S)
        await caller.close()
        await running.wait_until(lambda: endpoint.ends)
        assert endpoint.ends == [RESET]

    bench.run(body)


# A call to the store that was given up could be carried out seconds later.
@pytest.mark.parametrize(
    ('answer', 'end'), [(b'', RESET), (ANSWER[:30], RESET), (ANSWER, CLOSED)]
)
def test_a_call_that_is_given_up_is_withdrawn(
    bench: fleet_bench.FleetBench, answer: bytes, end: str
) -> None:
    server = Endpoint(answer)

    async def body(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        await running.listen_raw(address, server.serve)
        connection = persistent_connection.PersistentConnection(address)
        request = http_messages.Request('GET', '/', [], b'')
        try:
            await connection.fetch(request, LEAVE_S)
        except http_client.HttpError as error:
            assert error.sent
        await running.wait_until(lambda: server.ends)
        assert server.ends == [end]

    bench.run(body)


# A caller of the soak that closed a connection twice, the second time without
# a whole answer, ended with AttributeError.
def test_a_closed_exchange_can_be_closed_again() -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        await running.listen_raw(address, Endpoint().serve)
        exchange = await http_client.connect(address)
        request = http_messages.Request('GET', '/', [], b'')
        await http_client.send(exchange, 'x', request)
        await exchange.close()
        await exchange.close()

    fleet_bench.FleetBench().run(body)


@pytest.mark.parametrize(
    'function', [closing.stop_reading, closing.reset_on_close, closing.linger]
)
def test_a_socket_that_is_closed_already_is_left_alone(
    function: abc.Callable[[curio.io.Socket], abc.Awaitable[None] | None],
) -> None:
    async def body() -> None:
        own, peer = socket.socketpair()
        with own, peer:
            sock = curio.io.Socket(own)
            await sock.close()
            pending = function(sock)
            if pending is not None:
                await pending

    curio.run(body)
