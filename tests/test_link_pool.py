"""The pool doesn't reuse an idle link that is closed or holds unread bytes."""

import socket

import curio
import pytest

from camphorstair import link_pool, receiving
from camphorstair_core import messages, vms
from camphorstair_runtime import links
from camphorstair_standins import loopback


def _agent_vm() -> vms.Vm:
    return vms.Vm(
        name='a',
        role=vms.VmRole.agent,
        state=vms.VmState.live,
        region='r',
        data_centre='d',
        peers_address=loopback.free_address(),
    )


async def _pool_and_take(late: bytes, *, closed: bool) -> None:
    """Return a link to the pool and take a link from it again.

    :param late: Bytes that the other side sends while the link is idle.
    :param closed: Whether the other side closes the link meanwhile.
    :raises LinkError: If the idle link is dropped, since nothing listens at
        the VM's address to open a new one.
    """
    pooled_sock, agent_sock = socket.socketpair()
    pool = link_pool.LinkPool(None)
    await pool.release(_agent_vm(), links.Link(curio.io.Socket(pooled_sock)))
    agent_sock.sendall(late)
    if closed:
        agent_sock.close()
    try:
        link = await pool.acquire(_agent_vm())
    finally:
        agent_sock.close()
    await link.close()


@pytest.mark.parametrize(('late', 'closed'), [(b'', True), (b'late', False)])
def test_a_stale_link_is_not_used(late: bytes, closed: bool) -> None:
    with pytest.raises(links.LinkError, match='connect'):
        curio.run(_pool_and_take(late, closed=closed))


def test_an_idle_link_is_used_again() -> None:
    curio.run(_pool_and_take(b'', closed=False))


def test_unexpected_reply_to_hello_is_an_error() -> None:
    async def answer_with_status() -> None:
        local_sock, remote_sock = socket.socketpair()
        link = links.Link(curio.io.Socket(local_sock))
        remote_link = links.Link(curio.io.Socket(remote_sock))
        await remote_link.send(messages.StatusRequest())
        async with link.sock, remote_link.sock:
            await receiving.check_alive(link, messages.Hello('e', 'd', 0))

    with pytest.raises(links.LinkError, match='unexpected StatusRequest'):
        curio.run(answer_with_status())
