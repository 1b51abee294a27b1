"""Tests of endpoints that name how many requests a second they take."""

import curio
import fleet_bench
import pytest

from camphorstair.fleet import serving
from camphorstair_platform_standins import exchange_headers, scripted
from camphorstair_runtime import clocks, http_messages

Script = scripted.Script
PER_S = 1.0
# From this time after the limit was first named, each span may bring at most
# one and a half times what the limit allows, and some more.
CONTACT_S = 3.0
SPAN_S = 4.0
MAX_IN_SPAN = 1.5 * PER_S * SPAN_S + 5
CALLERS = 12
CALL_INTERVAL_S = 0.4
LOAD_S = 9.0
FINAL_ANSWER_LIMIT_S = 0.5
RETRY_AFTER = 'retry-after'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _call_often(
    running: fleet_bench.FleetBench,
    entry: serving.Process,
    caller: int,
    end_s: float,
) -> list[int]:
    """Send a request to an entry at intervals; return the statuses."""
    statuses: list[int] = []
    while clocks.monotonic_s() < end_s:
        attempt = f'c{caller}-{len(statuses)}'
        answer = await running.call('/look/', attempt, entry=entry)
        statuses.append(answer.status)
        await curio.sleep(CALL_INTERVAL_S)
    return statuses


async def _load(
    running: fleet_bench.FleetBench,
    entries: list[serving.Process],
    duration_s: float,
) -> list[int]:
    """Let callers send requests to all entries; return the statuses."""
    end_s = clocks.monotonic_s() + duration_s
    tasks = [
        await curio.spawn(
            _call_often, running, entries[caller % len(entries)], caller, end_s
        )
        for caller in range(CALLERS)
    ]
    statuses = [await task.join() for task in tasks]
    return [status for each in statuses for status in each]


def _most_in_span(times_s: list[float], from_s: float) -> int:
    """Return the largest number of times within ``SPAN_S``."""
    later = [time_s for time_s in times_s if time_s >= from_s]
    return max(
        sum(start_s <= time_s < start_s + SPAN_S for time_s in later)
        for start_s in (from_s, *later)
    )


async def _start_entries(
    running: fleet_bench.FleetBench,
) -> list[serving.Process]:
    others = [await running.add_entry(f'front-{name}') for name in (2, 3)]
    return [running.process, *others]


def test_all_entries_together_keep_the_limit_that_an_endpoint_names(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        limited = await running.add_endpoint(
            'i-1', 'plain', Script(says=(exchange_headers.limit(PER_S),))
        )
        await running.add_endpoint('i-2', 'plain')
        entries = await _start_entries(running)
        statuses = await _load(running, entries, LOAD_S)
        from_s = limited.arrivals_s[0] + CONTACT_S
        assert _most_in_span(limited.arrivals_s, from_s) <= MAX_IN_SPAN
        assert set(statuses) == {200}

    bench.run(body)


def test_an_endpoint_whose_limit_has_ended_is_used_again(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint(
            'i-1', 'plain', Script(says=(exchange_headers.limit(4),)), Script()
        )
        await running.call('/look/', 'a1')
        candidate = running.entry.candidates['i-1']
        assert candidate.terms.limit.per_s == 4
        await running.call('/look/', 'a2')
        assert candidate.terms.limit.per_s is None
        statuses = [
            (await running.call('/look/', f'b{number}')).status
            for number in range(10)
        ]
        assert statuses.count(200) == len(endpoint.arrivals) - 2

    bench.run(body)


def test_requests_that_limits_hold_up_for_too_long_are_refused_at_once(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint(
            'i-1', 'plain', Script(says=(exchange_headers.limit(0.1),))
        )
        assert (await running.call('/look/', 'a1')).status == 200
        asked_s = clocks.monotonic_s()
        answer = await running.call('/look/', 'a2')
        assert answer.status == 503
        assert clocks.monotonic_s() - asked_s < FINAL_ANSWER_LIMIT_S
        candidate = running.entry.candidates['i-1']
        remaining_s = candidate.terms.limit.next_send_s
        retry_after_s = float(http_messages.header(answer.headers, RETRY_AFTER))
        assert retry_after_s > remaining_s - clocks.monotonic_s()
        assert len(endpoint.arrivals) == 1

    bench.run(body)


def test_an_unreadable_limit_changes_nothing(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(
            'i-1',
            'plain',
            Script(says=(exchange_headers.limit(9),)),
            Script(says=(exchange_headers.limit('much'),)),
        )
        for attempt in ('a1', 'a2'):
            assert (await running.call('/look/', attempt)).status == 200
        candidate = running.entry.candidates['i-1']
        assert candidate.terms.limit.per_s == 9

    bench.run(body)


def test_a_restarted_endpoint_has_no_limit(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(
            'i-1',
            'plain',
            Script(
                says=(exchange_headers.limit(9),),
            ),
        )
        await running.call('/look/', 'a1')
        known = running.entry.endpoints.endpoints
        address = known['i-1'].registration.address
        running.register('i-1', 'plain', address, born=5)
        await running.wait_until(lambda: known['i-1'].registration.born_ms)
        running.register('i-1', 'plain', address, born=6)
        entry = running.entry
        await running.wait_until(
            lambda: not entry.candidate(known['i-1']).terms.limit.per_s
        )

    bench.run(body)
