"""Lets requests wait for their turn at the endpoint, and wakes them."""

import attrs
import curio

from camphorstair_core import admission, messages, queueing
from camphorstair_runtime import clocks, links

_MS_IN_S = 1000


@attrs.define
class Turns:
    """The admission with its queue.

    :ivar gate: The admission.
    :ivar queue: Those that wait.
    :ivar events: What wakes each of them, by its number.
    """

    gate: admission.Admission
    queue: queueing.Queue = attrs.field(factory=queueing.Queue)
    events: dict[int, curio.Event] = attrs.field(factory=dict)

    async def take(
        self,
        link: links.Link,
        start: messages.RequestStart,
    ) -> queueing.Waiter:
        """Return when a request is admitted or refused.

        :raises links.LinkError: if the entry is gone.
        """
        waiter, changed = self._arrive(start)
        event = curio.Event()
        if waiter.turn is queueing.Turn.waiting:
            self.events[waiter.number] = event
        await self._wake(changed)
        if waiter.turn is queueing.Turn.waiting:
            await self._wait(link, waiter, event)
        return waiter

    def try_now(self, start: messages.RequestStart) -> queueing.Waiter:
        """Admit or refuse a request at once, without awaiting anything."""
        waiter = self._arrive(start)[0]
        queueing.give_up(self.queue, waiter)
        return waiter

    async def release(
        self,
        waiter: queueing.Waiter,
        outcome: admission.Outcome,
    ) -> None:
        """Note the end of an admitted request, and give its place on."""
        now_s = clocks.monotonic_s()
        queueing.note_end(self.queue, waiter)
        admission.finish(self.gate, waiter.generation, outcome, now_s)
        await self._wake(queueing.advance(self.queue, self.gate, now_s))

    def _arrive(
        self,
        start: messages.RequestStart,
    ) -> tuple[queueing.Waiter, list[queueing.Waiter]]:
        now_s = clocks.monotonic_s()
        return queueing.arrive(
            self.queue,
            self.gate,
            start.organisation,
            start.priority,
            now_s + start.remaining_ms / _MS_IN_S,
            now_s,
        )

    async def _wait(
        self,
        link: links.Link,
        waiter: queueing.Waiter,
        event: curio.Event,
    ) -> None:
        done = False
        try:
            done = await self._wait_event(link, waiter, event)
        finally:
            await self._end_wait(waiter, done=done)
        if not done:
            raise links.LinkError('the entry closed the link')

    async def _end_wait(self, waiter: queueing.Waiter, *, done: bool) -> None:
        self.events.pop(waiter.number, None)
        queueing.give_up(self.queue, waiter)
        if not done and waiter.turn is queueing.Turn.admitted:
            await self.release(waiter, admission.Outcome.given_up)

    async def _wait_event(
        self,
        link: links.Link,
        waiter: queueing.Waiter,
        event: curio.Event,
    ) -> bool:
        """Return False if the entry is gone."""
        remaining_s = max(0, waiter.deadline_s - clocks.monotonic_s())
        async with curio.TaskGroup(wait=any) as group:
            wait = await group.spawn(
                curio.ignore_after,
                remaining_s,
                event.wait,
            )
            await group.spawn(link.wait_closed)
        return not wait.cancelled

    async def _wake(self, changed: list[queueing.Waiter]) -> None:
        for waiter in changed:
            event = self.events.pop(waiter.number, None)
            if event is not None:
                await event.set()
