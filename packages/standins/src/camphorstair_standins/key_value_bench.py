"""Runs the stand-in for the key-value service in the loop of a test."""

import typing
from collections import abc

import attrs
import curio

from camphorstair_runtime import http_server, listening, platform, settings
from camphorstair_standins import key_value, key_value_store, loopback

Body = abc.Callable[[platform.PlatformClient], abc.Awaitable[typing.Any]]


@attrs.define
class Bench:
    """A stand-in and the clock that it and its clients share.

    :ivar now_s: The clock.
    :ivar service: The stand-in.
    """

    now_s: float = 100
    service: key_value.KeyValueService = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin with an empty store."""
        store = key_value_store.Store(self.clock)
        self.service = key_value.KeyValueService(store)

    def clock(self) -> float:
        """Return the clock."""
        return self.now_s

    def run(self, body: Body, members: int = 1) -> typing.Any:
        """Run a function with a client of the stand-in.

        :param body: The function.
        :param members: How many addresses the stand-in has.
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
