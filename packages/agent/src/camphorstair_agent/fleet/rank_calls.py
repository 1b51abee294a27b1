"""Reads the state of a group's ranks and sends them orders.

Calls go through the agent on the VM of each rank, as an agent's calls to the
engine on its own VM cost nothing. If the agent does not answer, the engine is
called directly, so that a group never waits for a VM whose agent has failed.
Orders to hold a group go through an entry, whose VM runs no rank.
"""

import http
import logging
import random

import attrs
import curio

from camphorstair_agent.fleet import rank_datagrams, state
from camphorstair_core import decoding
from camphorstair_core.experts import group_orders
from camphorstair_core.fleet import membership, roster
from camphorstair_fleet import internal_messages
from camphorstair_platform import engines
from camphorstair_runtime import clocks, http_client, http_messages

AGENT_LIMIT_S = 0.3
ENGINE_LIMIT_S = 0.4
# Time for which an agent that did not answer is bypassed.
AGENT_BYPASS_S = 2.0
# Length of an unexpected answer in the log.
_MAX_LOGGED_BYTES = 200

_LOG = logging.getLogger(__name__)

States = dict[int, internal_messages.RankState]
Ranks = dict[int, roster.Registration]
Orders = list[group_orders.Order]


@attrs.define(eq=False)
class RankCalls:
    """Client of the ranks of one group.

    :ivar agent: The state of this agent.
    :ivar datagrams: Sends the calls that need no connection.
    :ivar generator: Chooses the entry that relays an order to hold.
    :ivar bypass_deadlines_s: Until when an agent is bypassed, by rank;
        monotonic clock.
    """

    agent: state.FleetAgent
    datagrams: rank_datagrams.DatagramCaller
    generator: random.Random = attrs.field(factory=random.SystemRandom)
    bypass_deadlines_s: dict[int, float] = attrs.field(factory=dict)

    async def states(self, ranks: Ranks) -> States:
        """Return the state of each rank that answers.

        :param ranks: The registrations of the group by rank.
        """
        replies = await self._call_agents(
            [
                rank_datagrams.Call(rank, self.agent_address(registration))
                for rank, registration in ranks.items()
                if not self.is_bypassed(rank)
            ],
            0,
        )
        states = _reported_states(replies)
        missing = {rank: ranks[rank] for rank in ranks if rank not in states}
        async with curio.TaskGroup() as group:
            for rank, registration in missing.items():
                await group.spawn(
                    self._read_engine_state, states, rank, registration
                )
        return states

    async def arm_or_release(
        self, orders: Orders, ranks: Ranks, epoch: int
    ) -> States:
        """Send orders without a map to ranks; return their states afterwards.

        A rank that did not confirm its order is missing. Such an order may
        have been carried out, or may be carried out later.
        """
        calls = [
            rank_datagrams.Call(
                order.rank, self.agent_address(ranks[order.rank]), order
            )
            for order in orders
            if not self.is_bypassed(order.rank)
        ]
        replies = await self._call_agents(calls, epoch)

        async def order_engine(order: group_orders.Order) -> None:
            rank_order = internal_messages.RankOrder(order, epoch)
            status = await self._order_engine(rank_order, ranks[order.rank])
            self.record_order(order, status)

        async with curio.TaskGroup() as group:
            for order in orders:
                reply = replies.get(order.rank)
                if reply is None:
                    await group.spawn(order_engine, order)
                else:
                    self.record_order(order, reply.status)
        return _reported_states(
            {rank: reply for rank, reply in replies.items() if reply.status}
        )

    async def hold(
        self,
        order: group_orders.Order,
        registration: roster.Registration,
        epoch: int,
    ) -> int:
        """Send an order to hold the group through an entry, if one relays it.

        :returns: The status of the response; 0 if there is none, or if it does
            not tell what became of the order: the rank may carry it out later.
        """
        rank_order = internal_messages.RankOrder(order, epoch)
        entries = list(self.agent.members.values())
        status = None
        if entries:
            status = await _order_through_entry(
                self.generator.choice(entries),
                registration.address,
                rank_order,
            )
        if status is None:
            status = await self._order_engine(rank_order, registration)
        self.record_order(order, status)
        return status if engines.tells_outcome(status) else 0

    def agent_address(self, registration: roster.Registration) -> str:
        """Return ``IP:port`` of the agent on the VM of an engine."""
        host = registration.address.rpartition(':')[0]
        return f'{host}:{self.agent.settings.internal_port}'

    def is_bypassed(self, rank: int) -> bool:
        """Return whether the agent of a rank did not answer recently."""
        return clocks.monotonic_s() < self.bypass_deadlines_s.get(rank, 0)

    def record_order(self, order: group_orders.Order, status: int) -> None:
        """Count and log an order and the status of its answer, 0 if none."""
        self.agent.meters.orders.add(
            1, {'kind': order.kind.value, 'status': status}
        )
        _LOG.info(
            'order %s',
            order.kind.value,
            extra={
                'rank': order.rank,
                'version': order.version,
                'step': order.step,
                'status': status,
            },
        )

    async def _call_agents(
        self, calls: list[rank_datagrams.Call], epoch: int
    ) -> rank_datagrams.Replies:
        """Make calls by datagram; bypass the agents that do not reply."""
        replies = await self.datagrams.call_all(calls, epoch)
        silent = [call.rank for call in calls if call.rank not in replies]
        if silent:
            _LOG.warning('the agents of ranks %s do not answer', silent)
        bypass_deadline_s = clocks.monotonic_s() + AGENT_BYPASS_S
        self.bypass_deadlines_s.update(dict.fromkeys(silent, bypass_deadline_s))
        return replies

    async def _read_engine_state(
        self, states: States, rank: int, registration: roster.Registration
    ) -> None:
        """Read a rank's state from its engine and add it to the states."""
        reply = await fetch(
            registration.address, engines.report_request(), ENGINE_LIMIT_S
        )
        if reply is None:
            return
        try:
            report = engines.decode_report(reply.body)
        except decoding.FormatError as error:
            _LOG.warning('malformed report of rank %s: %s', rank, error)
            return
        if report.rank is not None:
            states[rank] = internal_messages.RankState(report.rank, report.pace)

    async def _order_engine(
        self,
        rank_order: internal_messages.RankOrder,
        registration: roster.Registration,
    ) -> int:
        """Send an order to the engine itself and return the status, 0 if none."""
        request = engines.order_request(
            rank_order.order, rank_order.epoch, rank_order.sets
        )
        reply = await fetch(registration.address, request, ENGINE_LIMIT_S)
        return reply.status if reply else 0


def _reported_states(replies: rank_datagrams.Replies) -> States:
    return {
        rank: reply.state
        for rank, reply in replies.items()
        if reply.state is not None
    }


async def _order_through_entry(
    entry: membership.Member,
    engine: str,
    message: internal_messages.RankOrder,
) -> int | None:
    """Send an order through an entry.

    :param engine: ``IP:port`` of the rank's engine.
    :returns: The status of the engine's response; 0 if it is unknown; None if
        the entry has not relayed the order.
    """
    relayed_order = internal_messages.RelayedOrder(engine, message)
    request = http_messages.Request(
        'POST',
        internal_messages.RELAY_PATH,
        [],
        internal_messages.encode(relayed_order),
    )
    answer = await fetch(entry.internal_address, request, AGENT_LIMIT_S)
    if answer is None:
        return 0
    if answer.status != http.HTTPStatus.OK:
        _LOG.warning(
            'entry %s does not relay the order to %s: status %s, %s',
            entry.name,
            engine,
            answer.status,
            answer.body[:_MAX_LOGGED_BYTES],
        )
        # The entry has not sent what it refuses as the caller's fault.
        is_refused = answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR
        return None if is_refused else 0
    try:
        outcome = internal_messages.decode(
            answer.body, internal_messages.OrderOutcome
        )
    except internal_messages.MessageError as error:
        _LOG.warning('malformed reply of %s: %s', entry.name, error)
        return 0
    return outcome.status


async def fetch(
    address: str,
    request: http_messages.Request,
    limit_s: float,
) -> http_messages.Response | None:
    """Return the response to a request, or None if there is none in time."""
    try:
        async with curio.timeout_after(limit_s):
            return await http_client.fetch(address, request)
    except (curio.TaskTimeout, http_client.HttpError) as error:
        _LOG.warning(
            'request %s to %s failed: %r', request.target, address, error
        )
        return None
