"""Tests of a fleet agent against a simulated engine over real sockets."""

import functools
import time
from collections import abc

import attrs
import curio
import fleet_bench
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import (
    engine_calls,
    instruments,
    rank_calls,
    ranks,
    state,
)
from camphorstair_core.experts import group_orders
from camphorstair_core.fleet import membership, roster
from camphorstair_fleet import internal_answers, internal_messages
from camphorstair_platform import boot
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

Body = abc.Callable[[str], abc.Awaitable[None]]


async def _engine(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    """Respond to GET with a report; never respond to POST."""
    if request.method == 'POST':
        await curio.Event().wait()
    await responder.respond(http_messages.Response(200, [], REPORT))


async def _with_agent(body: Body) -> None:
    """Run a body with the address of a rank service in front of an engine."""
    engine = loopback.free_address()
    agent = loopback.free_address()
    service = ranks.RankService(
        engine_calls.EngineCalls(engine), engine_calls.EngineCalls(engine)
    )
    async with curio.TaskGroup(wait=any) as group:
        for address, handler in ((engine, _engine), (agent, service.handle)):
            host, port = settings.split_address(address)
            server = http_server.Server(handler)
            await group.spawn(listening.serve, host, port, server.serve)
        await curio.sleep(0.02)
        await body(agent)
        await group.cancel_remaining()


async def _post(agent: str, path: str, content: bytes) -> bytes:
    request = http_messages.Request('POST', path, [], content)
    return (await http_client.fetch(agent, request)).body


def test_state_request_returns_rank_report() -> None:
    async def body(agent: str) -> None:
        answer = await _post(agent, internal_messages.STATE_PATH, b'')
        decoded = internal_messages.decode(answer, internal_messages.RankState)
        assert decoded.report == group_orders.RankReport(2, 7, 3, 0)

    curio.run(_with_agent, body)


def test_hung_order_is_reported_before_planner_timeout() -> None:
    async def body(agent: str) -> None:
        content = internal_messages.encode(ORDER)
        started_s = time.monotonic()
        answer = await _post(agent, internal_messages.ORDER_PATH, content)
        decoded = internal_messages.decode(
            answer, internal_messages.OrderOutcome
        )
        assert decoded.status == 0
        assert time.monotonic() - started_s < rank_calls.AGENT_LIMIT_S

    assert engine_calls.CALL_LIMIT_S < rank_calls.AGENT_LIMIT_S
    curio.run(_with_agent, body)


def test_state_requests_are_answered_while_order_is_pending() -> None:
    async def body(agent: str) -> None:
        content = internal_messages.encode(ORDER)
        async with curio.TaskGroup() as group:
            order = await group.spawn(
                _post, agent, internal_messages.ORDER_PATH, content
            )
            await _post(agent, internal_messages.STATE_PATH, b'')
            assert not order.terminated
            await order.cancel()

    curio.run(_with_agent, body)


@pytest.mark.parametrize('content', [b'', b'junk', b'\x80'])
def test_an_unreadable_order_is_refused(content: bytes) -> None:
    async def body(agent: str) -> None:
        request = http_messages.Request(
            'POST', internal_messages.ORDER_PATH, [], content
        )
        answer = await http_client.fetch(agent, request)
        assert answer.status == 400

    curio.run(_with_agent, body)


class _RequestRecorder:
    """Record the requests to a simulated entry and to a simulated agent.

    :ivar requested_paths: Paths of the requests in order of arrival.
    :ivar entry: Address of the entry's internal socket.
    :ivar engine: Address of the engine; nothing listens there.
    :ivar internal_port: Port of the agent's internal socket.
    """

    def __init__(self) -> None:
        """Choose free ports."""
        self.requested_paths: list[str] = []
        self.entry = loopback.free_address()
        self.engine = f'{loopback.HOST}:{_free_port()}'
        self.internal_port = _free_port()

    async def answer(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Record the path and report that the order succeeded."""
        self.requested_paths.append(request.path)
        outcome = internal_messages.OrderOutcome(200)
        await responder.respond(internal_answers.whole(outcome))


def _free_port() -> int:
    return settings.split_address(loopback.free_address())[1]


def _registration(engine: str) -> roster.Registration:
    return roster.Registration(
        'i-1',
        'engine',
        engine,
        'levis-nord',
        roster.EndpointState.ready,
        6,
        0,
        0,
        roster.GroupMembership('g', 2, 0, 1, is_open=True),
    )


async def _send_order(
    kind: group_orders.OrderKind, *, entries: bool
) -> list[str]:
    """Send an order to a rank and return the paths that were requested.

    :param entries: Whether the agent knows a running entry.
    """
    recorder = _RequestRecorder()
    told = boot.decode(fleet_bench.boot_settings(loopback.free_address()))
    told = attrs.evolve(told, internal_port=recorder.internal_port)
    meter = metrics_api.NoOpMeter('test')
    agent = state.FleetAgent(told, instruments.create(meter))
    if entries:
        agent.members['front-1'] = membership.Member(
            'front-1', 'levis-nord', '', recorder.entry
        )
    calls = rank_calls.RankCalls(agent)
    async with curio.TaskGroup(wait=any) as group:
        agent_address = f'{loopback.HOST}:{recorder.internal_port}'
        for address in (recorder.entry, agent_address):
            host, port = settings.split_address(address)
            server = http_server.Server(recorder.answer)
            await group.spawn(listening.serve, host, port, server.serve)
        await curio.sleep(0.02)
        status = await calls.order(
            group_orders.Order(0, kind, step=9),
            _registration(recorder.engine),
            2,
            (),
        )
        await group.cancel_remaining()
    assert status == 200
    return recorder.requested_paths


@pytest.mark.parametrize(
    ('kind', 'entries', 'path'),
    [
        (group_orders.OrderKind.hold, True, internal_messages.RELAY_PATH),
        (group_orders.OrderKind.hold, False, internal_messages.ORDER_PATH),
        (group_orders.OrderKind.go, True, internal_messages.ORDER_PATH),
    ],
)
def test_hold_order_is_relayed_by_entry_if_one_is_known(
    kind: group_orders.OrderKind,
    path: str,
    *,
    entries: bool,
) -> None:
    assert curio.run(functools.partial(_send_order, kind, entries=entries)) == [
        path
    ]
