"""Queues requests and wakes each when it is admitted or refused."""

import attrs
import curio

from camphorstair_core import admission, messages, queueing
from camphorstair_runtime import clocks, links

_MS_IN_S = 1000


@attrs.define
class AdmissionQueue:
    """The admission control of the endpoint with its queue.

    :ivar gate: The admission control.
    :ivar queue: The waiting requests.
    :ivar events: Events of the waiting requests by waiter number, each set when
        its request is admitted or refused.
    """

    gate: admission.Admission
    queue: queueing.Queue = attrs.field(factory=queueing.Queue)
    events: dict[int, curio.Event] = attrs.field(factory=dict)

    async def admit(
        self,
        link: links.Link,
        start: messages.RequestStart,
    ) -> queueing.Waiter:
        """Wait until a request is admitted or refused.

        :returns: The request's waiter, whose ``turn`` is the result.
        :raises links.LinkError: if the entry closes the link first.
        """
        waiter, decided = self._enqueue(start)
        event = curio.Event()
        if waiter.turn is queueing.AdmissionState.waiting:
            self.events[waiter.number] = event
        await self._notify(decided)
        if waiter.turn is queueing.AdmissionState.waiting:
            await self._wait_for_admission(link, waiter, event)
        return waiter

    def try_admit(self, start: messages.RequestStart) -> queueing.Waiter:
        """Admit or refuse a request immediately, without awaiting anything."""
        waiter = self._enqueue(start)[0]
        queueing.give_up(self.queue, waiter)
        return waiter

    async def release(
        self,
        waiter: queueing.Waiter,
        outcome: admission.Outcome,
    ) -> None:
        """Record the end of an admitted request and admit waiting ones."""
        now_s = clocks.monotonic_s()
        queueing.record_end(self.queue, waiter)
        admission.finish(self.gate, waiter.generation, outcome, now_s)
        await self._notify(queueing.advance(self.queue, self.gate, now_s))

    def _enqueue(
        self,
        start: messages.RequestStart,
    ) -> tuple[queueing.Waiter, list[queueing.Waiter]]:
        """Add a request to the queue.

        :returns: Its waiter, and the other waiters that this admitted or
            refused.
        """
        now_s = clocks.monotonic_s()
        return queueing.arrive(
            self.queue,
            self.gate,
            start.organisation,
            start.priority,
            now_s + start.remaining_ms / _MS_IN_S,
            now_s,
        )

    async def _wait_for_admission(
        self,
        link: links.Link,
        waiter: queueing.Waiter,
        event: curio.Event,
    ) -> None:
        """Wait until the waiter is admitted, refused or past its deadline.

        :raises links.LinkError: if the entry closes the link first.
        """
        completed = False
        try:
            completed = await self._wait_for_event(link, waiter, event)
        finally:
            await self._stop_waiting(waiter, completed=completed)
        if not completed:
            raise links.LinkError('the entry closed the link')

    async def _stop_waiting(
        self, waiter: queueing.Waiter, *, completed: bool
    ) -> None:
        """Remove the waiter from the queue.

        :param completed: Whether the wait ended by a decision or the deadline;
            if not, a request that was admitted meanwhile is released.
        """
        self.events.pop(waiter.number, None)
        queueing.give_up(self.queue, waiter)
        if not completed and waiter.turn is queueing.AdmissionState.admitted:
            await self.release(waiter, admission.Outcome.given_up)

    async def _wait_for_event(
        self,
        link: links.Link,
        waiter: queueing.Waiter,
        event: curio.Event,
    ) -> bool:
        """Wait for an event, at most until the waiter's deadline.

        :returns: False if the entry closed the link first.
        """
        remaining_s = max(0, waiter.deadline_s - clocks.monotonic_s())
        async with curio.TaskGroup(wait=any) as group:
            waiting_task = await group.spawn(
                curio.ignore_after,
                remaining_s,
                event.wait,
            )
            await group.spawn(link.wait_closed)
        return not waiting_task.cancelled

    async def _notify(self, decided: list[queueing.Waiter]) -> None:
        """Notify the requests that were admitted or refused."""
        for waiter in decided:
            event = self.events.pop(waiter.number, None)
            if event is not None:
                await event.set()
