"""Joins the decisions about the queues of ranked services.

A service is ranked if its routes have different priorities. Its queue is kept
in the order of what a delay costs callers, and requests that can't start in
time are refused as soon as that is clear, instead of when their time is up.
"""

import enum
import logging
import random
import types
from collections import abc

import attrs

from camphorstair.fleet import instruments
from camphorstair_core import errors
from camphorstair_core.fleet import (
    catalogue,
    ranked_order,
    ranked_refusals,
    returns,
    start_estimates,
    waiting,
    work_estimates,
)
from camphorstair_runtime import clocks

# Pause between two checks of a queue for requests that can't start in time.
CHECK_INTERVAL_S = 0.1

# Refuses a request that was removed from its queue.
Drop = abc.Callable[[waiting.Waiter, errors.RequestError], abc.Awaitable[None]]

# Tells the slot time of the requests that go before one, in seconds.
WorkAhead = abc.Callable[[waiting.Waiter], float]

_LOG = logging.getLogger(__name__)


class Cause(enum.StrEnum):
    """Why a queued request is refused."""

    expired = 'expired'
    no_room = 'no_room'
    displaced = 'displaced'


_MESSAGES = types.MappingProxyType(
    {
        Cause.expired: 'no endpoint was free in time',
        Cause.no_room: 'no endpoint will be free in time',
        Cause.displaced: 'the queue is full',
    },
)


@attrs.define(eq=False)
class ServiceRanking:
    """What is known of the queue of one ranked service.

    :ivar throughput: Work that was started recently while requests waited.
    :ivar turn: The share of starts that is reserved for less urgent requests.
    :ivar check_due_s: When the queue is to be checked again.
    """

    throughput: start_estimates.Throughput = attrs.field(
        factory=start_estimates.Throughput
    )
    turn: ranked_order.Turn = attrs.field(factory=ranked_order.Turn)
    check_due_s: float = 0

    def wait_s(self, work_ahead_s: float, now_s: float) -> float | None:
        """Return the expected wait behind some work, or None if unknown."""
        return start_estimates.wait_s(self.throughput, work_ahead_s, now_s)


@attrs.define(eq=False)
class RankedQueues:
    """The queues of one entry's ranked services.

    The methods do nothing to the queue of a service that is not ranked, which
    is in the order of ``waiting``.

    :ivar generator: Spreads the times at which refused callers return.
    :ivar meters: The counters of the entry.
    :ivar drop: Refuses a request that was removed from its queue.
    :ivar estimates: Estimates of the work of requests.
    :ivar refused: The refused requests that may come again.
    :ivar services: What is known of each ranked service.
    """

    generator: random.Random
    meters: instruments.Instruments
    drop: Drop
    estimates: work_estimates.Estimates = attrs.field(
        factory=work_estimates.Estimates
    )
    refused: returns.Returns = attrs.field(factory=returns.Returns)
    services: dict[str, ServiceRanking] = attrs.field(factory=dict)

    def note_arrival(
        self,
        waiter: waiting.Waiter,
        work: work_estimates.Work,
        now_s: float,
    ) -> None:
        """Fill in the work of a request and from when its arrival counts."""
        waiter.work_s = work.slot_s
        waiter.kv_tokens = work.kv_tokens
        arrival = returns.arrival(self.refused, waiter.identity, now_s)
        waiter.arrived_s = arrival.first_arrived_s
        waiter.came_early = arrival.early

    def ordered(
        self, service: str, queue: waiting.Queue, now_s: float
    ) -> list[waiting.Waiter]:
        """Return the waiting requests in the order to be sent."""
        if not queue.is_ranked:
            return waiting.sorted_waiters(queue, now_s)
        turn = self._ranking(service).turn
        return ranked_order.sorted_by_cost(queue, now_s, turn)

    def note_start(
        self,
        service: str,
        queue: waiting.Queue,
        waiter: waiting.Waiter,
        now_s: float,
    ) -> None:
        """Record that a request was given a slot."""
        if not queue.is_ranked:
            return
        known = self._ranking(service)
        ranked_order.record_start(known.turn, queue, waiter)
        start_estimates.record_start(known.throughput, waiter.work_s, now_s)

    def estimate_start(
        self,
        service: str,
        queue: waiting.Queue,
        waiter: waiting.Waiter,
    ) -> float | None:
        """Return when a request that has to wait will start, if known."""
        if not queue.is_ranked:
            return None
        now_s = clocks.monotonic_s()
        known = self._ranking(service)
        start_estimates.record_queue(
            known.throughput, is_waiting=True, now_s=now_s
        )
        work_ahead_s = _work_by_tier(queue, now_s)(waiter)
        wait_s = known.wait_s(work_ahead_s, now_s)
        return None if wait_s is None else now_s + wait_s

    async def check(self, service: str, queue: waiting.Queue) -> None:
        """Refuse the requests that can't start in time, if that is due.

        To be called after free slots were assigned, so that none is free for
        the requests that still wait.
        """
        if not queue.is_ranked:
            return
        now_s = clocks.monotonic_s()
        known = self._ranking(service)
        is_waiting = bool(queue.waiters)
        start_estimates.record_queue(known.throughput, is_waiting, now_s)
        if is_waiting and now_s >= known.check_due_s:
            await self._refuse_unservable(service, queue)

    async def make_room(
        self,
        service: str,
        queue: waiting.Queue,
        waiter: waiting.Waiter,
    ) -> None:
        """Refuse a request of a full queue, so that a new one can be added.

        :raises errors.RequestError: if the new one is to be refused.
        """
        if not queue.is_ranked:
            return
        displaced = ranked_refusals.displaced(
            queue, waiter, clocks.monotonic_s()
        )
        if displaced is waiter:
            raise self.refusal(service, queue, waiter, Cause.displaced)
        queue.waiters.remove(displaced)
        refusal = self.refusal(service, queue, displaced, Cause.displaced)
        await self.drop(displaced, refusal)

    def refusal(
        self,
        service: str,
        queue: waiting.Queue,
        waiter: waiting.Waiter,
        cause: Cause,
    ) -> errors.RequestError:
        """Count and log that a request is refused; return its error.

        Its retry-after is when the requests that go before it are started.
        """
        ahead_s = _work_by_tier(queue, clocks.monotonic_s())(waiter)
        return self._refusal(service, waiter, cause, ahead_s)

    def note_answered(
        self,
        route: catalogue.Route,
        work: work_estimates.Work,
        slot_s: float,
    ) -> None:
        """Record for how long an answered request occupied a slot."""
        now_s = clocks.monotonic_s()
        work_estimates.record(self.estimates, route.name, work, slot_s, now_s)

    def note_refused(
        self,
        waiter: waiting.Waiter,
        retry_after_s: float,
    ) -> None:
        """Remember a refused request, so that it is known when it returns.

        :param waiter: The request.
        :param retry_after_s: The time that its caller was told to wait.
        """
        now_s = clocks.monotonic_s()
        returns.note_refused(
            self.refused,
            waiter.identity,
            waiter.arrived_s,
            now_s + retry_after_s,
            now_s,
        )

    def _refusal(
        self,
        service: str,
        waiter: waiting.Waiter,
        cause: Cause,
        ahead_s: float,
    ) -> errors.RequestError:
        now_s = clocks.monotonic_s()
        known = self._ranking(service)
        retry_after_s = start_estimates.retry_after_s(
            known.throughput, ahead_s, now_s, self.generator
        )
        self.meters.queue_refusals.add(
            1, {'cause': cause.value, 'priority': waiter.priority}
        )
        _LOG.info(
            'queued request refused: %s',
            cause.value,
            extra={
                'request': waiter.request,
                'tier': ranked_order.tier(waiter, now_s),
                'work_s': round(waiter.work_s, 3),
                'work_ahead_s': round(ahead_s, 3),
                'wait_s': known.wait_s(ahead_s, now_s),
                'slack_s': round(waiter.latest_useful_start_s - now_s, 3),
                'retry_after_s': round(retry_after_s, 2),
            },
        )
        return errors.RequestError(
            errors.overloaded, _MESSAGES[cause], retry_after_s=retry_after_s
        )

    def _ranking(self, service: str) -> ServiceRanking:
        return self.services.setdefault(service, ServiceRanking())

    async def _refuse_unservable(
        self,
        service: str,
        queue: waiting.Queue,
    ) -> None:
        """Refuse the requests that can't start in time."""
        now_s = clocks.monotonic_s()
        known = self._ranking(service)
        known.check_due_s = now_s + CHECK_INTERVAL_S
        found = ranked_refusals.to_refuse(
            ranked_order.sorted_by_cost(queue, now_s, known.turn),
            lambda work_ahead_s: known.wait_s(work_ahead_s, now_s),
            now_s,
        )
        # All are removed before a slot can be assigned during an await.
        for refused in found:
            queue.waiters.remove(refused)
        work_ahead_s = _work_by_tier(queue, now_s)
        for waiter in found:
            refusal = self._refusal(
                service, waiter, Cause.no_room, work_ahead_s(waiter)
            )
            await self.drop(waiter, refusal)


def _work_by_tier(queue: waiting.Queue, now_s: float) -> WorkAhead:
    """Return the function that tells the work up to the tier of a request."""
    by_tier: dict[int, float] = {}
    for waiter in queue.waiters:
        level = ranked_order.tier(waiter, now_s)
        by_tier[level] = by_tier.get(level, 0) + waiter.work_s

    def work_ahead_s(waiter: waiting.Waiter) -> float:
        own_tier = ranked_order.tier(waiter, now_s)
        work_s = sum(
            level_s for level, level_s in by_tier.items() if level <= own_tier
        )
        if waiter in queue.waiters:
            work_s -= waiter.work_s
        return work_s

    return work_ahead_s
