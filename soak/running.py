"""Runs one soak test and returns its outcome."""

import http
import pathlib
import random
import tempfile

import attrs
import curio

from soak import (
    callers,
    faults,
    fleet,
    recording,
    report_checks,
    schedule,
)

ENTRIES = 3
CALLERS = 9
# Time after the last fault by which every entry must serve requests again.
RECOVERY_S = 7.0


@attrs.frozen
class Outcome:
    """Outcome of a run.

    :ivar seed: Seed of the run.
    :ivar broken: Descriptions of the broken promises.
    :ivar faults: Number of scheduled faults.
    :ivar calls: Number of requests that callers sent.
    :ivar whole: Number of these requests that got a complete response with
        status 200.
    """

    seed: int
    broken: tuple[str, ...]
    faults: int
    calls: int
    whole: int


def run(seed: int, duration_s: float) -> Outcome:
    """Run a soak test with entries in separate processes.

    :param seed: Determines the faults and what callers request.
    :param duration_s: Duration of the run.
    """
    with tempfile.TemporaryDirectory() as directory:
        return curio.run(_run, seed, duration_s, pathlib.Path(directory))


async def _run(
    seed: int,
    duration_s: float,
    directory: pathlib.Path,
) -> Outcome:
    scheduled = schedule.draw(seed, duration_s, ENTRIES)
    seen = recording.Recording()
    async with curio.TaskGroup(wait=any) as group:
        running = fleet.Fleet(directory, group, seen)
        try:
            await _run_faults(running, seed, scheduled, duration_s)
        finally:
            running.end()
        await group.cancel_remaining()
    whole = sum(call.status == http.HTTPStatus.OK for call in seen.calls)
    broken = (*seen.broken(), *report_checks.broken(seen))
    return Outcome(seed, broken, len(scheduled), len(seen.calls), whole)


async def _run_faults(
    running: fleet.Fleet,
    seed: int,
    scheduled: list[schedule.Fault],
    duration_s: float,
) -> None:
    keys = [f'k{number}' for number in range(CALLERS)]
    await running.start(ENTRIES, keys)
    tasks = await _start_callers(running, seed, keys)
    await faults.FaultInjector(running).run(scheduled)
    await curio.sleep(max(0, duration_s - running.elapsed_s()))
    running.seen.faults.extend(lost_callers(tasks))
    running.seen.faults.extend(await idle_entries(running, duration_s))


async def _start_callers(
    running: fleet.Fleet, seed: int, keys: list[str]
) -> list[curio.Task]:
    """Start the callers and return their tasks."""
    tasks = []
    for number, key in enumerate(keys):
        generator = random.Random(seed * CALLERS + number)
        caller = _caller(running, f'{seed}-{number}', key, generator)
        tasks.append(await running.group.spawn(caller.run))
    return tasks


def lost_callers(tasks: list[curio.Task]) -> list[str]:
    """Describe the callers that have ended, as none does before the run."""
    return [
        f'caller {number} ended early: {task.exception!r}'
        for number, task in enumerate(tasks)
        if task.terminated
    ]


def _caller(
    running: fleet.Fleet, name: str, key: str, generator: random.Random
) -> callers.Caller:
    return callers.Caller(
        name,
        key,
        [entry.address for entry in running.entries],
        generator,
        running.seen,
        running.elapsed_s,
    )


async def idle_entries(running: fleet.Fleet, duration_s: float) -> list[str]:
    """Describe the entries that serve nobody at the end.

    Requests count from the middle of the recovery time on. An entry that
    nobody with an accepted key has asked by then is asked now.
    """
    recovered_by_s = duration_s - schedule.QUIET_END_S + RECOVERY_S
    accepted = [
        call
        for call in running.seen.calls
        if call.sent_s > recovered_by_s - RECOVERY_S / 2
        and call.key in running.keys
    ]
    served = {
        call.entry for call in accepted if call.status == http.HTTPStatus.OK
    }
    asked = {call.entry for call in accepted}
    idle = set(range(len(running.entries))) - served
    return [
        f'entry {number} served nobody at the end'
        for number in sorted(idle)
        if number in asked or not await _serves(running, number)
    ]


async def _serves(running: fleet.Fleet, number: int) -> bool:
    """Return whether an entry serves a caller whose key is accepted."""
    key = min(running.keys)
    name = f'last-{number}'
    caller = _caller(running, name, key, random.Random(number))
    await caller.send_batch(number)
    return any(
        call.status == http.HTTPStatus.OK
        for call in running.seen.calls
        if call.attempt.startswith(name)
    )
