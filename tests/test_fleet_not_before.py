"""Tests of endpoints that refuse requests for some time with Retry-After."""

import http
from collections import abc

import attrs
import curio
import fleet_bench
import pytest

from camphorstair.fleet import answer_reports, connections
from camphorstair_platform_standins import exchange_headers, scripted
from camphorstair_runtime import clocks, http_client, http_messages

Script = scripted.Script
RETRY_AFTER = 'retry-after'
HOLD_S = 1.5
INTERVAL_S = 0.05
# As many requests as an endpoint runs concurrently.
SLOTS = 4
FINAL_ANSWER_LIMIT_S = 0.5


def _refusing(retry_after: object) -> scripted.Script:
    """Return the script of an endpoint that turns a request away."""
    return Script(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        not_run=True,
        says=((RETRY_AFTER, str(retry_after)),),
    )


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _call_until(running: fleet_bench.FleetBench, end_s: float) -> int:
    """Send requests until a time; return how many were answered."""
    answered = 0
    while clocks.monotonic_s() < end_s:
        answer = await running.call('/look/')
        answered += answer.status == http.HTTPStatus.OK
        await curio.sleep(INTERVAL_S)
    return answered


async def _hear_refusal(running: fleet_bench.FleetBench, name: str) -> float:
    """Call until an endpoint has turned a request away; return when."""
    endpoint = running.scripted_endpoints[name]
    while not endpoint.arrivals:
        await running.call('/look/')
    return endpoint.arrivals_s[0]


def test_an_endpoint_gets_nothing_before_the_time_that_it_named(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        refusing = await running.add_endpoint(
            'i-1', 'plain', _refusing(HOLD_S), Script()
        )
        await running.add_endpoint('i-2', 'plain')
        heard_s = await _hear_refusal(running, 'i-1')
        assert await _call_until(running, heard_s + HOLD_S)
        assert len(refusing.arrivals) == 1
        await _call_until(running, clocks.monotonic_s() + 2)
        assert len(refusing.arrivals) > 1

    bench.run(body)


@attrs.define(eq=False)
class SlowConnections:
    """Connections to endpoints that are not open before ``opened`` is set.

    :ivar connect: Opens a connection.
    :ivar waiting: Number of connections that are not open yet.
    """

    connect: abc.Callable[[str], abc.Awaitable[http_client.Exchange]]
    opened: curio.Event = attrs.field(factory=curio.Event)
    waiting: int = 0

    async def open(self, address: str) -> http_client.Exchange:
        """Open a connection."""
        self.waiting += 1
        await self.opened.wait()
        self.waiting -= 1
        return await self.connect(address)


@pytest.mark.parametrize(
    'says', [(RETRY_AFTER, str(HOLD_S)), exchange_headers.LEAVING]
)
def test_a_request_is_not_sent_when_its_connection_opens_after_the_refusal(
    bench: fleet_bench.FleetBench,
    monkeypatch: pytest.MonkeyPatch,
    says: tuple[str, str],
) -> None:
    slow = SlowConnections(connections.connect)

    async def body(running: fleet_bench.FleetBench) -> None:
        refusing = await running.add_endpoint(
            'i-1', 'plain', Script(status=503, not_run=True, says=(says,))
        )
        with monkeypatch.context() as patched:
            patched.setattr(connections, 'connect', slow.open)
            tasks = [
                await curio.spawn(running.call, '/book/', f'b{number}')
                for number in range(SLOTS - 1)
            ]
            await running.wait_until(lambda: slow.waiting == SLOTS - 1)
        await _hear_refusal(running, 'i-1')
        await slow.opened.set()
        answers = [await task.join() for task in tasks]
        assert {answer.status for answer in answers} == {503}
        assert len(refusing.arrivals) == 1
        health = running.entry.candidates['i-1'].health
        assert health.failures <= 1

    bench.run(body)


def test_callers_hear_the_shortest_of_the_times_that_all_endpoints_named(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain', _refusing(30))
        await running.add_endpoint('i-2', 'plain', _refusing(20))
        for name in ('i-1', 'i-2'):
            await _hear_refusal(running, name)
        asked_s = clocks.monotonic_s()
        answer = await running.call('/look/')
        assert clocks.monotonic_s() - asked_s < FINAL_ANSWER_LIMIT_S
        assert answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        retry_after = http_messages.header(answer.headers, RETRY_AFTER)
        assert 19 < float(retry_after) < 26

    bench.run(body)


def test_a_queued_request_that_all_endpoints_refuse_is_answered_at_once(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        refusing = attrs.evolve(_refusing(30), delay_s=0.2)
        await running.add_endpoint('i-1', 'plain', refusing)
        tasks = [
            await curio.spawn(running.call, '/look/', f'a{number}')
            for number in range(8)
        ]
        asked_s = clocks.monotonic_s()
        for task in tasks:
            answer = await task.join()
            assert answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        assert clocks.monotonic_s() - asked_s < 2 * FINAL_ANSWER_LIMIT_S

    bench.run(body)


@pytest.mark.parametrize(
    'named', ['soon', '-3', 'nan', 'Fri, 04 Dec 2026 12:00:00 GMT', '1' * 99]
)
def test_a_time_that_can_not_be_read_is_logged_and_binds_nothing(
    bench: fleet_bench.FleetBench,
    caplog: pytest.LogCaptureFixture,
    named: str,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain', _refusing(named), Script())
        await running.call('/look/')
        assert (await running.call('/look/')).status == http.HTTPStatus.OK

    bench.run(body)
    lines = [
        record
        for record in caplog.records
        if record.name == answer_reports.__name__
    ]
    assert len(lines) == 1
    assert RETRY_AFTER in lines[0].message


def test_the_time_of_an_answer_that_is_no_refusal_binds_nothing(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        said = ((RETRY_AFTER, '60'),)
        await running.add_endpoint('i-1', 'plain', Script(says=said))
        for _ in range(2):
            assert (await running.call('/look/')).status == http.HTTPStatus.OK

    bench.run(body)
