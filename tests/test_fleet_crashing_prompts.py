"""Tests of prompts under which one engine after the other crashes."""

import crashing_world
import curio
import fleet_bench
import msgspec
import pytest

from camphorstair.fleet import quarantining, serving
from camphorstair_core.fleet import quarantine, store_copy
from camphorstair_fleet import keys
from camphorstair_platform_standins import crashing, scripted
from camphorstair_runtime import clocks

CRASHING_PART = 'badbad01'
# As many drafts as an endpoint runs concurrently keep it busy.
SLOTS = 4
FINAL_ANSWER_LIMIT_S = 0.5
BUSY = scripted.Script(events=8, gap_s=0.4)
FIRST_ROUNDS = 12
LATER_ROUNDS = 10
# After the fifth crash and this time, at most this many requests with the part
# may reach engines.
CONTACT_S = 3.0
MAX_CRASHES = 5
MAX_LATER_ARRIVALS = 3
QUARANTINE_LIMIT_S = 20.0


async def _send_crashing(world: crashing_world.World) -> int:
    """Send a draft with the part, unlike all others but for that."""
    return await world.send(
        crashing_world.FIRST_PART, f'doc{next(world.numbers)}', CRASHING_PART
    )


async def _send_round(world: crashing_world.World) -> int:
    """Send a draft with the part, then a sound one; return its status."""
    await _send_crashing(world)
    await curio.sleep(crashing_world.RESTART_S)
    return await world.send_sound()


async def _quarantine(world: crashing_world.World) -> None:
    """Crash engines until all entries refuse the part."""
    await world.start()
    async with curio.timeout_after(QUARANTINE_LIMIT_S):
        while not all(
            process.entry.crashes.quarantined.holds for process in world.entries
        ):
            await _send_round(world)


async def _assert_refused(
    world: crashing_world.World, process: serving.Process
) -> None:
    """Assert that an entry refuses a draft with the part, and no other."""
    arrivals = world.arrivals
    world.entries = [process]
    assert await _send_crashing(world) == 503
    assert await world.send_sound() == 200
    assert world.arrivals == arrivals


@pytest.fixture
def world() -> crashing_world.World:
    return crashing_world.World(crashing.has_part(CRASHING_PART))


def test_a_prompt_part_that_crashes_engines_stops_reaching_them(
    world: crashing_world.World,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        for _ in range(4):
            assert await world.send_sound() == 200
        for _ in range(FIRST_ROUNDS):
            if len(world.crashes_s) < MAX_CRASHES:
                await _send_round(world)
        await curio.sleep(CONTACT_S)
        before = world.arrivals
        sound = [await _send_round(world) for _ in range(LATER_ROUNDS)]
        assert world.arrivals - before <= MAX_LATER_ARRIVALS
        assert sound.count(200) >= LATER_ROUNDS / 2

    world.bench.run(body)


def test_an_entry_that_starts_later_refuses_the_part(
    world: crashing_world.World,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _quarantine(world)
        await _assert_refused(world, await running.add_entry('front-9'))

    world.bench.run(body)


def test_the_part_stays_refused_after_the_store_lost_its_key(
    world: crashing_world.World,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        earlier = running.store.copy_content()
        await _quarantine(world)
        key = keys.quarantined(CRASHING_PART)
        assert key in running.store.rows
        registrations = {
            name: row
            for name, row in running.store.rows.items()
            if name.startswith('servers/')
        }
        running.store.come_back(earlier)
        for name, row in registrations.items():
            running.store.put(name, row.content)
        await running.wait_until(lambda: key in running.store.rows)
        await curio.sleep(store_copy.RETURN_LIMIT_S)
        await _assert_refused(world, running.process)
        await _assert_refused(world, await running.add_entry('front-9'))

    world.bench.run(body)


def test_an_operator_releases_a_part_by_removing_its_key(
    world: crashing_world.World,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _quarantine(world)
        running.store.remove(keys.quarantined(CRASHING_PART))
        quarantined = running.entry.crashes.quarantined
        await running.wait_until(lambda: not quarantined.holds)

    world.bench.run(body)


@pytest.mark.parametrize(('remaining_s', 'forgets'), [(60, True), (1, False)])
def test_only_an_operator_makes_earlier_crashes_not_count(
    remaining_s: float, forgets: bool
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        entry = running.entry
        row = quarantine.QuarantinedSuspect(CRASHING_PART, 0)
        key = keys.quarantined(CRASHING_PART)
        written = store_copy.Item(key, msgspec.json.encode(row), 1)
        quarantining.apply_key(entry, written, 1)
        holds = entry.crashes.quarantined.holds
        holds[CRASHING_PART].end_s = clocks.monotonic_s() + remaining_s
        quarantining.apply_key(entry, store_copy.Item(key, None, 2), 1)
        assert not holds
        assert bool(entry.crashes.history.released_s) == forgets

    fleet_bench.FleetBench().run(body)


def test_a_queued_request_with_a_found_part_is_refused_at_once(
    world: crashing_world.World,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'engine', BUSY)
        tasks = [
            await curio.spawn(running.call, '/draft/', f'b{number}')
            for number in range(SLOTS)
        ]
        await running.wait_until(lambda: running.entry.queues)
        world.entries = [running.process]
        queued = await curio.spawn(_send_crashing, world)
        queue = running.entry.queue('engine')
        await running.wait_until(lambda: queue.waiters)
        found_s = clocks.monotonic_s()
        running.entry.crashes.quarantined.add(CRASHING_PART, 60, found_s)
        assert await queued.join() == 503
        assert clocks.monotonic_s() - found_s < FINAL_ANSWER_LIMIT_S
        for task in tasks:
            await task.cancel()

    world.bench.run(body)
