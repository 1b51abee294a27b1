"""Tests of requests that come again and crash one endpoint after the other."""

import crashing_world
import curio
import fleet_bench
import pytest

from camphorstair_platform_standins import crashing

CRASHING_BODY = b'reserve yard -1'
# After the third crash and this time, at most this many copies of the request
# may reach endpoints.
CONTACT_S = 3.0
MAX_CRASHES = 3
MAX_LATER_ARRIVALS = 3
FIRST_ROUNDS = 12
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
