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

from camphorstair_agent.fleet import state
from camphorstair_core.experts import group_orders, group_planner
from camphorstair_core.fleet import membership, roster
from camphorstair_fleet import internal_messages
from camphorstair_platform import engines, fields
from camphorstair_runtime import clocks, http_client, http_messages

AGENT_LIMIT_S = 0.3
ENGINE_LIMIT_S = 0.4
# Time for which an agent that did not answer is bypassed.
AGENT_BYPASS_S = 2.0

_LOG = logging.getLogger(__name__)

States = dict[int, internal_messages.RankState]
Ranks = dict[int, roster.Registration]


@attrs.define(eq=False)
class RankCalls:
    """Client of the ranks of one group.

    :ivar agent: The state of this agent.
    :ivar generator: Chooses the entry that relays an order to hold.
    :ivar bypass_deadlines_s: Until when an agent is bypassed, by rank;
        monotonic clock.
    """

    agent: state.FleetAgent
    generator: random.Random = attrs.field(factory=random.SystemRandom)
    bypass_deadlines_s: dict[int, float] = attrs.field(factory=dict)

    async def states(self, ranks: Ranks, *, with_counts: bool) -> States:
        """Return the state of each rank that answers.

        :param ranks: The registrations of the group by rank.
        :param with_counts: Whether to request counts and experts as well. They
            are empty for a rank whose agent does not answer.
        """
        states: States = {}

        async def request_state(
            rank: int, registration: roster.Registration
        ) -> None:
            answer = await self._fetch_state(
                rank, registration, with_counts=with_counts
            )
            if answer is not None:
                states[rank] = answer

        async with curio.TaskGroup() as group:
            for rank, registration in ranks.items():
                await group.spawn(request_state, rank, registration)
        return states

    async def order(
        self,
        order: group_orders.Order,
        registration: roster.Registration,
        epoch: int,
        sets: group_planner.Sets,
    ) -> int:
        """Send an order to a rank.

        :param order: The order.
        :param registration: The registration of the rank's engine.
        :param epoch: Number of the group's formation.
        :param sets: The map for an order to prepare; empty for other orders.
        :returns: The status of the response; 0 if there is none, in which case
            the rank may still have carried out the order.
        """
        message = internal_messages.RankOrder(order, epoch, sets)
        entries = list(self.agent.members.values())
        if order.kind is group_orders.OrderKind.hold and entries:
            entry = self.generator.choice(entries)
            status = await _order_through_entry(
                entry, registration.address, message
            )
        else:
            status = await self._send_order(message, registration)
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
        return status

    async def _send_order(
        self,
        message: internal_messages.RankOrder,
        registration: roster.Registration,
    ) -> int:
        """Send an order through the rank's agent, or directly to the engine.

        :returns: The status of the response; 0 if there is none.
        """
        order = message.order
        answer = await self._call_agent(
            order.rank,
            registration,
            internal_messages.ORDER_PATH,
            internal_messages.encode(message),
        )
        if answer is not None:
            return internal_messages.decode(
                answer, internal_messages.OrderOutcome
            ).status
        request = engines.order_request(order, message.epoch, message.sets)
        reply = await self._call_engine(registration, request)
        return reply.status if reply else 0

    async def _fetch_state(
        self,
        rank: int,
        registration: roster.Registration,
        *,
        with_counts: bool,
    ) -> internal_messages.RankState | None:
        """Read the state of a rank from its agent, or directly from the engine.

        :returns: The state; None if there is no response or it is malformed.
        """
        path = internal_messages.STATE_PATH
        if with_counts:
            path = internal_messages.STATE_WITH_COUNTS_PATH
        answer = await self._call_agent(rank, registration, path, b'')
        if answer is not None:
            return internal_messages.decode(answer, internal_messages.RankState)
        reply = await self._call_engine(registration, engines.report_request())
        if reply is None:
            return None
        try:
            engine_report = engines.decode_report(reply.body)
        except fields.FormatError as error:
            _LOG.warning('malformed report of rank %s: %s', rank, error)
            return None
        if engine_report.rank is None:
            return None
        return internal_messages.RankState(
            engine_report.rank, engine_report.pace
        )

    async def _call_agent(
        self,
        rank: int,
        registration: roster.Registration,
        path: str,
        body: bytes,
    ) -> bytes | None:
        """Call the agent of a rank.

        :returns: The body of its response; None if it is bypassed, does not
            answer or responds with an error.
        """
        now_s = clocks.monotonic_s()
        if now_s < self.bypass_deadlines_s.get(rank, 0):
            return None
        host = registration.address.rpartition(':')[0]
        address = f'{host}:{self.agent.settings.internal_port}'
        request = http_messages.Request('POST', path, [], body)
        answer = await _fetch(address, request, AGENT_LIMIT_S)
        if answer is None:
            _LOG.warning('the agent of rank %s does not answer', rank)
            self.bypass_deadlines_s[rank] = now_s + AGENT_BYPASS_S
            return None
        return answer.body if answer.status == http.HTTPStatus.OK else None

    async def _call_engine(
        self,
        registration: roster.Registration,
        request: http_messages.Request,
    ) -> http_messages.Response | None:
        return await _fetch(registration.address, request, ENGINE_LIMIT_S)


async def _order_through_entry(
    entry: membership.Member,
    engine: str,
    message: internal_messages.RankOrder,
) -> int:
    """Send an order through an entry.

    :param engine: ``IP:port`` of the rank's engine.
    :returns: The status of the engine's response; 0 if it is unknown.
    """
    relayed_order = internal_messages.RelayedOrder(engine, message)
    request = http_messages.Request(
        'POST',
        internal_messages.RELAY_PATH,
        [],
        internal_messages.encode(relayed_order),
    )
    answer = await _fetch(entry.internal_address, request, AGENT_LIMIT_S)
    if answer is None or answer.status != http.HTTPStatus.OK:
        return 0
    return internal_messages.decode(
        answer.body, internal_messages.OrderOutcome
    ).status


async def _fetch(
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
