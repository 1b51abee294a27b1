"""Tests of an entry with simulated store and endpoints over real sockets."""

import curio
import fleet_bench
import pytest

from camphorstair_core.fleet import roster, waiting
from camphorstair_platform_standins import scripted
from camphorstair_runtime import http_client, http_messages

Script = scripted.Script


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def test_stream_is_forwarded_completely(bench: fleet_bench.FleetBench) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'engine', Script(events=5))
        answer = await running.call('/draft/2f?x=1', 'a7')
        assert (answer.status, answer.body.count(b'id: ')) == (200, 5)
        header = http_messages.header
        assert header(answer.headers, 'x-camphorstair-attempt-id') == 'a7'
        assert header(answer.headers, 'x-camphorstair-server-seal') == 'seal-1'

    bench.run(body)


def test_forwarded_request_has_expected_target_and_headers(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'engine', Script(events=5))
        await running.call('/draft/2f?x=1', 'a7')
        forwarded = endpoint.arrivals[0]
        assert (forwarded.method, forwarded.target) == ('POST', '/draft/2f?x=1')
        assert (forwarded.body, forwarded.header('authorization')) == (
            b'body',
            '',
        )
        told = [
            forwarded.header(name)
            for name in (
                'host',
                'x-camphorstair-tenant',
                'x-camphorstair-expect-instance',
            )
        ]
        assert told == [fleet_bench.HOST, 'gravier', 'i-1']
        deadline = int(forwarded.header('x-camphorstair-deadline-ms'))
        assert 0 < deadline <= 3000

    bench.run(body)


@pytest.mark.parametrize('kind', ['idempotent', 'streaming'])
def test_route_with_timeout_equal_to_target_is_served(
    bench: fleet_bench.FleetBench,
    kind: str,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        short_route = fleet_bench.route(
            'short', kind, 'plain', TimeoutMs=400, TargetLatencyMs=400
        )
        await running.add_endpoint('i-1', 'plain', Script(events=3))
        running.configure(2, Routes=[short_route])
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        assert (await running.call('/short/')).status == 200

    bench.run(body)


def test_a_caller_cannot_name_its_organisation(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        await running.call('/look/', x_camphorstair_tenant='other')
        assert endpoint.arrivals[0].header('x-camphorstair-tenant') == 'gravier'

    bench.run(body)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/absent/', fleet_bench.KEY, 404),
        ('/draft', fleet_bench.KEY, 404),
        ('/look/', '', 401),
        ('/look/', 'wrong', 401),
        ('/look/', fleet_bench.KEY, 503),
    ],
)
def test_unserviceable_request_gets_error_status(
    bench: fleet_bench.FleetBench,
    path: str,
    key: str,
    status: int,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        answer = await running.call(path, key=key)
        assert answer.status == status
        if status == 503:
            assert http_messages.header(answer.headers, 'retry-after')

    bench.run(body)


def test_caller_disconnect_cancels_endpoint_request(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain', Script(delay_s=2))
        caller = await http_client.connect(running.told.callers_address)
        request = http_messages.Request(
            'POST', '/look/', [('authorization', 'Token k1')], b''
        )
        await http_client.send(caller, fleet_bench.HOST, request)
        await running.wait_until(lambda: endpoint.arrivals)
        await caller.close()
        await running.wait_until(lambda: endpoint.left)

    bench.run(body)


def test_cancelled_queued_request_holds_no_endpoint(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        dispatcher = running.process.dispatcher
        acquired = [
            await dispatcher.acquire('plain', _waiter()) for _ in range(4)
        ]
        waits = await curio.spawn(dispatcher.acquire, 'plain', _waiter())
        queue = running.entry.queue('plain')
        await running.wait_until(lambda: queue.waiters)
        await waits.cancel()
        assert not queue.waiters
        await dispatcher.release('plain', 'gravier', acquired[0])
        assert acquired[0].load.running == 3
        assert queue.in_progress == {'gravier': 3}

    bench.run(body)


def _waiter() -> waiting.Waiter:
    return waiting.Waiter('gravier', 1, 0, 1e9, 1e9)


def test_retry_after_for_closed_group_is_long_and_jittered(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        closed_group = {'Name': 'g', 'epoch': 1, 'rank': 0, 'State': 'broken'}
        running.register(
            'i-1', 'engine', '127.0.0.1:1', group=closed_group, size=1
        )
        listed_endpoints = running.entry.endpoints.endpoints
        await running.wait_until(lambda: listed_endpoints)
        listed_endpoints['i-1'].first_seen_s -= roster.FORMING_S
        waits = []
        for number in range(8):
            answer = await running.call('/draft/', f'a{number}')
            assert answer.status == 503
            header = http_messages.header(answer.headers, 'retry-after')
            waits.append(float(header))
        # Callers of /draft/ have 8 s; the delay is less than a third of that.
        assert 2 < min(waits) < max(waits)
        assert max(waits) < 8 / 3

    bench.run(body)
