"""Tests of the configured limits on callers' requests and connections."""

import curio
import fleet_bench
import pytest

from camphorstair_runtime import http_messages, settings

HEAD = 'POST /look/ HTTP/1.1\r\nHost: booking.example\r\n'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _set_limits(running: fleet_bench.FleetBench, **limits: int) -> None:
    running.configure(2, Limits=limits)
    await running.wait_until(lambda: running.entry.configuration.version == 2)


async def _send_raw(running: fleet_bench.FleetBench, raw_request: str) -> bytes:
    """Send raw text; return all bytes until the entry closes the connection."""
    host, port = settings.split_address(running.told.callers_address)
    caller = await curio.open_connection(host, port)
    received = bytearray()
    async with caller:
        await caller.sendall(raw_request.encode())
        chunk = await caller.recv(1000)
        while chunk:
            received += chunk
            chunk = await caller.recv(1000)
    return bytes(received)


@pytest.mark.parametrize(
    ('limits', 'status'),
    [({'MaxHeaderBytes': 2000}, 431), ({'MaxBodyBytes': 3}, 413)],
)
def test_a_request_over_the_operators_limits_is_refused(
    bench: fleet_bench.FleetBench,
    limits: dict[str, int],
    status: int,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        assert (await running.call('/look/', x_long='x' * 2000)).status == 200
        await _set_limits(running, **limits)
        answer = await running.call('/look/', x_long='x' * 2000)
        assert answer.status == status
        assert http_messages.header(answer.headers, 'connection') == 'close'
        assert len(endpoint.arrivals) == 1

    bench.run(body)


def test_slow_request_head_times_out(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _set_limits(running, HeaderTimeoutMs=50)
        answer = await _send_raw(running, HEAD)
        assert answer.startswith(b'HTTP/1.1 408 ')

    bench.run(body)


def test_a_connection_is_ended_after_the_idle_limit(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _set_limits(running, IdleTimeoutMs=50)
        assert not await _send_raw(running, '')

    bench.run(body)
