"""Tests that an answer is passed on to the attempt that it belongs to only."""

import curio
import fleet_bench
import pytest
import raw_endpoints

from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import http_messages, persistent_connection
from camphorstair_standins import loopback


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


REFUSALS = (
    pytest.param((exchange_headers.NOT_RUN,), 503, id='full'),
    pytest.param((exchange_headers.NOT_RUN,), 429, id='too many'),
    pytest.param((), 421, id='misdirected'),
)


# An earlier refusal, written once more on a kept connection, was told to the
# caller of the next request, which the endpoint was running.
@pytest.mark.parametrize(('lines', 'status'), REFUSALS)
@pytest.mark.parametrize('attempt', ['', 'a0'])
def test_an_earlier_refusal_on_a_kept_connection_is_not_for_this_attempt(
    bench: fleet_bench.FleetBench,
    lines: tuple[tuple[str, str], ...],
    status: int,
    attempt: str,
) -> None:
    named = ((exchange_headers.ATTEMPT, attempt),) if attempt else ()
    refusal = raw_endpoints.answer(status, *lines, *named)

    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await raw_endpoints.add(
            running,
            'i-1',
            'plain',
            raw_endpoints.sealed('a1'),
            refusal + raw_endpoints.sealed('a2', b'second'),
        )
        assert (await running.call('/look/', 'a1')).body == b'ok'
        second = await running.call('/look/', 'a2')
        assert len(endpoint.requests[0]) == 2
        if attempt:
            assert (second.status, second.body) == (200, b'second')
        else:
            # It may have run: only the refused attempt's own answer says not.
            assert second.status == 502
            assert sum(len(sent) for sent in endpoint.requests) == 2

    bench.run(body)


def test_a_failure_on_a_kept_connection_that_names_no_attempt_is_not_passed_on(
    bench: fleet_bench.FleetBench,
) -> None:
    late = raw_endpoints.answer(
        500, exchange_headers.SEAL, body=b'of another request'
    )

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(
            running, 'i-1', 'plain', raw_endpoints.sealed('a1'), late
        )
        await running.call('/look/', 'a1')
        second = await running.call('/look/', 'a2')
        assert second.status == 502
        assert b'another' not in second.body

    bench.run(body)


@pytest.mark.parametrize(('lines', 'status'), REFUSALS)
def test_a_refusal_on_a_new_connection_needs_no_name(
    bench: fleet_bench.FleetBench,
    lines: tuple[tuple[str, str], ...],
    status: int,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(
            running, 'i-1', 'plain', raw_endpoints.answer(status, *lines)
        )
        assert (await running.call('/book/')).status == 503

    bench.run(body)


def test_a_refusal_after_an_answer_to_another_attempt_needs_a_name(
    bench: fleet_bench.FleetBench,
) -> None:
    refusal = raw_endpoints.answer(503, exchange_headers.NOT_RUN)

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(
            running, 'i-1', 'plain', raw_endpoints.sealed('a0') + refusal
        )
        assert (await running.call('/book/', 'a1')).status == 502

    bench.run(body)


def test_a_request_that_may_not_be_repeated_gets_a_new_connection(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await raw_endpoints.add(
            running,
            'i-1',
            'plain',
            raw_endpoints.sealed('a1'),
            raw_endpoints.sealed('a1'),
        )
        await running.call('/look/', 'a1')
        assert (await running.call('/book/', 'a1')).status == 200
        assert [len(received) for received in endpoint.requests] == [1, 1]

    bench.run(body)


# What the store, an engine or a peer sent unasked was the answer to the next
# call on the connection.
def test_an_answer_that_came_unasked_is_not_that_of_the_next_call() -> None:
    both = raw_endpoints.answer(200, body=b'first') + raw_endpoints.answer(
        200, body=b'extra'
    )
    endpoint = raw_endpoints.RawEndpoint([both, both])

    async def serve_late(sock: curio.io.Socket, _address: object) -> None:
        await sock.recv(65536)
        await sock.sendall(raw_endpoints.answer(200, body=b'first'))
        await curio.sleep(0.05)
        await sock.sendall(raw_endpoints.answer(200, body=b'extra'))
        await curio.sleep(0.5)

    async def body(running: fleet_bench.FleetBench) -> None:
        for serve in (endpoint.serve, serve_late):
            address = loopback.free_address()
            await running.listen_raw(address, serve)
            connection = persistent_connection.PersistentConnection(address)
            request = http_messages.Request('GET', '/', [], b'')
            for _ in range(2):
                fetched = await connection.fetch(request, 1)
                assert fetched.body == b'first'
                await curio.sleep(0.1)
            await connection.close()

    fleet_bench.FleetBench().run(body)
