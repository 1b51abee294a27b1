"""Runs one soak and tells what it broke."""

import http
import pathlib
import random
import tempfile

import attrs
import curio

from soak import callers, faults, fleet, schedule, witness

ENTRIES = 3
CALLERS = 9
# All entries serve again this long after the last fault.
RECOVERY_S = 7.0


@attrs.frozen
class Outcome:
    """What a soak showed.

    :ivar broken: The broken promises, in words.
    :ivar faults: Number of faults that struck.
    :ivar calls: Requests of callers.
    :ivar whole: Those of them that were answered whole.
    """

    seed: int
    broken: tuple[str, ...]
    faults: int
    calls: int
    whole: int


def run(seed: int, duration_s: float) -> Outcome:
    """Run a soak.

    :param seed: Gives the same faults each time.
    :param duration_s: Length of the run.
    """
    with tempfile.TemporaryDirectory() as directory:
        return curio.run(_run, seed, duration_s, pathlib.Path(directory))


async def _run(
    seed: int,
    duration_s: float,
    directory: pathlib.Path,
) -> Outcome:
    planned = schedule.draw(seed, duration_s, ENTRIES)
    seen = witness.Witness()
    async with curio.TaskGroup(wait=any) as group:
        running = fleet.Fleet(directory, group, seen)
        try:
            await _strike(running, seed, planned, duration_s)
        finally:
            running.end()
        await group.cancel_remaining()
    whole = sum(call.status == http.HTTPStatus.OK for call in seen.calls)
    return Outcome(
        seed, tuple(seen.broken()), len(planned), len(seen.calls), whole
    )


async def _strike(
    running: fleet.Fleet,
    seed: int,
    planned: list[schedule.Fault],
    duration_s: float,
) -> None:
    keys = [f'k{number}' for number in range(CALLERS)]
    await running.start(ENTRIES, keys)
    await _call(running, seed, keys)
    await faults.Striker(running).run(planned)
    await curio.sleep(max(0, duration_s - running.elapsed_s()))
    running.seen.faults.extend(_silent(running, duration_s))


async def _call(running: fleet.Fleet, seed: int, keys: list[str]) -> None:
    addresses = [entry.address for entry in running.entries]
    for number, key in enumerate(keys):
        caller = callers.Caller(
            f'{seed}-{number}',
            key,
            addresses,
            random.Random(seed * CALLERS + number),
            running.seen,
            running.elapsed_s,
        )
        await running.group.spawn(caller.run)


def _silent(running: fleet.Fleet, duration_s: float) -> list[str]:
    """Return the entries that served nobody after the last fault."""
    since_s = duration_s - schedule.QUIET_END_S + RECOVERY_S
    served = {
        call.entry
        for call in running.seen.calls
        if call.sent_s > since_s - RECOVERY_S / 2
        and call.status == http.HTTPStatus.OK
    }
    return [
        f'entry {number} served nobody at the end'
        for number in range(len(running.entries))
        if number not in served
    ]
