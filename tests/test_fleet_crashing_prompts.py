"""Tests of prompts under which one engine after the other crashes."""

import itertools
from collections import abc

import attrs
import curio
import fleet_bench
import pytest

from camphorstair.fleet import serving
from camphorstair_platform_standins import crashing, documents
from camphorstair_runtime import clocks, http_client
from camphorstair_standins import loopback

CRASHING_PART = 'badbad01'
FIRST_PART = '5c1e07a2'
ENGINES = 3
RESTART_S = 0.3
FIRST_ROUNDS = 12
LATER_ROUNDS = 10
# After the fifth crash and this time, at most this many requests with the part
# may reach engines.
CONTACT_S = 3.0
MAX_CRASHES = 5
MAX_LATER_ARRIVALS = 3


@attrs.define(eq=False)
class World:
    """Two entries before engines that one part of a prompt crashes.

    :ivar bench: The first entry and the store.
    :ivar entries: All entries.
    :ivar crashes_s: Times of the crashes so far.
    :ivar arrivals: Number of requests with the part that reached engines.
    """

    bench: fleet_bench.FleetBench
    entries: list[serving.Process] = attrs.field(factory=list)
    crashes_s: list[float] = attrs.field(factory=list)
    arrivals: int = 0
    numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    async def start(self) -> None:
        """Start the second entry and the engines."""
        await self.bench.add_entry('front-2')
        self.entries = [
            self.bench.process,
            await self.bench.add_entry('front-3'),
        ]
        for number in range(ENGINES):
            await curio.spawn(self._keep_engine, number, daemon=True)
        known = self.bench.entry.endpoints.endpoints
        await self.bench.wait_until(lambda: len(known) == ENGINES)

    async def send(self, *parts: str) -> int:
        """Send a draft to the next entry.

        :param parts: Shared parts of its prompt; it gets a last one of its own.
        :returns: Status of a complete answer; 0 if it broke off.
        """
        number = next(self.numbers)
        prompt = ','.join(f'{part}:40' for part in (*parts, f'own{number}'))
        try:
            answer = await self.bench.call(
                '/draft/',
                f'a{number}',
                entry=self.entries[number % len(self.entries)],
                x_camphorstair_prompt_prefix=prompt,
            )
        except http_client.HttpError:
            return 0
        return answer.status

    async def send_crashing(self) -> int:
        """Send a draft with the part, unlike all others but for that."""
        return await self.send(
            FIRST_PART, f'doc{next(self.numbers)}', CRASHING_PART
        )

    async def _keep_engine(self, number: int) -> None:
        """Run an engine; start it again, as another one, after each crash."""
        address = loopback.free_address()
        for start in itertools.count():
            engine = crashing.CrashingEngine(address, CRASHING_PART)
            name = f'i-{number}-{start}'
            self.bench.register(name, 'engine', address)
            await engine.run()
            self.arrivals += engine.crashing_arrivals()
            self.crashes_s.append(clocks.monotonic_s())
            self.bench.store.remove(documents.registration_key(name))
            await curio.sleep(RESTART_S)


@pytest.fixture
def world() -> World:
    return World(fleet_bench.FleetBench())


async def _send_in_turn(world: World, rounds: int) -> list[int]:
    """Send a draft with the part and a sound one each round.

    Ends early at the fifth crash.

    :returns: The statuses of the sound ones.
    """
    statuses = []
    for _ in range(rounds):
        if len(world.crashes_s) >= MAX_CRASHES and rounds == FIRST_ROUNDS:
            break
        await world.send_crashing()
        await curio.sleep(RESTART_S)
        statuses.append(await world.send(FIRST_PART, 'doc'))
    return statuses


def test_a_prompt_part_that_crashes_engines_stops_reaching_them(
    world: World,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await world.start()
        for _ in range(4):
            assert await world.send(FIRST_PART, 'doc') == 200
        await _send_in_turn(world, FIRST_ROUNDS)
        await curio.sleep(CONTACT_S)
        before = world.arrivals
        sound = await _send_in_turn(world, LATER_ROUNDS)
        assert world.arrivals - before <= MAX_LATER_ARRIVALS
        assert sound.count(200) >= LATER_ROUNDS / 2

    world.bench.run(body)
