"""Watches the configuration at the platform for a data centre."""

import logging
import random
from collections import abc

import attrs
import curio

from camphorstair_core import call_pace, deltas, messages
from camphorstair_runtime import (
    clocks,
    configuration_store,
    configuration_values,
    node,
    platform,
    taking,
)

GUARD_INTERVAL_S = 2.0
SPREAD_SHARES = (0.8, 1.2)

_LOG = logging.getLogger(__name__)
_FAILURES = (platform.PlatformError, configuration_values.StoreError)


@attrs.define
class PlatformWatcher:
    """State of the task that watches the head of the configuration.

    One call waits at the platform; in between a plain read finds out
    whether the watch has broken in silence.

    :ivar state: The state of this process.
    :ivar client: The platform.
    :ivar changed: Called after a new configuration.
    :ivar generator: Spreads the calls.
    :ivar pace: The budget of calls.
    :ivar watch: The waiting call, if one is open.
    :ivar failure: Why the last call failed, else empty.
    :ivar reported: The head last complained of.
    """

    state: node.NodeState
    client: platform.PlatformClient
    changed: abc.Callable[[], None]
    generator: random.Random
    pace: call_pace.CallPace = attrs.field(factory=call_pace.CallPace)
    watch: platform.Watch | None = None
    failure: str = ''
    reported: str = ''

    async def step(self) -> None:
        """Read the head if the budget allows, then wait for a change."""
        if call_pace.try_acquire(self.pace, clocks.monotonic_s()):
            await self._read()
        if self.watch is None:
            await curio.sleep(call_pace.FIRST_DELAY_S)
            return
        try:
            await self._wait(self.watch)
        except _FAILURES as error:
            await self._note_failure(error)

    async def stop(self) -> None:
        """Close the waiting call."""
        if self.watch is not None:
            watch = self.watch
            self.watch = None
            await watch.close()

    async def _read(self) -> None:
        try:
            found = await configuration_store.read_head(self.client)
            await self._take_head(found)
            await self._open_watch(found)
        except _FAILURES as error:
            await self._note_failure(error)
            return
        if self.failure:
            _LOG.info('platform: answers again')
        self.failure = ''
        call_pace.record_success(self.pace)

    async def _open_watch(
        self,
        found: configuration_values.StoredHead,
    ) -> None:
        if self.watch is None:
            self.watch = await self.client.watch(
                configuration_values.HEAD_KEY,
                found.mod_revision + 1,
            )

    async def _wait(self, watch: platform.Watch) -> None:
        shares = self.generator.uniform(*SPREAD_SHARES)
        async with curio.ignore_after(GUARD_INTERVAL_S * shares):
            while True:
                pair = await watch.wait()
                found = configuration_values.decode_head(pair)
                await self._take_head(found)

    async def _note_failure(self, error: Exception) -> None:
        await self.stop()
        now_s = clocks.monotonic_s()
        call_pace.record_failure(self.pace, now_s, self.generator)
        if str(error) != self.failure:
            _LOG.warning('platform: %s', error)
        self.failure = str(error)

    async def _take_head(
        self,
        found: configuration_values.StoredHead,
    ) -> None:
        head = found.head
        if head is None:
            return
        if head.revision > self.state.holder.revision():
            if await self._take_newer(head):
                self.changed()
        else:
            self._check_equal(head)

    async def _take_newer(self, head: configuration_values.Head) -> bool:
        own_revision = self.state.holder.revision()
        try:
            return await taking.take_changes(
                self.state,
                await configuration_store.read_changes(
                    self.client,
                    own_revision,
                    head.revision,
                ),
            )
        except (configuration_values.StoreError, deltas.DeltaError) as fault:
            _LOG.info('whole copy instead of changes: %s', fault)
        stored = await configuration_store.read(self.client)
        if stored.current is None:
            return False
        return await taking.take(self.state, stored.current)

    def _check_equal(self, head: configuration_values.Head) -> None:
        """Complain of a head that differs from what is in force, once."""
        current = self.state.holder.current
        if current is None or head.change_id == current.change_id:
            return
        if self.reported == head.change_id:
            return
        self.reported = head.change_id
        _LOG.error(
            'the platform holds revision %s, change %s; revision %s,'
            ' change %s stays in force; the next apply restores it',
            head.revision,
            head.change_id,
            current.revision,
            current.change_id,
        )


def request(state: node.NodeState) -> messages.ConfigurationRequest:
    """Return the question for a newer configuration."""
    return messages.ConfigurationRequest(state.holder.revision())
