"""Tests of the soak test: short runs with fixed seeds, and its checks."""

import pathlib

import curio
import pytest

from soak import (
    faults,
    fleet,
    recording,
    report_checks,
    running,
    schedule,
)

SEED = 1
DURATION_S = 16.0
SEED_DURATION_S = 24.0


def test_short_soak_breaks_no_guarantee() -> None:
    outcome = running.run(SEED, DURATION_S)
    assert not outcome.broken
    assert outcome.whole


@pytest.mark.parametrize('seed', [205, 7041])
def test_seeds_that_failed_before(seed: int) -> None:
    """Guard against known failures; soak/SEEDS.md lists their causes."""
    assert not running.run(seed, SEED_DURATION_S).broken


def test_reload_does_not_end_an_entry_that_has_just_been_started(
    tmp_path: pathlib.Path,
) -> None:
    assert not curio.run(_faults_of_reload_at_start, tmp_path)


async def _faults_of_reload_at_start(directory: pathlib.Path) -> list[str]:
    """Return what is found after a SIGHUP right at the start of an entry."""
    async with curio.TaskGroup(wait=any) as group:
        started = fleet.Fleet(directory, group, recording.Recording())
        try:
            await started.start(1, ['k1'])
            await _restart_and_reload(started)
        finally:
            started.end()
        await group.cancel_remaining()
    return started.seen.faults


def test_entries_are_not_started_again_after_the_end(
    tmp_path: pathlib.Path,
) -> None:
    ended = curio.run(_fleet_after_its_end, tmp_path)
    assert not ended.seen.faults
    process = ended.entry_at(0).process
    assert process is not None
    assert process.poll() is not None


async def _fleet_after_its_end(directory: pathlib.Path) -> fleet.Fleet:
    """Return a fleet that has ended, its supervisor still running."""
    async with curio.TaskGroup(wait=any) as group:
        ended = fleet.Fleet(directory, group, recording.Recording())
        try:
            await ended.start(1, ['k1'])
        finally:
            ended.end()
        await curio.sleep(2 * fleet.RESTART_S)
        await group.cancel_remaining()
    return ended


# Callers that ended with an error were not missed: 31 of 72 in 8 runs.
def test_callers_that_end_early_are_reported() -> None:
    assert curio.run(_lost_callers) == ["caller 1 ended early: OSError('x')"]


async def _lost_callers() -> list[str]:
    async def fail() -> None:
        raise OSError('x')

    async with curio.TaskGroup(wait=any) as group:
        tasks = [
            await group.spawn(curio.sleep, 9),
            await group.spawn(fail),
        ]
        await curio.sleep(0.05)
        lost = running.lost_callers(tasks)
        await group.cancel_remaining()
    return lost


def test_only_entries_that_serve_nobody_who_asks_are_reported(
    tmp_path: pathlib.Path,
) -> None:
    assert curio.run(_count_idle_entries, tmp_path) == [0, 1, 1]


async def _count_idle_entries(directory: pathlib.Path) -> list[int]:
    """Count the idle entries of a fleet of one, in three cases.

    Nobody asks it; a caller with an accepted key asks it in vain; it has ended
    and nobody asks it.
    """
    refused = _call('look', 503)
    async with curio.TaskGroup(wait=any) as group:
        alive = fleet.Fleet(directory, group, recording.Recording())
        try:
            await alive.start(1, ['k1'])
            counts = [
                await _count_idle(alive),
                await _count_idle(alive, refused),
            ]
        finally:
            alive.end()
        counts.append(await _count_idle(alive))
        await group.cancel_remaining()
    return counts


async def _count_idle(alive: fleet.Fleet, *calls: recording.Call) -> int:
    """Count the entries that are idle if these are the calls so far."""
    alive.seen.calls.clear()
    alive.seen.calls.extend(calls)
    return len(await running.idle_entries(alive, 0))


async def _restart_and_reload(started: fleet.Fleet) -> None:
    injector = faults.FaultInjector(started)
    now_s = started.elapsed_s()
    kill = schedule.Fault(schedule.Kind.kill, now_s, now_s, 0)
    await injector.run([kill])
    now_s = started.elapsed_s()
    reload = schedule.Fault(schedule.Kind.reload, now_s, now_s, 0)
    await injector.run([reload])
    await curio.sleep(fleet.START_LIMIT_S)


def test_the_same_seed_draws_the_same_faults() -> None:
    first = schedule.draw(SEED, DURATION_S, 3)
    assert first == schedule.draw(SEED, DURATION_S, 3)
    assert first != schedule.draw(SEED + 1, DURATION_S, 3)


def _recorded(
    call: recording.Call,
    *runs: recording.Arrival,
) -> recording.Recording:
    """Return a recording of one call and some runs."""
    return recording.Recording(runs=list(runs), calls=[call])


def _call(route: str, status: int, body: bytes = b'') -> recording.Call:
    """Return a call of request ``a`` from second 1 to second 2."""
    return recording.Call('a', route, 'k1', 0, 1, 2, status, body)


RUN = recording.Arrival('a', 'i-1', 1)


@pytest.mark.parametrize(
    ('seen', 'broken'),
    [
        (_recorded(_call('book', 200, b'a'), RUN), ''),
        (_recorded(_call('book', 200, b'a'), RUN, RUN), 'ran twice'),
        (_recorded(_call('look', 200, b'a'), RUN, RUN), ''),
        (_recorded(_call('book', 503), RUN), 'was refused by 503 and ran'),
        (_recorded(_call('book', 502), RUN), ''),
        (_recorded(_call('look', 200, b'b'), RUN), 'wrong answer'),
        (
            _recorded(
                _call('draft', 200, b''.join(recording.events('a', 2))),
                RUN,
            ),
            'wrong answer',
        ),
    ],
)
def test_recording_reports_broken_guarantee(
    seen: recording.Recording,
    broken: str,
) -> None:
    failures = seen.broken()
    assert len(failures) == bool(broken)
    assert broken in ''.join(failures)


def test_use_of_revoked_key_or_drained_endpoint_is_reported() -> None:
    late_run = recording.Arrival('a', 'i-1', 9)
    call = recording.Call('a', 'look', 'k1', 0, 9, 10, 200, b'a')
    seen = _recorded(call, late_run)
    seen.revoked_s['k1'] = 9 - recording.REVOKE_S - 1
    seen.drained_s['i-1'] = 9 - recording.DRAIN_S - 1
    assert len(seen.broken()) == 2
    seen.unplanned_fault_periods.append(recording.FaultPeriod(7, 8))
    assert len(seen.broken()) == 1


def test_recording_reports_calls_cut_off_by_planned_stop() -> None:
    seen = _recorded(recording.Call('a', 'look', 'k1', 2, 3, 5), RUN)
    assert seen.cut_off(2, 4)
    assert not seen.cut_off(1, 4)
    seen.unplanned_fault_periods.append(recording.FaultPeriod(1, 2))
    assert not seen.cut_off(2, 4)


def _told(endpoint_told_s: float, *arrivals_s: float) -> recording.Recording:
    """Return a recording of a report to entry 0 and of its later requests."""
    seen = recording.Recording()
    for number, at_s in enumerate((endpoint_told_s, *arrivals_s)):
        seen.calls.append(
            recording.Call(str(number), 'look', 'k1', 0, at_s, at_s, 200)
        )
        seen.runs.append(recording.Arrival(str(number), 'i-1', at_s))
    return seen


def test_requests_to_an_endpoint_that_said_it_leaves_are_reported() -> None:
    seen = _told(1, 2, 1 + recording.DRAIN_S + 0.1)
    seen.leaving_reports.append(seen.runs[0])
    assert len(report_checks.broken(seen)) == 1
    seen.record_interruption(1, 1.5)
    assert len(report_checks.broken(seen)) == 1
    seen.record_interruption(0, 1.5)
    assert not report_checks.broken(seen)


def test_requests_to_an_endpoint_within_its_retry_after_are_reported() -> None:
    most = (1.6,) * report_checks.MAX_ARRIVALS
    for arrivals_s, broken in ((most, 0), ((*most, 2), 1), ((*most, 4), 0)):
        seen = _told(1, *arrivals_s)
        seen.refusals.append(seen.runs.pop(0))
        assert len(report_checks.broken(seen)) == broken
    seen = _told(1, *most, 2)
    seen.refusals.append(seen.runs.pop(0))
    seen.lost_answer_periods.append(recording.FaultPeriod(0.5, 1.2))
    assert not report_checks.broken(seen)
