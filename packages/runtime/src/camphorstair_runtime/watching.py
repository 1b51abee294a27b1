"""Watches the configuration at the platform on behalf of a data centre."""

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
JITTER_FACTORS = (0.8, 1.2)

_LOG = logging.getLogger(__name__)
_FAILURES = (platform.PlatformError, configuration_values.StoreError)


@attrs.define
class PlatformWatcher:
    """State of the task that watches the head of the configuration.

    One watch stays open at the platform. At intervals a plain read of the
    head covers the case that the watch has failed without an error.

    :ivar state: The state of this process.
    :ivar client: The platform.
    :ivar on_change: Called after a new configuration is in force.
    :ivar generator: Random generator for jitter and backoff.
    :ivar pace: Rate limit and backoff of the calls.
    :ivar watch: The open watch, or None.
    :ivar failure: Error of the last call; empty if it succeeded.
    :ivar reported_change_id: Change identifier of the conflicting head that
        was last logged.
    """

    state: node.NodeState
    client: platform.PlatformClient
    on_change: abc.Callable[[], None]
    generator: random.Random
    pace: call_pace.CallPace = attrs.field(factory=call_pace.CallPace)
    watch: platform.Watch | None = None
    failure: str = ''
    reported_change_id: str = ''

    async def step(self) -> None:
        """Read the head if the rate limit allows, then wait for a change."""
        if call_pace.try_acquire(self.pace, clocks.monotonic_s()):
            await self._read()
        if self.watch is None:
            await curio.sleep(call_pace.FIRST_DELAY_S)
            return
        try:
            await self._wait(self.watch)
        except _FAILURES as error:
            await self._handle_failure(error)

    async def stop(self) -> None:
        """Close the watch, if one is open."""
        if self.watch is not None:
            watch = self.watch
            self.watch = None
            await watch.close()

    async def _read(self) -> None:
        try:
            stored_head = await configuration_store.read_head(self.client)
            await self._apply_head(stored_head)
            await self._open_watch(stored_head)
        except _FAILURES as error:
            await self._handle_failure(error)
            return
        if self.failure:
            _LOG.info('platform: answers again')
        self.failure = ''
        call_pace.record_success(self.pace)

    async def _open_watch(
        self,
        stored_head: configuration_values.StoredHead,
    ) -> None:
        if self.watch is None:
            self.watch = await self.client.watch(
                configuration_values.HEAD_KEY,
                stored_head.mod_revision + 1,
            )

    async def _wait(self, watch: platform.Watch) -> None:
        jitter = self.generator.uniform(*JITTER_FACTORS)
        async with curio.ignore_after(GUARD_INTERVAL_S * jitter):
            while True:
                pair = await watch.wait()
                stored_head = configuration_values.decode_head(pair)
                await self._apply_head(stored_head)

    async def _handle_failure(self, error: Exception) -> None:
        await self.stop()
        now_s = clocks.monotonic_s()
        call_pace.record_failure(self.pace, now_s, self.generator)
        if str(error) != self.failure:
            _LOG.warning('platform: %s', error)
        self.failure = str(error)

    async def _apply_head(
        self,
        stored_head: configuration_values.StoredHead,
    ) -> None:
        head = stored_head.head
        if head is None:
            return
        if head.revision > self.state.holder.revision():
            if await self._apply_newer(head):
                self.on_change()
        else:
            self._log_conflict(head)

    async def _apply_newer(self, head: configuration_values.Head) -> bool:
        own_revision = self.state.holder.revision()
        try:
            return await taking.apply_configuration_changes(
                self.state,
                await configuration_store.read_changes(
                    self.client,
                    own_revision,
                    head.revision,
                ),
            )
        except (configuration_values.StoreError, deltas.DeltaError) as fault:
            _LOG.info('reading the whole configuration: %s', fault)
        stored = await configuration_store.read(self.client)
        if stored.current is None:
            return False
        return await taking.apply_configuration(self.state, stored.current)

    def _log_conflict(self, head: configuration_values.Head) -> None:
        """Log an error if the head conflicts with the configuration in force.

        The head conflicts if it names another change and no newer revision.
        Each such head is logged once.
        """
        current = self.state.holder.current
        if current is None or head.change_id == current.change_id:
            return
        if self.reported_change_id == head.change_id:
            return
        self.reported_change_id = head.change_id
        _LOG.error(
            'the platform holds revision %s, change %s; revision %s,'
            ' change %s stays in force; the next apply restores it',
            head.revision,
            head.change_id,
            current.revision,
            current.change_id,
        )


def request(state: node.NodeState) -> messages.ConfigurationRequest:
    """Return the request for a configuration newer than that in force."""
    return messages.ConfigurationRequest(state.holder.revision())
