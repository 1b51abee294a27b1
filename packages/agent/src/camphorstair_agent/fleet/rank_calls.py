"""Asks the ranks of a group and gives them orders, through their agents.

An agent asks its own engine, which is free. Where an agent does not answer,
the engine itself is called, so that a group is never left waiting for a VM.
Orders to hold a group go through an entry, whose VM has no rank.
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
# An agent that did not answer is passed over for this long.
SILENT_S = 2.0

_LOG = logging.getLogger(__name__)

States = dict[int, internal_messages.RankState]
Ranks = dict[int, roster.Registration]


@attrs.define(eq=False)
class RankCalls:
    """Calls to the ranks of one group.

    :ivar agent: The state of this agent.
    :ivar generator: Source of random choices.
    :ivar silent: Until when an agent is passed over, by rank.
    """

    agent: state.FleetAgent
    generator: random.Random = attrs.field(factory=random.SystemRandom)
    silent: dict[int, float] = attrs.field(factory=dict)

    async def states(self, ranks: Ranks, *, with_counts: bool) -> States:
        """Return the state of each rank that answers.

        :param with_counts: Whether counts and experts are asked for; those of
            a rank whose agent is silent are left out.
        """
        found: States = {}

        async def ask(rank: int, registration: roster.Registration) -> None:
            answer = await self._state(
                rank, registration, with_counts=with_counts
            )
            if answer is not None:
                found[rank] = answer

        async with curio.TaskGroup() as group:
            for rank, registration in ranks.items():
                await group.spawn(ask, rank, registration)
        return found

    async def order(
        self,
        order: group_orders.Order,
        registration: roster.Registration,
        epoch: int,
        sets: group_planner.Sets,
    ) -> int:
        """Give a rank an order.

        :returns: The status of its answer; 0 if there is none, and it may
            carry the order out all the same.
        """
        message = internal_messages.RankOrder(order, epoch, sets)
        entries = list(self.agent.members.values())
        if order.kind is group_orders.OrderKind.hold and entries:
            entry = self.generator.choice(entries)
            status = await _relay(entry, registration.address, message)
        else:
            status = await self._give(message, registration)
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

    async def _give(
        self,
        message: internal_messages.RankOrder,
        registration: roster.Registration,
    ) -> int:
        """Give an order through the rank's agent, or to the engine itself."""
        order = message.order
        answer = await self._ask_agent(
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
        reply = await self._ask_engine(registration, request)
        return reply.status if reply else 0

    async def _state(
        self,
        rank: int,
        registration: roster.Registration,
        *,
        with_counts: bool,
    ) -> internal_messages.RankState | None:
        path = internal_messages.STATE_PATH
        if with_counts:
            path = internal_messages.STATE_WITH_COUNTS_PATH
        answer = await self._ask_agent(rank, registration, path, b'')
        if answer is not None:
            return internal_messages.decode(answer, internal_messages.RankState)
        reply = await self._ask_engine(registration, engines.report_request())
        if reply is None:
            return None
        try:
            found = engines.decode_report(reply.body)
        except fields.FormatError as error:
            _LOG.warning('report of rank %s: %s', rank, error)
            return None
        if found.rank is None:
            return None
        return internal_messages.RankState(found.rank, found.pace)

    async def _ask_agent(
        self,
        rank: int,
        registration: roster.Registration,
        path: str,
        body: bytes,
    ) -> bytes | None:
        now_s = clocks.monotonic_s()
        if now_s < self.silent.get(rank, 0):
            return None
        host = registration.address.rpartition(':')[0]
        address = f'{host}:{self.agent.settings.internal_port}'
        request = http_messages.Request('POST', path, [], body)
        answer = await _fetch(address, request, AGENT_LIMIT_S)
        if answer is None:
            _LOG.warning('agent of rank %s does not answer', rank)
            self.silent[rank] = now_s + SILENT_S
            return None
        return answer.body if answer.status == http.HTTPStatus.OK else None

    async def _ask_engine(
        self,
        registration: roster.Registration,
        request: http_messages.Request,
    ) -> http_messages.Response | None:
        return await _fetch(registration.address, request, ENGINE_LIMIT_S)


async def _relay(
    entry: membership.Member,
    engine: str,
    message: internal_messages.RankOrder,
) -> int:
    """Have an entry give an order; return the status, or 0 if unknown."""
    asked = internal_messages.RelayedOrder(engine, message)
    request = http_messages.Request(
        'POST',
        internal_messages.RELAY_PATH,
        [],
        internal_messages.encode(asked),
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
    """Return an answer, or None if there is none in time."""
    try:
        async with curio.timeout_after(limit_s):
            return await http_client.fetch(address, request)
    except (curio.TaskTimeout, http_client.HttpError) as error:
        _LOG.warning('%s at %s: %r', request.target, address, error)
        return None
