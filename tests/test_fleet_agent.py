"""Tests of a fleet agent against a simulated engine over real sockets."""

import socket
from collections import abc

import curio
import pytest

from camphorstair_agent.fleet import engine_calls, rank_datagrams, ranks
from camphorstair_core.experts import group_orders
from camphorstair_fleet import datagrams, internal_messages
from camphorstair_runtime import (
    http_client,
    http_messages,
    http_server,
    listening,
    settings,
)
from camphorstair_standins import loopback

REPORT = (
    b'{"Running": 1, "Waiting": 0, "step": 7, "Map": 3, "Prepared": null,'
    b'"Armed": null, "held": null, "group": {"Name": "g", "epoch": 2}}'
)
ORDER = internal_messages.RankOrder(
    group_orders.Order(0, group_orders.OrderKind.hold, step=9), 2
)

REPLY_LIMIT_S = 5.0

Body = abc.Callable[[str], abc.Awaitable[None]]


async def _engine(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    """Respond to GET with a report; never respond to POST."""
    if request.method == 'POST':
        await curio.Event().wait()
    await responder.respond(http_messages.Response(200, [], REPORT))


async def _with_agent(
    body: Body, handler: http_server.ResponderHandler = _engine
) -> None:
    """Run a body with the address of a rank service in front of an engine."""
    engine = loopback.free_address()
    agent = loopback.free_address()
    service = ranks.RankService(
        engine_calls.EngineCalls(engine), engine_calls.EngineCalls(engine)
    )
    async with curio.TaskGroup(wait=any) as group:
        for address, serve in ((engine, handler), (agent, service.handle)):
            host, port = settings.split_address(address)
            server = http_server.Server(serve)
            await group.spawn(listening.serve, host, port, server.serve)
        await group.spawn(
            service.serve_datagrams, *settings.split_address(agent)
        )
        await curio.sleep(0.02)
        body_task = await group.spawn(body, agent)
        await body_task.wait()
        await group.cancel_remaining()
    if body_task.exception is not None:
        raise body_task.exception


async def _call(
    agent: str, *orders: group_orders.Order | None
) -> rank_datagrams.Replies:
    """Call an agent by datagram once for each order; return its replies."""
    caller = rank_datagrams.DatagramCaller(loopback.HOST)
    receiving = await curio.spawn(caller.run)
    await curio.sleep(0)
    calls = [
        rank_datagrams.Call(number, agent, order)
        for number, order in enumerate(orders)
    ]
    try:
        return await caller.call_all(calls, epoch=2)
    finally:
        await receiving.cancel()


def test_state_call_returns_rank_report() -> None:
    async def body(agent: str) -> None:
        state_after = (await _call(agent, None))[0].state
        assert state_after is not None
        assert state_after.report == group_orders.RankReport(2, 7, 3, 0)

    curio.run(_with_agent, body)


def test_a_planner_that_has_restarted_gets_no_remembered_reply() -> None:
    """The restarted process may send from the same port as before."""
    paths: list[str] = []

    async def engine(
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        paths.append(request.method)
        await responder.respond(http_messages.Response(200, [], REPORT))

    async def body(agent: str) -> None:
        async with curio.socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as sock:
            for _ in range(2):
                caller = rank_datagrams.DatagramCaller(loopback.HOST)
                await _send_first_call(sock, agent, caller)
        assert paths.count('POST') == 2

    curio.run(_with_agent, body, engine)


async def _send_first_call(
    sock: curio.io.Socket, agent: str, caller: rank_datagrams.DatagramCaller
) -> None:
    """Send the first order of a planner's process and wait for the reply."""
    call = internal_messages.RankCall(
        caller.last_number + 1, ORDER.order, ORDER.epoch
    )
    content = internal_messages.encode(call)
    await sock.sendto(content, settings.split_address(agent))
    async with curio.timeout_after(REPLY_LIMIT_S):
        await sock.recvfrom(datagrams.MAX_DATAGRAM_BYTES)


def test_hung_order_is_reported_before_planner_timeout() -> None:
    async def body(agent: str) -> None:
        reply = (await _call(agent, ORDER.order))[0]
        assert reply.status == 0
        assert reply.state is not None

    limit_s = rank_datagrams.REPLY_LIMIT_S * rank_datagrams.SENDS
    assert engine_calls.CALL_LIMIT_S < limit_s
    curio.run(_with_agent, body)


def test_a_call_that_arrives_again_is_carried_out_once() -> None:
    """A hung order is sent three times before its reply is due."""
    posts: list[str] = []

    async def hung_engine(
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        if request.method == 'POST':
            posts.append(request.path)
        await _engine(request, responder)

    async def body(agent: str) -> None:
        assert (await _call(agent, ORDER.order))[0].status == 0
        await curio.sleep(2 * engine_calls.CALL_LIMIT_S)
        assert len(posts) == 1

    curio.run(_with_agent, body, hung_engine)


def test_state_calls_are_answered_while_order_is_pending() -> None:
    async def body(agent: str) -> None:
        async with curio.TaskGroup() as group:
            order = await group.spawn(
                _post,
                agent,
                internal_messages.ORDER_PATH,
                internal_messages.encode(ORDER),
            )
            assert (await _call(agent, None))[0].state is not None
            assert not order.terminated
            await order.cancel()

    curio.run(_with_agent, body)


@pytest.mark.parametrize('content', [b'', b'junk', b'\x80', b'\x93\x01\x02'])
def test_malformed_datagrams_do_not_stop_an_agent(content: bytes) -> None:
    async def body(agent: str) -> None:
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            await sock.sendto(content, settings.split_address(agent))
        assert 0 in await _call(agent, None)

    curio.run(_with_agent, body)


def test_a_silent_agent_does_not_delay_the_replies_of_others() -> None:
    async def body(agent: str) -> None:
        caller = rank_datagrams.DatagramCaller(loopback.HOST)
        receiving = await curio.spawn(caller.run)
        await curio.sleep(0)
        calls = [
            rank_datagrams.Call(0, loopback.free_address()),
            rank_datagrams.Call(1, agent),
        ]
        assert set(await caller.call_all(calls, epoch=2)) == {1}
        assert not caller.batches
        await receiving.cancel()

    curio.run(_with_agent, body)


async def _post(agent: str, path: str, content: bytes) -> bytes:
    request = http_messages.Request('POST', path, [], content)
    return (await http_client.fetch(agent, request)).body


@pytest.mark.parametrize('content', [b'', b'junk', b'\x80'])
def test_an_unreadable_order_is_refused(content: bytes) -> None:
    async def body(agent: str) -> None:
        request = http_messages.Request(
            'POST', internal_messages.ORDER_PATH, [], content
        )
        answer = await http_client.fetch(agent, request)
        assert answer.status == 400

    curio.run(_with_agent, body)
