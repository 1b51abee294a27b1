"""A listener can be cancelled while a caller connects.

Its cancellation must also end the connections, and the end of a connection
must not end the listener.
"""

import socket

import curio
import pytest

from camphorstair_runtime import listening, settings
from camphorstair_standins import loopback

CANCEL_LIMIT_S = 2.0


async def _wait_forever(_sock: curio.io.Socket, _address: object) -> None:
    await curio.Event().wait()


async def _cancel_while_connecting(turns: int) -> None:
    """Cancel a listener shortly after a caller connects.

    :param turns: Number of turns of the event loop between the two.
    """
    host, port = settings.split_address(loopback.free_address())
    listener = await curio.spawn(listening.serve, host, port, _wait_forever)
    await curio.sleep(0.02)
    with socket.create_connection((host, port)):
        for _ in range(turns):
            await curio.sleep(0)
        async with curio.timeout_after(CANCEL_LIMIT_S):
            await listener.cancel()


@pytest.mark.parametrize('turns', range(4))
def test_listener_cancel_completes_while_client_connects(turns: int) -> None:
    curio.run(_cancel_while_connecting, turns)


def test_a_connection_that_ends_leaves_the_listener_running() -> None:
    async def body() -> None:
        host, port = settings.split_address(loopback.free_address())

        async def greet(sock: curio.io.Socket, _address: object) -> None:
            await sock.sendall(b'hello')

        listener = await curio.spawn(listening.serve, host, port, greet)
        await curio.sleep(0.02)
        for _ in range(2):
            async with await curio.open_connection(host, port) as caller:
                assert await caller.recv(10) == b'hello'
                assert not await caller.recv(10)
        await listener.cancel()

    curio.run(body)
