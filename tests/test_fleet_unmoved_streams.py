"""Tests that the entry ends no stream that another endpoint can't carry on.

Streams are moved away from a rank that turns slow. Each test guards against a
stream that was cut although its endpoint was still at work on it.
"""

import curio
import fleet_bench
import pytest
import rank_streams

from camphorstair.fleet import moving
from camphorstair_core import verdicts
from camphorstair_platform_standins import documents, exchange_headers, scripted
from camphorstair_runtime import clocks, http_messages

Script = scripted.Script
EVENT_COUNT = 8
STREAMS = 4
# Longer than the moves of all streams of a rank take.
MOVES_S = 0.5
TICK_S = 0.15
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _configure(running: fleet_bench.FleetBench, **route: object) -> None:
    """Replace the route of the streams."""
    running.configure(
        2,
        Routes=[documents.route('draft', 'streaming', 'engine', **route)],
    )
    await running.wait_until(lambda: running.entry.configuration.version == 2)


async def _begin_streams(
    running: fleet_bench.FleetBench,
    slow: scripted.ScriptedEndpoint,
    count: int,
) -> list[curio.Task]:
    """Begin streams at the only rank and wait until each has arrived."""
    callers = [
        await curio.spawn(running.call, '/draft/', f'a{number}')
        for number in range(count)
    ]
    await running.wait_until(lambda: len(slow.arrivals) == count)
    return callers


# review/6: streams that may not be resumed were cut, or answered 502, as their
# rank turned slow: the verdict of a finished attempt was asked of one that ran.
@pytest.mark.parametrize('until_slow_s', [0, 0.8])
def test_a_stream_that_may_not_be_resumed_stays_at_its_slow_rank(
    bench: fleet_bench.FleetBench, until_slow_s: float
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _configure(running, Resumable=False)
        script = Script(events=EVENT_COUNT, delay_s=0.3, gap_s=0.25)
        slow = await rank_streams.add(running, 'i-1', 0, script)
        callers = await _begin_streams(running, slow, STREAMS)
        await curio.sleep(until_slow_s)
        fast = await rank_streams.add(running, 'i-2', 1, Script(events=1))
        rank_streams.report_pace(running, 'i-1', 12)
        await curio.sleep(MOVES_S)
        rank_streams.report_pace(running, 'i-1', 12)
        for caller in callers:
            answer = await caller.join()
            assert answer.status == 200
            assert answer.body.count(b'id:') == EVENT_COUNT
        assert not fast.arrivals
        assert not slow.left

    bench.run(body)


# All streams of a slow rank were cut as soon as another rank had a single free
# slot; those without a slot waited, and some were refused in the middle.
@pytest.mark.parametrize('slots', [1, 3])
def test_only_as_many_streams_are_moved_as_have_a_slot_elsewhere(
    bench: fleet_bench.FleetBench, slots: int
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        script = Script(events=EVENT_COUNT, gap_s=0.3)
        slow = await rank_streams.add(running, 'i-1', 0, script)
        callers = await _begin_streams(running, slow, STREAMS)
        fast = await rank_streams.add(
            running, 'i-2', 1, Script(events=EVENT_COUNT, gap_s=0.3), slots
        )
        rank_streams.report_pace(running, 'i-1', 12)
        await curio.sleep(MOVES_S)
        assert len(fast.arrivals) == slots
        assert slow.left == slots
        assert rank_streams.running_at(running, 'i-2') == slots
        for caller in callers:
            answer = await caller.join()
            assert answer.body.count(b'id:') == EVENT_COUNT
        left = [
            rank_streams.running_at(running, name) for name in ('i-1', 'i-2')
        ]
        assert left == [0, 0]

    bench.run(body)


# A stream whose retry budget is spent can't be sent again, so it must stay, and
# the slot that was found for it must not stay taken.
def test_a_stream_without_a_retry_left_stays(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _configure(running, MaxAttempts=1)
        script = Script(events=EVENT_COUNT, gap_s=0.1)
        slow = await rank_streams.add(running, 'i-1', 0, script)
        callers = await _begin_streams(running, slow, 1)
        fast = await rank_streams.add(running, 'i-2', 1, Script(events=1))
        rank_streams.report_pace(running, 'i-1', 12)
        assert (await callers[0].join()).body.count(b'id:') == EVENT_COUNT
        assert not fast.arrivals
        assert not rank_streams.running_at(running, 'i-2')

    bench.run(body)


# A stream with a part of a prompt that was quarantined meanwhile would be
# refused at the next endpoint.
def test_a_stream_that_was_quarantined_meanwhile_stays(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        script = Script(events=EVENT_COUNT, gap_s=0.1)
        slow = await rank_streams.add(running, 'i-1', 0, script)
        caller = await curio.spawn(_call_with_part, running, 'beef')
        await running.wait_until(lambda: slow.arrivals)
        fast = await rank_streams.add(running, 'i-2', 1, Script(events=1))
        crashes = running.entry.crashes
        crashes.quarantined.add('beef', 60, clocks.monotonic_s())
        rank_streams.report_pace(running, 'i-1', 12)
        assert (await caller.join()).body.count(b'id:') == EVENT_COUNT
        assert not fast.arrivals

    bench.run(body)


async def _call_with_part(
    running: fleet_bench.FleetBench, part: str
) -> http_messages.Response:
    prefix = f'{part}:40,1:5'
    return await running.call('/draft/', x_camphorstair_prompt_prefix=prefix)


# A stream whose last bytes had come when it was to be moved was cut, although
# nothing was missing.
def test_a_stream_that_came_whole_before_its_move_is_complete(
    bench: fleet_bench.FleetBench,
) -> None:
    async def serve(sock: curio.io.Socket, _address: object) -> None:
        await sock.recv(65536)
        await sock.sendall(b''.join((_chunked_head('a1'), _chunk(1))))
        await rest.wait()
        await sock.sendall(b'%s0\r\n\r\n' % _chunk(2))
        # The entry's task that reads the answer has had no turn since.
        rank_streams.report_pace(bench, 'i-1', 12)
        moving.move_from_slow_ranks(bench.entry, bench.process.dispatcher)
        moved.append(rank_streams.running_at(bench, 'i-2'))
        await curio.sleep(TICK_S)

    async def body(running: fleet_bench.FleetBench) -> None:
        await rank_streams.add_raw(running, 'i-1', 0, serve)
        caller = await curio.spawn(running.call, '/draft/')
        await running.wait_until(lambda: running.entry.moves)
        await rank_streams.add(running, 'i-2', 1, Script(status=500))
        await rest.set()
        answer = await caller.join()
        assert answer.body.count(b'id:') == 2
        assert moved == [1]
        assert not rank_streams.running_at(running, 'i-2')

    rest = curio.Event()
    moved: list[int] = []
    bench.run(body)


def _chunked_head(attempt: str) -> bytes:
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in exchange_headers.sealed(attempt)
    )
    return b'%s%s\r\n' % (CHUNKED_HEAD, lines.encode())


def _chunk(number: int) -> bytes:
    event = b'id: %d\ndata: w\n\n' % number
    return b'%x\r\n%s\r\n' % (len(event), event)


# The verdict of attempts that have ended is "not run" while one is running.
@pytest.mark.parametrize(
    ('sent', 'ended', 'verdict'),
    [
        (False, verdicts.Verdict.not_run, verdicts.Verdict.not_run),
        (True, verdicts.Verdict.not_run, verdicts.Verdict.may_have_run),
        (True, verdicts.Verdict.ran, verdicts.Verdict.ran),
        (False, verdicts.Verdict.may_have_run, verdicts.Verdict.may_have_run),
    ],
)
def test_an_attempt_in_progress_may_have_run(
    sent: bool, ended: verdicts.Verdict, verdict: verdicts.Verdict
) -> None:
    assert verdicts.in_progress(ended, sent=sent) is verdict
