"""Tests of a planner's calls to the ranks of a group.

The agents of the ranks are silent, or the messages are large.
"""

import functools

import attrs
import curio
import fleet_bench
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import (
    instruments,
    rank_calls,
    rank_datagrams,
    spread_calls,
    state,
)
from camphorstair_core.experts import group_orders
from camphorstair_core.fleet import membership, roster
from camphorstair_fleet import internal_answers, internal_messages
from camphorstair_platform import boot
from camphorstair_runtime import (
    http_messages,
    http_server,
    listening,
    settings,
)
from camphorstair_standins import loopback

ENGINE_ORDER_PATH = '/camphorstair/order'


async def _hang(
    _request: http_messages.Request, _responder: http_server.Responder
) -> None:
    """Never respond."""
    await curio.Event().wait()


def test_silent_agents_do_not_add_up_to_a_long_hold() -> None:
    """Orders to engines whose agents are silent are sent concurrently."""
    calls = _rank_calls(None)
    order = group_orders.OrderKind.go

    async def body() -> None:
        engines: list[str] = []
        async with curio.TaskGroup(wait=any) as group:
            for _ in range(8):
                engines.append(loopback.free_address())
                host, port = settings.split_address(engines[-1])
                server = http_server.Server(_hang)
                await group.spawn(listening.serve, host, port, server.serve)
            await curio.sleep(0.02)
            async with curio.timeout_after(3 * rank_calls.ENGINE_LIMIT_S):
                await calls.arm_or_release(
                    [group_orders.Order(rank, order) for rank in range(8)],
                    dict(enumerate(map(_registration, engines))),
                    2,
                )
            await group.cancel_remaining()

    curio.run(body)


class _RequestRecorder:
    """Record the requests to a simulated entry and to a simulated engine.

    :ivar requested_paths: Paths of the requests in order of arrival.
    :ivar entry: Address of the entry's internal socket.
    :ivar engine: Address of the engine.
    :ivar knows_rank: Whether the entry knows the engine.
    """

    def __init__(self, *, knows_rank: bool = True) -> None:
        """Choose free ports."""
        self.knows_rank = knows_rank
        self.requested_paths: list[str] = []
        self.entry = loopback.free_address()
        self.engine = loopback.free_address()

    async def answer(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Record the path and report that the order succeeded."""
        self.requested_paths.append(request.path)
        if request.path == internal_messages.RELAY_PATH and not self.knows_rank:
            await responder.respond(internal_answers.unknown_call(request))
            return
        outcome = internal_messages.OrderOutcome(200)
        await responder.respond(internal_answers.whole(outcome))


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


def _rank_calls(entry: str | None) -> rank_calls.RankCalls:
    """Return a client of ranks whose agents do not answer.

    :param entry: Internal address of the entry that the agent knows, if any.
    """
    told = boot.decode(fleet_bench.boot_settings(loopback.free_address()))
    meter = metrics_api.NoOpMeter('test')
    agent = state.FleetAgent(told, instruments.create(meter))
    if entry:
        agent.members['front-1'] = membership.Member(
            'front-1', 'levis-nord', '', entry
        )
    return rank_calls.RankCalls(
        agent, rank_datagrams.DatagramCaller(loopback.HOST)
    )


async def _send_order(
    kind: group_orders.OrderKind, *, entries: bool, knows_rank: bool = True
) -> list[str]:
    """Send an order to a rank and return the paths that were requested.

    :param entries: Whether the agent knows a running entry.
    :param knows_rank: Whether that entry knows the rank.
    """
    recorder = _RequestRecorder(knows_rank=knows_rank)
    calls = _rank_calls(recorder.entry if entries else None)
    registration = _registration(recorder.engine)
    order = group_orders.Order(0, kind, step=9)
    async with curio.TaskGroup(wait=any) as group:
        for address in (recorder.entry, recorder.engine):
            host, port = settings.split_address(address)
            server = http_server.Server(recorder.answer)
            await group.spawn(listening.serve, host, port, server.serve)
        await curio.sleep(0.02)
        if kind is group_orders.OrderKind.hold:
            assert await calls.hold(order, registration, 2) == 200
        else:
            await calls.arm_or_release([order], {0: registration}, 2)
        await group.cancel_remaining()
    return recorder.requested_paths


@pytest.mark.parametrize(
    ('kind', 'entries', 'path'),
    [
        (group_orders.OrderKind.hold, True, internal_messages.RELAY_PATH),
        (group_orders.OrderKind.hold, False, ENGINE_ORDER_PATH),
        (group_orders.OrderKind.go, True, ENGINE_ORDER_PATH),
    ],
)
def test_orders_reach_the_engine_of_a_silent_agent(
    kind: group_orders.OrderKind,
    path: str,
    *,
    entries: bool,
) -> None:
    """A hold is relayed by an entry if one is known."""
    sending = functools.partial(_send_order, kind, entries=entries)
    assert curio.run(sending) == [path]


def test_a_hold_reaches_the_engine_though_the_entry_does_not_know_it() -> None:
    sending = functools.partial(
        _send_order,
        group_orders.OrderKind.hold,
        entries=True,
        knows_rank=False,
    )
    assert curio.run(sending) == [
        internal_messages.RELAY_PATH,
        ENGINE_ORDER_PATH,
    ]


def _large_group(
    size: int,
) -> tuple[spread_calls.SpreadCalls, rank_calls.Ranks]:
    calls = _rank_calls(None)
    registrations = {
        rank: attrs.evolve(
            _registration(f'10.0.{rank}.1:80'), endpoint=f'i-{rank}'
        )
        for rank in range(size)
    }
    return spread_calls.SpreadCalls(calls), registrations


@pytest.mark.parametrize('size', [1, 2, 12, 24, 63, 64])
def test_large_messages_are_sent_to_few_agents_that_change(size: int) -> None:
    spread, registrations = _large_group(size)
    heads: set[int] = set()
    for _ in range(size):
        chunks = spread.chunks(registrations)
        ranks_reached = [rank for chunk in chunks for rank, _row in chunk]
        assert sorted(ranks_reached) == list(range(size))
        assert len(chunks) <= size**0.5 + 1
        assert max(map(len, chunks)) <= size**0.5 + 1
        heads.update(chunk[0][0] for chunk in chunks)
    assert heads == set(range(size))


# A planner took a hold that was answered 503 for refused, and held the group at
# another step, although the order may be carried out later.
@pytest.mark.parametrize('entries', [False, True])
@pytest.mark.parametrize('status', [408, 429, 500, 503])
def test_a_hold_whose_answer_does_not_tell_its_outcome_is_unanswered(
    status: int, *, entries: bool
) -> None:
    assert _hold_status(status, entries=entries) == 0


@pytest.mark.parametrize('entries', [False, True])
@pytest.mark.parametrize('status', [200, 202, 400, 409, 412, 421])
def test_a_hold_that_is_accepted_or_refused_is_answered(
    status: int, *, entries: bool
) -> None:
    assert _hold_status(status, entries=entries) == status


def _hold_status(status: int, *, entries: bool) -> int:
    """Return what a planner takes for the status of a hold.

    :param status: The status by which its engine answers.
    :param entries: Whether an entry relays the order.
    """

    async def answer(
        request: http_messages.Request, responder: http_server.Responder
    ) -> None:
        if request.path == ENGINE_ORDER_PATH:
            await responder.respond(http_messages.Response(status, [], b''))
            return
        outcome = internal_messages.OrderOutcome(status)
        await responder.respond(internal_answers.whole(outcome))

    address = loopback.free_address()
    calls = _rank_calls(address if entries else None)
    hold = group_orders.Order(0, group_orders.OrderKind.hold, step=9)

    async def body() -> int:
        server = http_server.Server(answer)
        host, port = settings.split_address(address)
        serving = await curio.spawn(listening.serve, host, port, server.serve)
        await curio.sleep(0.02)
        try:
            return await calls.hold(hold, _registration(address), 2)
        finally:
            await serving.cancel()

    return curio.run(body)
