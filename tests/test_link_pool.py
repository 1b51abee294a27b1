"""Idle links that ended, or that hold what nobody waits for."""

import socket

import curio
import pytest

from camphorstair import link_pool, receiving
from camphorstair_core import messages, vms
from camphorstair_runtime import links
from camphorstair_standins import loopback


def _vm() -> vms.Vm:
    return vms.Vm(
        name='a',
        role=vms.VmRole.agent,
        state=vms.VmState.live,
        region='r',
        data_centre='d',
        peers_address=loopback.free_address(),
    )


async def _take(late: bytes, *, closed: bool) -> None:
    near, far = socket.socketpair()
    pool = link_pool.LinkPool(None)
    await pool.release(_vm(), links.Link(curio.io.Socket(near)))
    far.sendall(late)
    if closed:
        far.close()
    try:
        link = await pool.acquire(_vm())
    finally:
        far.close()
    await link.close()


@pytest.mark.parametrize(('late', 'closed'), [(b'', True), (b'late', False)])
def test_a_stale_link_is_not_used(late: bytes, closed: bool) -> None:
    with pytest.raises(links.LinkError, match='connect'):
        curio.run(_take(late, closed=closed))


def test_an_idle_link_is_used_again() -> None:
    curio.run(_take(b'', closed=False))


def test_a_hello_is_answered_by_a_hello() -> None:
    async def answer_wrongly() -> None:
        near, far = socket.socketpair()
        link = links.Link(curio.io.Socket(near))
        other = links.Link(curio.io.Socket(far))
        await other.send(messages.StatusRequest())
        async with link.sock, other.sock:
            await receiving.check_alive(link, messages.Hello('e', 'd', 0))

    with pytest.raises(links.LinkError, match='unexpected StatusRequest'):
        curio.run(answer_wrongly())
