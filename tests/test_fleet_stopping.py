"""Tests of the requests that an entry takes and answers while it stops.

Accepting a request is a promise: what can't be expected to end in time is
refused as not run, so that its caller goes elsewhere, and nothing ends without
an answer.
"""

import http

import attrs
import curio
import fleet_bench
import pytest

from camphorstair.fleet import serving, stopping
from camphorstair_core.fleet import answer_durations, waiting
from camphorstair_platform_standins import scripted
from camphorstair_runtime import clocks, http_client, http_messages

Script = scripted.Script
GRACE_S = 2.5
# Until when requests run after the signal.
SERVES_S = GRACE_S - stopping.GRACE_RESERVE_S
LONG_S = 1.1
AT_ONCE_S = 0.3
# Of the endpoints of the tests.
SLOTS = 4


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _stop(
    running: fleet_bench.FleetBench, grace_s: float = GRACE_S
) -> curio.Task:
    """Let the entry stop, with a shorter grace period."""
    settings = running.entry.settings
    bounds = attrs.evolve(settings.bounds, grace_s=grace_s)
    running.entry.settings = attrs.evolve(settings, bounds=bounds)
    task: curio.Task = await curio.spawn(serving.stop, running.process)
    await running.wait_until(lambda: running.entry.leaving)
    return task


async def _call(
    running: fleet_bench.FleetBench, path: str, attempt: str
) -> http_messages.Response | None:
    """Return the answer to a request; None if it was cut off."""
    try:
        return await running.call(path, attempt)
    except http_client.HttpError:
        return None


def _status(answer: http_messages.Response | None) -> int:
    """Return the status of an answer; 0 if the request was cut off."""
    return answer.status if answer else 0


# Requests that came late in the grace period were passed on, and cut off without
# an answer at its end.
def test_a_request_that_can_not_end_in_time_is_refused_at_once(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint(
            'i-1', 'plain', Script(delay_s=LONG_S)
        )
        await running.call('/book/', 'a1')
        await _stop(running)
        await curio.sleep(SERVES_S - LONG_S + 0.1)
        asked_s = clocks.monotonic_s()
        refused = await _call(running, '/book/', 'a2')
        assert refused
        assert refused.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        retry_after_s = http_messages.header(refused.headers, 'retry-after')
        assert float(retry_after_s) < AT_ONCE_S
        assert clocks.monotonic_s() - asked_s < AT_ONCE_S
        assert len(endpoint.arrivals) == 1

    bench.run(body)


# Requests of other routes must not be refused for it.
def test_a_request_that_can_end_in_time_is_served(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain', Script(), Script())
        assert await _call(running, '/look/', 'a1')
        await _stop(running)
        await curio.sleep(SERVES_S - LONG_S + 0.1)
        served = await _call(running, '/look/', 'a2')
        assert _status(served) == http.HTTPStatus.OK

    bench.run(body)


# An entry that has answered nothing yet can only go by the time limit.
def test_without_known_answers_the_time_limit_must_fit(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain', Script(delay_s=4))
        await _stop(running)
        refused = await _call(running, '/book/', 'a1')
        assert _status(refused) == http.HTTPStatus.SERVICE_UNAVAILABLE
        assert not endpoint.arrivals

    bench.run(body)


# A request that is still at its endpoint at the end was cut off with no answer.
def test_a_request_that_runs_at_the_end_gets_an_answer_that_promises_nothing(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain', Script(delay_s=6))
        caller = await curio.spawn(_call, running, '/book/', 'a1')
        await running.wait_until(lambda: endpoint.arrivals)
        stop = await _stop(running)
        answer = await curio.timeout_after(SERVES_S + AT_ONCE_S, caller.join)
        assert answer
        assert answer.status == http.HTTPStatus.BAD_GATEWAY
        assert not http_messages.header(answer.headers, 'retry-after')
        await stop.join()

    bench.run(body)


# A stream that has begun must break visibly.
def test_a_stream_that_runs_at_the_end_does_not_look_complete(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        script = Script(events=30, gap_s=0.2)
        endpoint = await running.add_endpoint('i-1', 'engine', script)
        caller = await curio.spawn(_call, running, '/draft/', 'a1')
        await running.wait_until(lambda: endpoint.arrivals)
        await _stop(running)
        assert await caller.join() is None

    bench.run(body)


# Requests that waited for an endpoint waited on, and ended without an answer.
def test_a_queued_request_that_can_not_end_in_time_is_refused(
    bench: fleet_bench.FleetBench,
) -> None:
    # The first answer is expected again, the others free their slots too late
    # for that, also if the entry stops up to a second after it has sent them.
    expected_s = 2.0
    slot_s = 1.8
    grace_s = 3.2
    latest_start_s = grace_s - stopping.GRACE_RESERVE_S - expected_s

    async def body(running: fleet_bench.FleetBench) -> None:
        scripts = (Script(delay_s=expected_s), Script(delay_s=slot_s))
        endpoint = await running.add_endpoint('i-1', 'plain', *scripts)
        assert await _call(running, '/book/', 'a0')
        callers = [
            await curio.spawn(_call, running, '/book/', f'a{number}')
            for number in range(1, SLOTS + 2)
        ]
        await running.wait_until(lambda: len(endpoint.arrivals) == SLOTS + 1)
        stopped_s = clocks.monotonic_s()
        await _stop(running, grace_s)
        queued = await callers[-1].join()
        assert _status(queued) == http.HTTPStatus.SERVICE_UNAVAILABLE
        assert clocks.monotonic_s() - stopped_s < latest_start_s + AT_ONCE_S
        served = [_status(await caller.join()) for caller in callers[:-1]]
        assert served == [http.HTTPStatus.OK for _ in served]
        assert len(endpoint.arrivals) == SLOTS + 1

    bench.run(body)


def test_the_longest_of_the_latest_answers_is_expected() -> None:
    durations = answer_durations.AnswerDurations()
    assert answer_durations.expected_s(durations, 'book', 4) == 4
    answer_durations.record(durations, 'book', 3)
    for _ in range(answer_durations.MAX_ANSWERS - 1):
        answer_durations.record(durations, 'book', 1)
    assert answer_durations.expected_s(durations, 'book', 4) == 3
    assert answer_durations.expected_s(durations, 'book', 2) == 2
    assert answer_durations.expected_s(durations, 'look', 4) == 4
    answer_durations.record(durations, 'book', 1)
    assert answer_durations.expected_s(durations, 'book', 4) == 1


@pytest.mark.parametrize(('stop_s', 'latest_s'), [(9, 7), (20, 10)])
def test_a_request_starts_only_as_long_as_it_can_end(
    stop_s: float, latest_s: float
) -> None:
    waiter = waiting.Waiter('o', 1, 0, latest_useful_start_s=10)
    waiter.expected_answer_s = 2
    waiting.limit_start(waiter, stop_s)
    assert waiter.latest_useful_start_s == latest_s
