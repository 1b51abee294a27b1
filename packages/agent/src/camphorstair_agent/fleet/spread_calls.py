"""Exchanges large messages with all ranks of a group.

The link of one VM is too slow to exchange counts or maps with every rank of a
large group. So the planner calls only a few agents, each of which passes the
call on for some more ranks.
"""

import http
import logging
import math

import attrs
import curio

from camphorstair_agent.fleet import rank_calls
from camphorstair_core.experts import (
    count_increases,
    group_planner,
)
from camphorstair_core.fleet import roster
from camphorstair_fleet import internal_messages
from camphorstair_runtime import http_messages

CALL_LIMIT_S = 1.0

_LOG = logging.getLogger(__name__)

# Ranks that are reached through the agent of the first one.
Chunk = list[tuple[int, roster.Registration]]
ExpertsByRank = dict[int, internal_messages.RankExperts]


@attrs.define(eq=False)
class SpreadCalls:
    """Client of all ranks of a group for large messages.

    :ivar calls: Client of the single ranks.
    :ivar turn: Number of calls so far; each is passed on by other agents, in
        case one of them has failed.
    """

    calls: rank_calls.RankCalls
    turn: int = 0

    async def experts(self, ranks: rank_calls.Ranks) -> ExpertsByRank:
        """Return the experts that each rank holds, of the ranks that answer."""
        found: ExpertsByRank = {}

        async def read(rank: int, registration: roster.Registration) -> None:
            reply = await self._call_agent(
                self.calls.agent_address(registration),
                internal_messages.EXPERTS_PATH,
                b'',
                internal_messages.RankExperts,
            )
            if reply is not None:
                found[rank] = reply

        async with curio.TaskGroup() as group:
            for rank, registration in ranks.items():
                await group.spawn(read, rank, registration)
        return found

    async def counts(self, ranks: rank_calls.Ranks) -> count_increases.Counts:
        """Return how often the group chose each expert since the last call.

        Ranks whose agents do not answer are left out.
        """
        summands: list[count_increases.Counts] = []

        async def read(chunk: Chunk) -> None:
            addresses = [self.calls.agent_address(row) for _rank, row in chunk]
            call = internal_messages.CountsCall(tuple(addresses[1:]))
            reply = await self._call_agent(
                addresses[0],
                internal_messages.COUNTS_PATH,
                internal_messages.encode(call),
                internal_messages.CountsReply,
            )
            if reply is not None:
                summands.append(reply.sets)

        async with curio.TaskGroup() as group:
            for chunk in self.chunks(ranks):
                await group.spawn(read, chunk)
        return count_increases.total(summands)

    async def prepare(
        self,
        orders: rank_calls.Orders,
        ranks: rank_calls.Ranks,
        epoch: int,
        sets: group_planner.Sets,
    ) -> set[int]:
        """Send orders to prepare a map.

        :param orders: rank_calls.Orders that differ only in their rank.
        :param ranks: The registrations of the group by rank.
        :param epoch: Number of the group's formation.
        :param sets: The map.
        :returns: The ranks whose engines answered; others may have carried out
            the order nevertheless.
        """
        ordered = {order.rank: ranks[order.rank] for order in orders}
        statuses: dict[int, int] = {}

        async def send(chunk: Chunk) -> None:
            rank, registration = chunk[0]
            order = attrs.evolve(orders[0], rank=rank)
            peers = tuple(
                internal_messages.PeerRank(peer, self.calls.agent_address(row))
                for peer, row in chunk[1:]
            )
            rank_order = internal_messages.RankOrder(order, epoch, sets)
            reply = await self._call_agent(
                self.calls.agent_address(registration),
                internal_messages.PREPARE_PATH,
                internal_messages.encode(
                    internal_messages.PrepareCall(rank_order, peers)
                ),
                internal_messages.PrepareReply,
            )
            if reply is not None:
                statuses.update(reply.statuses)

        async with curio.TaskGroup() as group:
            for chunk in self.chunks(ordered):
                await group.spawn(send, chunk)
        for order in orders:
            self.calls.record_order(order, statuses.get(order.rank, 0))
        return set(statuses)

    def chunks(self, ranks: rank_calls.Ranks) -> list[Chunk]:
        """Divide ranks into about as many chunks as each of them has ranks.

        The first rank of a chunk, whose agent passes a call on, is another one
        in each call.
        """
        self.turn += 1
        size = max(1, math.ceil(math.sqrt(len(ranks))))
        turn = self.turn % max(1, len(ranks))
        reachable = [
            row for row in ranks.items() if not self.calls.is_bypassed(row[0])
        ]
        rows = reachable[turn:] + reachable[:turn]
        return [
            rows[start : start + size] for start in range(0, len(rows), size)
        ]

    async def _call_agent(
        self,
        agent: str,
        path: str,
        body: bytes,
        kind: type[internal_messages.Message],
    ) -> internal_messages.Message | None:
        """Call an agent by HTTP.

        :returns: Its reply; None if it does not answer or responds with an
            error.
        """
        request = http_messages.Request('POST', path, [], body)
        answer = await rank_calls.fetch(agent, request, CALL_LIMIT_S)
        if answer is None or answer.status != http.HTTPStatus.OK:
            return None
        try:
            return internal_messages.decode(answer.body, kind)
        except internal_messages.MessageError as error:
            _LOG.warning('malformed reply of agent %s: %s', agent, error)
            return None
