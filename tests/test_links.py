"""A link can be reused immediately after an answer.

The receiver may then still wait for the link to close; a message that arrives
meanwhile must be received whole.
"""

import socket

import curio

from camphorstair_core import messages
from camphorstair_runtime import links
from camphorstair_standins import loopback

RECEIVE_LIMIT_S = 5.0


async def _reuse_while_waiting() -> object:
    """Return a message sent while its receiver waits for the link to close."""
    with socket.create_server((loopback.HOST, 0)) as listener:
        sender_sock = socket.create_connection(listener.getsockname())
        receiver_sock = listener.accept()[0]
    sender = links.accept(curio.io.Socket(sender_sock))
    receiver = links.accept(curio.io.Socket(receiver_sock))
    waiting = await curio.spawn(receiver.wait_closed)
    await curio.sleep(0)
    await sender.send(messages.ConfigurationRequest(7))
    await curio.sleep(0)
    await waiting.cancel()
    try:
        return await curio.timeout_after(RECEIVE_LIMIT_S, receiver.receive)
    finally:
        await sender.close()
        await receiver.close()


def test_message_received_during_close_wait_stays_intact() -> None:
    received = curio.run(_reuse_while_waiting)
    assert received == messages.ConfigurationRequest(7)
