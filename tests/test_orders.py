"""Orders to an engine through its agent.

The agent refuses orders with an old fencing number and orders for an earlier
run of the agent. It holds orders back while the platform is unreachable.
"""

import curio
import pytest

from camphorstair_agent import orders
from camphorstair_core import order_messages
from camphorstair_core.experts import fencing
from camphorstair_runtime import http_messages, peers, platform, settings
from camphorstair_standins import fleet, loopback

GROUP = 'redacteur-group'
Decision = fencing.Decision


def call_agent(running: fleet.Fleet, message: object) -> object:
    """Send a message to an agent of the redacteur service; return its reply."""
    agent = next(vm for vm in running.agents if vm.service == 'redacteur')
    address = settings.split_address(agent.peers_address)
    return curio.run(peers.call, address, None, message, 5)


def raise_fence(
    running: fleet.Fleet,
    number: int,
    sequence: int = 0,
) -> order_messages.FenceReply:
    """Raise the agent's fence to an order number and return the reply."""
    reply = call_agent(
        running, order_messages.FenceRequest(GROUP, number, sequence)
    )
    assert isinstance(reply, order_messages.FenceReply)
    return reply


def send_order(running: fleet.Fleet, sent_order: order_messages.Order) -> str:
    """Send an order to the agent and return the agent's decision."""
    reply = call_agent(running, sent_order)
    assert isinstance(reply, order_messages.OrderReply)
    return reply.decision


def order(boot: str, number: int, sequence: int = 0) -> order_messages.Order:
    """Return an order to load an adapter, for one run (boot) of the agent."""
    kind = order_messages.OrderKind.load_adapter
    body = b'{"adapter":"permits"}'
    return order_messages.Order(GROUP, boot, number, sequence, kind, body)


def test_orders_with_old_fencing_numbers_do_not_reach_engine(
    small_fleet: fleet.Fleet,
) -> None:
    boot = raise_fence(small_fleet, 5).boot
    decisions = [
        send_order(small_fleet, order(boot, 5, 1)),
        send_order(small_fleet, order(boot, 4, 9)),
        send_order(small_fleet, order(boot, 5, 0)),
    ]
    assert decisions == [Decision.passed, Decision.refused, Decision.refused]
    seen = raise_fence(small_fleet, 5, 1)
    assert seen.engine.count(b'"fencing"') == 1


def test_orders_for_an_earlier_run_of_the_agent_are_refused(
    small_fleet: fleet.Fleet,
) -> None:
    boot = raise_fence(small_fleet, 6).boot
    agent = next(vm for vm in small_fleet.agents if vm.service == 'redacteur')
    small_fleet.processes.by_name[agent.name].kill()
    small_fleet.processes.by_name[agent.name].wait()
    small_fleet.start_vm(agent)
    loopback.wait_for(lambda: loopback.listening(agent.peers_address), 30)
    assert send_order(small_fleet, order(boot, 9)) == Decision.other_boot
    assert raise_fence(small_fleet, 6).boot != boot


async def unavailable(method: str, body: bytes) -> http_messages.Response:
    """Reply with status 503 in place of the engine."""
    return http_messages.Response(503, [], b'')


def test_orders_are_held_back_until_fencing_number_is_read() -> None:
    """Orders are held back until the fencing number can be read.

    The first read fails; the later ones return 8.
    """
    stored_numbers: list[int] = []

    async def read_fencing_number(group: str) -> int:
        if not stored_numbers:
            raise platform.PlatformError('down')
        return stored_numbers[-1]

    async def scenario() -> list[str]:
        gate = orders.OrderGate(unavailable, read_fencing_number)
        decisions = []
        for number in (7, 7, 8):
            reply = await gate.answer(order(gate.boot, number))
            assert isinstance(reply, order_messages.OrderReply)
            decisions.append(reply.decision)
            stored_numbers.append(8)
        return decisions

    held_back, refused, passed = curio.run(scenario)
    assert held_back == Decision.held_back.value
    assert refused == Decision.refused.value
    assert passed == Decision.passed.value


def test_fence_never_falls() -> None:
    fence = fencing.Fence('boot', fencing.OrderNumber(3, 1))
    assert fencing.raise_to(fence, fencing.OrderNumber(2, 9)) == fence


@pytest.mark.parametrize('message', ['order', None])
def test_other_messages_are_refused(message: object) -> None:
    gate = orders.OrderGate(unavailable, lambda group: None)  # type: ignore
    with pytest.raises(Exception, match='unexpected'):
        curio.run(gate.answer, message)
