"""Runs the fake key-value service and its client in one curio loop."""

import typing
from collections import abc

import attrs
import curio

from camphorstair_runtime import http_server, listening, platform, settings
from camphorstair_standins import key_value, key_value_store, loopback

Body = abc.Callable[[platform.PlatformClient], abc.Awaitable[typing.Any]]


@attrs.define
class Bench:
    """The fake key-value service, driven by a clock that the test sets.

    :ivar now_s: Current time of the clock.
    :ivar service: The fake service.
    """

    now_s: float = 100
    service: key_value.KeyValueService = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the service with an empty store."""
        store = key_value_store.Store(self.clock)
        self.service = key_value.KeyValueService(store)

    def clock(self) -> float:
        """Return the current time in seconds."""
        return self.now_s

    def run(self, body: Body, members: int = 1) -> typing.Any:
        """Serve on loopback and run a test body with a client.

        :param body: Coroutine function that takes the client.
        :param members: Number of addresses that the service listens on.
        :returns: What ``body`` returned.
        """
        return curio.run(self._run, body, members)

    async def _run(self, body: Body, members: int) -> typing.Any:
        addresses = [loopback.free_address() for _ in range(members)]
        server = http_server.Server(self.service.handle)
        async with curio.TaskGroup(wait=any) as group:
            for address in addresses:
                host, port = settings.split_address(address)
                await group.spawn(listening.serve, host, port, server.serve)
            await curio.sleep(0)
            outcome = await body(platform.PlatformClient(addresses))
            await group.cancel_remaining()
        return outcome
