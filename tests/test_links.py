"""A link that is reused at once after an answer."""

import socket

import curio

from camphorstair_core import messages
from camphorstair_runtime import links
from camphorstair_standins import loopback

LIMIT_S = 5.0


async def _reuse_while_waiting() -> object:
    """Send a message to a side that still waits for the link to close."""
    with socket.create_server((loopback.HOST, 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far = listener.accept()[0]
    sender = links.accept(curio.io.Socket(near))
    receiver = links.accept(curio.io.Socket(far))
    waiting = await curio.spawn(receiver.wait_closed)
    await curio.sleep(0)
    await sender.send(messages.ConfigurationRequest(7))
    await curio.sleep(0)
    await waiting.cancel()
    try:
        return await curio.timeout_after(LIMIT_S, receiver.receive)
    finally:
        await sender.close()
        await receiver.close()


def test_a_message_that_comes_early_is_not_torn() -> None:
    received = curio.run(_reuse_while_waiting)
    assert received == messages.ConfigurationRequest(7)
