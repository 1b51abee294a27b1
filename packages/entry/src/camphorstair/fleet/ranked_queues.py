"""Joins the decisions about the queues of ranked services.

A service is ranked if its routes have different priorities. Its queue is kept
in the order of what a delay costs callers, and requests that can't start in
time are refused as soon as that is clear, instead of when their time is up.
"""

import enum
import logging
import random
import types

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

# Pause between two checks of a queue for requests that can't start in time.
CHECK_INTERVAL_S = 0.1

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
        Cause.displaced: 'the queue is full of more urgent requests',
    },
)


@attrs.define(eq=False)
class ServiceRanking:
    """What is known of the queue of one ranked service.

    :ivar queue: The waiting requests.
    :ivar throughput: Work that was started recently while requests waited.
    :ivar turn: The share of starts that is reserved for less urgent requests.
    :ivar check_due_s: When the queue is to be checked again.
    """

    queue: waiting.Queue
    throughput: start_estimates.Throughput = attrs.field(
        factory=start_estimates.Throughput
    )
    turn: ranked_order.Turn = attrs.field(factory=ranked_order.Turn)
    check_due_s: float = 0

    def wait_s(self, work_ahead_s: float, now_s: float) -> float | None:
        """Return the expected wait behind some work, or None if unknown."""
        return start_estimates.wait_s(self.throughput, work_ahead_s, now_s)

    def work_ahead_s(self, waiter: waiting.Waiter, now_s: float) -> float:
        """Return the work of the requests that go before one, in seconds."""
        level = ranked_order.tier(waiter, now_s)
        return sum(
            other.work_s
            for other in self.queue.waiters
            if other is not waiter and ranked_order.tier(other, now_s) <= level
        )


@attrs.define(eq=False)
class RankedQueues:
    """The ranked services of one entry.

    :ivar generator: Spreads the times at which refused callers return.
    :ivar meters: The counters of the entry.
    :ivar estimates: Estimates of the work of requests.
    :ivar refused: The refused requests that may come again.
    :ivar services: The ranked services by name.
    """

    generator: random.Random
    meters: instruments.Instruments
    estimates: work_estimates.Estimates = attrs.field(
        factory=work_estimates.Estimates
    )
    refused: returns.Returns = attrs.field(factory=returns.Returns)
    services: dict[str, ServiceRanking] = attrs.field(factory=dict)

    def ranking(self, service: str, queue: waiting.Queue) -> ServiceRanking:
        """Return what is known of a service's queue."""
        known = self.services.get(service)
        if known is None:
            known = ServiceRanking(queue)
            self.services[service] = known
        return known

    def describe(
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
        turn = self.ranking(service, queue).turn
        return ranked_order.sorted_by_cost(queue, now_s, turn)

    def note_start(
        self,
        service: str,
        queue: waiting.Queue,
        waiter: waiting.Waiter,
        now_s: float,
    ) -> None:
        """Record that a request was given a slot."""
        known = self.ranking(service, queue)
        ranked_order.record_start(known.turn, queue, waiter)
        start_estimates.record_start(known.throughput, waiter.work_s, now_s)

    def note_queue(
        self, service: str, queue: waiting.Queue, now_s: float
    ) -> None:
        """Record whether requests wait, after some have come or left."""
        known = self.ranking(service, queue)
        start_estimates.record_queue(
            known.throughput, bool(queue.waiters), now_s
        )

    def expected_start_s(
        self,
        service: str,
        queue: waiting.Queue,
        waiter: waiting.Waiter,
        now_s: float,
    ) -> float | None:
        """Return when a waiting request is expected to start, if known."""
        known = self.ranking(service, queue)
        wait_s = known.wait_s(known.work_ahead_s(waiter, now_s), now_s)
        return None if wait_s is None else now_s + wait_s

    def check_is_due(
        self,
        service: str,
        queue: waiting.Queue,
        now_s: float,
    ) -> bool:
        """Return whether a queue is to be checked for unservable requests."""
        if not queue.is_ranked or not queue.waiters:
            return False
        return now_s >= self.ranking(service, queue).check_due_s

    def unservable(
        self,
        service: str,
        queue: waiting.Queue,
        now_s: float,
    ) -> list[waiting.Waiter]:
        """Return the waiting requests to refuse, as there is no room for them.

        To be called only while no slot is free for the waiting requests. They
        stay in the queue.
        """
        known = self.ranking(service, queue)
        known.check_due_s = now_s + CHECK_INTERVAL_S
        ordered = ranked_order.sorted_by_cost(queue, now_s, known.turn)
        return ranked_refusals.to_refuse(
            ordered,
            lambda work_ahead_s: known.wait_s(work_ahead_s, now_s),
            now_s,
        )

    def refusal(
        self,
        service: str,
        queue: waiting.Queue,
        waiter: waiting.Waiter,
        cause: Cause,
        now_s: float,
    ) -> errors.RequestError:
        """Count and log that a request is refused; return its error.

        Its retry-after is when the requests that go before it are started.
        """
        known = self.ranking(service, queue)
        ahead_s = known.work_ahead_s(waiter, now_s)
        retry_after_s = start_estimates.retry_after_s(
            known.throughput, ahead_s, now_s, self.generator
        )
        level = ranked_order.tier(waiter, now_s)
        self.meters.queue_refusals.add(
            1, {'cause': cause.value, 'priority': waiter.priority}
        )
        _LOG.info(
            'queued request refused: %s',
            cause.value,
            extra={
                'request': waiter.request,
                'tier': level,
                'work_s': round(waiter.work_s, 3),
                'work_ahead_s': round(ahead_s, 3),
                'wait_s': known.wait_s(ahead_s, now_s),
                'slack_s': round(waiter.latest_useful_start_s - now_s, 3),
                'queued': len(queue.waiters),
                'retry_after_s': round(retry_after_s, 2),
            },
        )
        return errors.RequestError(
            errors.overloaded, _MESSAGES[cause], retry_after_s=retry_after_s
        )

    def note_answered(
        self,
        route: catalogue.Route,
        work: work_estimates.Work,
        slot_s: float,
        now_s: float,
    ) -> None:
        """Record for how long an answered request occupied a slot."""
        work_estimates.record(self.estimates, route.name, work, slot_s, now_s)

    def note_refused(
        self,
        waiter: waiting.Waiter,
        retry_after_s: float,
        now_s: float,
    ) -> None:
        """Remember a refused request, so that it is known when it returns."""
        returns.note_refused(
            self.refused,
            waiter.identity,
            waiter.arrived_s,
            now_s + retry_after_s,
            now_s,
        )
