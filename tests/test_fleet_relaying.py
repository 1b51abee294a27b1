"""Tests of the orders that an entry relays from planners to engines."""

import types

import curio
import fleet_bench
import pytest

from camphorstair_core.experts import group_orders
from camphorstair_fleet import internal_messages
from camphorstair_runtime import http_client, http_messages, http_server
from camphorstair_standins import loopback

HOLD = internal_messages.RankOrder(
    group_orders.Order(0, group_orders.OrderKind.hold, step=9), 2
)
GROUP = types.MappingProxyType(
    {'Name': 'g', 'epoch': 2, 'rank': 0, 'State': 'open'}
)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _relay(
    running: fleet_bench.FleetBench,
    engine: str,
) -> http_messages.Response:
    relayed_order = internal_messages.RelayedOrder(engine, HOLD)
    request = http_messages.Request(
        'POST',
        internal_messages.RELAY_PATH,
        [],
        internal_messages.encode(relayed_order),
    )
    address = f'{running.told.address}:{running.told.internal_port}'
    return await http_client.fetch(address, request)


async def _add_engine(
    running: fleet_bench.FleetBench,
    handler: http_server.ResponderHandler,
    **registration_fields: object,
) -> str:
    address = loopback.free_address()
    await running.listen(address, handler)
    running.register('i-1', 'engine', address, **registration_fields)
    listed_endpoints = running.entry.endpoints.endpoints
    await running.wait_until(lambda: 'i-1' in listed_endpoints)
    return address


@pytest.mark.parametrize('earlier', ['i-0', 'i-9'])
def test_an_order_reaches_an_engine_whose_earlier_registration_ends_later(
    bench: fleet_bench.FleetBench, earlier: str
) -> None:
    async def engine(
        _request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        await responder.respond(http_messages.Response(202, [], b''))

    async def body(running: fleet_bench.FleetBench) -> None:
        address = await _add_engine(running, engine, group=dict(GROUP), born=2)
        listed = running.entry.endpoints.endpoints
        running.register(earlier, 'engine', address, group=dict(GROUP), born=1)
        await running.wait_until(lambda: earlier in listed)
        assert (await _relay(running, address)).status == 200
        running.store.remove(f'servers/{earlier}')
        await running.wait_until(lambda: earlier not in listed)
        assert (await _relay(running, address)).status == 200

    bench.run(body)


def test_an_order_reaches_the_engine(bench: fleet_bench.FleetBench) -> None:
    orders: list[bytes] = []

    async def engine(
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        orders.append(request.body)
        await responder.respond(http_messages.Response(409, [], b'{}'))

    async def body(running: fleet_bench.FleetBench) -> None:
        address = await _add_engine(running, engine, group=dict(GROUP), size=1)
        answer = await _relay(running, address)
        outcome = internal_messages.decode(
            answer.body, internal_messages.OrderOutcome
        )
        assert outcome.status == 409
        assert orders == [b'{"Operation":"Hold","epoch":2,"step":9}']

    bench.run(body)


def test_engine_timeout_is_reported_as_status_zero(
    bench: fleet_bench.FleetBench,
) -> None:
    async def engine(
        _request: http_messages.Request,
        _responder: http_server.Responder,
    ) -> None:
        await curio.Event().wait()

    async def body(running: fleet_bench.FleetBench) -> None:
        address = await _add_engine(running, engine, group=dict(GROUP), size=1)
        answer = await _relay(running, address)
        assert internal_messages.decode(
            answer.body, internal_messages.OrderOutcome
        ) == internal_messages.OrderOutcome(0)

    bench.run(body)


def test_order_to_non_rank_is_not_found(bench: fleet_bench.FleetBench) -> None:
    async def engine(
        _request: http_messages.Request,
        _responder: http_server.Responder,
    ) -> None:
        raise AssertionError('the endpoint received an order')

    async def body(running: fleet_bench.FleetBench) -> None:
        plain = await _add_engine(running, engine)
        for address in (plain, '127.0.0.1:1'):
            assert (await _relay(running, address)).status == 404

    bench.run(body)
