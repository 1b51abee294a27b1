"""Run entries before endpoints that certain requests crash."""

import itertools
from collections import abc

import attrs
import curio
import fleet_bench

from camphorstair.fleet import serving
from camphorstair_platform_standins import crashing, documents
from camphorstair_runtime import clocks, http_client
from camphorstair_standins import loopback

FIRST_PART = '5c1e07a2'
ENDPOINTS = 3
RESTART_S = 0.3


@attrs.frozen
class Kind:
    """A kind of request.

    :ivar path: The path that it is sent to.
    :ivar service: The service that answers it.
    :ivar events: Number of events in an answer; 0 for a whole body.
    """

    path: str
    service: str
    events: int


DRAFT = Kind('/draft/', 'engine', 8)
LOOK = Kind('/look/', 'plain', 0)
BOOK = Kind('/book/', 'plain', 0)


@attrs.define(eq=False)
class World:
    """Two entries before endpoints that certain requests crash.

    :ivar crashes: Tells whether a request crashes its endpoint.
    :ivar kind: The kind of all requests.
    :ivar bench: The first entry and the store.
    :ivar entries: All entries; requests are sent to them in turn.
    :ivar crashes_s: Times of the crashes so far.
    :ivar arrivals: Number of crashing requests that reached endpoints.
    :ivar numbers: Numbers that no request has had.
    """

    crashes: crashing.Crashes
    kind: Kind = DRAFT
    bench: fleet_bench.FleetBench = attrs.field(factory=fleet_bench.FleetBench)
    entries: list[serving.Process] = attrs.field(factory=list)
    crashes_s: list[float] = attrs.field(factory=list)
    arrivals: int = 0
    numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    async def start(self) -> None:
        """Start the second entry and the endpoints."""
        second = await self.bench.add_entry('front-2')
        self.entries = [self.bench.process, second]
        for number in range(ENDPOINTS):
            await curio.spawn(self._keep_endpoint, number, daemon=True)
        known = self.bench.entry.endpoints.endpoints
        await self.bench.wait_until(lambda: len(known) == ENDPOINTS)

    async def send(self, *parts: str, body: bytes | None = None) -> int:
        """Send a request to the next entry.

        :param parts: Shared parts of its prompt; it gets a last one of its own.
        :param body: Its body; by default one of its own.
        :returns: Status of a complete answer; 0 if it broke off.
        """
        number = next(self.numbers)
        prompt = ','.join(f'{part}:40' for part in (*parts, f'own{number}'))
        try:
            answer = await self.bench.call(
                self.kind.path,
                f'a{number}',
                entry=self.entries[number % len(self.entries)],
                body=b'body %d' % number if body is None else body,
                x_camphorstair_prompt_prefix=prompt,
            )
        except http_client.HttpError:
            return 0
        return answer.status

    async def send_sound(self) -> int:
        """Send a request that crashes nothing; return its status."""
        return await self.send(FIRST_PART, 'doc')

    async def _keep_endpoint(self, number: int) -> None:
        """Run an endpoint; start it again, as another one, after each crash."""
        address = loopback.free_address()
        for start in itertools.count():
            endpoint = crashing.CrashingEndpoint(
                address, self.crashes, self.kind.events
            )
            name = f'i-{number}-{start}'
            self.bench.register(name, self.kind.service, address)
            await endpoint.run()
            self.arrivals += endpoint.crashing_arrivals()
            self.crashes_s.append(clocks.monotonic_s())
            self.bench.store.remove(documents.registration_key(name))
            await curio.sleep(RESTART_S)
