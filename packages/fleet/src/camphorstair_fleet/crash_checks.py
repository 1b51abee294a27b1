"""Checks whether an endpoint's process has ended after a broken answer.

A connection may break for many reasons. Only a process that has ended refuses
new connections; one that waits for the other ranks of its group accepts them.
"""

import attrs
import curio

from camphorstair_runtime import http_client

CONNECT_LIMIT_S = 0.2
# A process that ends may close its connections before its listener.
SECOND_CHECK_DELAY_S = 0.05


@attrs.define(eq=False)
class _Check:
    """A check that is in progress.

    :ivar ended: Whether the process has ended, once the check is done.
    :ivar done: Set when the check is done.
    """

    ended: bool = False
    done: curio.Event = attrs.field(factory=curio.Event)


@attrs.define(eq=False)
class CrashChecks:
    """The checks in progress, so that there is one at a time of an address.

    :ivar running: The checks by ``IP:port``.
    """

    running: dict[str, _Check] = attrs.field(factory=dict)

    async def has_ended(self, address: str) -> bool:
        """Return whether no process listens at an address any more."""
        check = self.running.get(address)
        if check is not None:
            await check.done.wait()
            return check.ended
        check = _Check()
        self.running[address] = check
        try:
            check.ended = await _refuses(address)
        finally:
            self.running.pop(address)
            await check.done.set()
        return check.ended


async def _refuses(address: str) -> bool:
    """Return whether connections to an address are refused."""
    if await _refuses_once(address):
        return True
    await curio.sleep(SECOND_CHECK_DELAY_S)
    return await _refuses_once(address)


async def _refuses_once(address: str) -> bool:
    try:
        exchange = await http_client.connect(address, limit_s=CONNECT_LIMIT_S)
    except http_client.HttpError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    await exchange.close()
    return False
