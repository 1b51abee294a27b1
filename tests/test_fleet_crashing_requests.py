"""Tests of requests that come again and crash one endpoint after the other."""

import crashing_world
import curio
import fleet_bench
import msgspec
import pytest

from camphorstair_core.fleet import quarantine, request_identity
from camphorstair_fleet import keys
from camphorstair_platform_standins import crashing, documents
from camphorstair_runtime import clocks

CRASHING_BODY = b'reserve yard -1'
# After the third crash and this time, at most this many copies of the request
# may reach endpoints.
CONTACT_S = 3.0
MAX_CRASHES = 3
MAX_LATER_ARRIVALS = 3
FIRST_ROUNDS = 12
MAX_REFUSAL_S = 90
COPIES = 6
COPY_INTERVAL_S = 0.15
OUTAGE_S = 4.0
LATER_S = 4.0
LATER_ROUNDS = 10


async def _send_crashing(world: crashing_world.World) -> int:
    """Send the crashing request again; all parts of its prompt are common."""
    return await world.send(
        crashing_world.FIRST_PART, 'doc', body=CRASHING_BODY
    )


async def _send_round(world: crashing_world.World) -> int:
    """Send the crashing request, then a sound one; return its status."""
    await _send_crashing(world)
    await curio.sleep(crashing_world.RESTART_S)
    return await world.send_sound()


def _world(kind: crashing_world.Kind) -> crashing_world.World:
    return crashing_world.World(crashing.has_body(CRASHING_BODY), kind)


@pytest.mark.parametrize(
    'kind',
    [crashing_world.LOOK, crashing_world.BOOK, crashing_world.DRAFT],
    ids=lambda kind: kind.path.strip('/'),
)
def test_a_request_that_crashes_endpoints_stops_reaching_them(
    kind: crashing_world.Kind,
) -> None:
    world = _world(kind)

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


def _identity(body: bytes) -> str:
    """Return the identity of a lookup."""
    return request_identity.identity(
        request_identity.RequestContent(
            'gravier',
            documents.HOST,
            'POST',
            crashing_world.LOOK.path,
            body,
        )
    )


async def _make_trial_due(world: crashing_world.World, body: bytes) -> None:
    """Quarantine a lookup at all entries, so that a trial may be made."""
    suspect = _identity(body)
    row = quarantine.QuarantinedSuspect(suspect, 0)
    world.bench.store.put(keys.quarantined(suspect), msgspec.json.encode(row))
    await world.bench.wait_until(
        lambda: all(
            suspect in process.entry.crashes.quarantined.holds
            for process in world.entries
        )
    )


async def _send_copies(world: crashing_world.World, body: bytes) -> list[int]:
    """Send copies of a lookup to all entries at once; return the statuses."""

    async def send() -> int:
        return await world.send(body=body)

    tasks = [await curio.spawn(send) for _ in range(COPIES)]
    return [await task.join() for task in tasks]


def test_callers_of_a_found_request_are_refused_for_a_minute_not_ten() -> None:
    world = _world(crashing_world.LOOK)

    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        answer = await running.call('/look/', body=CRASHING_BODY)
        while answer.status != 503 or b'quarantined' not in answer.body:
            await curio.sleep(crashing_world.RESTART_S)
            answer = await running.call('/look/', body=CRASHING_BODY)
        retry_after_s = float(dict(answer.headers)['retry-after'])
        assert retry_after_s <= MAX_REFUSAL_S

    world.bench.run(body)


def test_one_copy_in_the_whole_fleet_is_the_trial_of_a_request() -> None:
    world = _world(crashing_world.LOOK)

    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        await _make_trial_due(world, CRASHING_BODY)
        statuses = await _send_copies(world, CRASHING_BODY)
        statuses += await _send_copies(world, CRASHING_BODY)
        assert world.arrivals == 1
        assert statuses.count(502) == 1
        assert statuses.count(503) == 2 * COPIES - 1
        row = running.store.rows[keys.quarantined(_identity(CRASHING_BODY))]
        written = msgspec.json.decode(
            row.content, type=quarantine.QuarantinedSuspect
        )
        assert written.trials == 1
        assert written.remaining_s == quarantine.trial_delay_s(1)

    world.bench.run(body)


def test_an_answered_trial_ends_a_false_quarantine_at_all_entries() -> None:
    world = _world(crashing_world.LOOK)

    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        await _make_trial_due(world, b'sound')
        assert await world.send(body=b'sound') == 200
        await running.wait_until(
            lambda: (
                not any(
                    process.entry.crashes.quarantined.holds
                    for process in world.entries
                )
            )
        )
        assert set(await _send_copies(world, b'sound')) == {200}

    world.bench.run(body)


def test_no_trial_is_made_while_the_store_does_not_answer() -> None:
    world = _world(crashing_world.LOOK)

    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        await _make_trial_due(world, CRASHING_BODY)
        running.store.faults.refuses = True
        assert set(await _send_copies(world, CRASHING_BODY)) == {503}
        assert not world.arrivals

    world.bench.run(body)


async def _send_for(world: crashing_world.World, duration_s: float) -> None:
    """Send copies of the crashing request to all entries in turn."""
    end_s = clocks.monotonic_s() + duration_s
    while clocks.monotonic_s() < end_s:
        await curio.spawn(_send_crashing, world, daemon=True)
        await curio.sleep(COPY_INTERVAL_S)


def test_entries_agree_on_a_request_once_the_store_is_back() -> None:
    world = _world(crashing_world.LOOK)

    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        for name in ('front-3', 'front-4'):
            world.entries.append(await running.add_entry(name))
        running.store.faults.refuses = True
        await _send_for(world, OUTAGE_S)
        running.store.faults.refuses = False
        await _send_for(world, CONTACT_S)
        assert len(world.crashes_s) >= MAX_CRASHES
        before = world.arrivals
        await _send_for(world, LATER_S)
        assert world.arrivals - before <= MAX_LATER_ARRIVALS

    world.bench.run(body)


def test_an_entry_that_joins_during_the_crashes_refuses_the_request() -> None:
    world = _world(crashing_world.LOOK)

    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        while len(world.crashes_s) < MAX_CRASHES - 1:
            await _send_crashing(world)
            await curio.sleep(crashing_world.RESTART_S)
        joined = await running.add_entry('front-9')
        await _send_for(world, CONTACT_S)
        world.entries = [joined]
        before = world.arrivals
        await _send_for(world, LATER_S)
        assert world.arrivals - before <= MAX_LATER_ARRIVALS

    world.bench.run(body)
