"""Serves the planner's calls for the rank on this VM.

States and short orders come as datagrams. Counts and maps come as HTTP requests,
which an agent also passes on to the agents of some other ranks: the link of the
planner's VM is too slow to exchange them with all ranks of a large group.
"""

import http
import logging
import socket

import attrs
import curio

from camphorstair_agent.fleet import engine_calls
from camphorstair_core import decoding
from camphorstair_core.experts import count_increases
from camphorstair_fleet import datagrams, internal_answers, internal_messages
from camphorstair_platform import engines
from camphorstair_runtime import http_client, http_messages, http_server

# Time for an agent to which a call is passed on.
PEER_LIMIT_S = 0.5
# Datagrams that are answered at the same time; further ones are dropped.
MAX_PENDING_DATAGRAMS = 32

# Calls that are recognised if they arrive again.
MAX_REMEMBERED_REPLIES = 128

_LOG = logging.getLogger(__name__)

# Address of the sender and number of the call.
CallKey = tuple[tuple[str, int], int]


@attrs.define(eq=False)
class RankService:
    """Handles the planner's calls.

    :ivar calls: Connection to the engine for reading its state.
    :ivar order_calls: A separate connection for orders, so that an order
        without a response does not delay reads.
    :ivar last_counts: The engine's counts when they were last passed on.
    :ivar set_count: Number of sets of experts; 0 until the engine was asked.
    :ivar pending_datagrams: Number of datagrams that are being answered.
    :ivar replies: The replies to the latest calls by sender and number; None
        for a call that is being answered. A call may arrive more than once.
    """

    calls: engine_calls.EngineCalls
    order_calls: engine_calls.EngineCalls
    last_counts: count_increases.Counts = ()
    set_count: int = 0
    pending_datagrams: int = 0
    replies: dict[CallKey, internal_messages.RankReply | None] = attrs.field(
        factory=dict
    )

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Respond to one request.

        Responds with status 502 if the engine fails, and 400 if the message is
        malformed.
        """
        try:
            answer = await self._answer(request)
        except internal_messages.MessageError as message_error:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_REQUEST, message_error
            )
        except (http_client.HttpError, decoding.FormatError) as error:
            answer = internal_answers.failure(
                http.HTTPStatus.BAD_GATEWAY, error
            )
        await responder.respond(answer)

    async def serve_datagrams(self, host: str, port: int) -> None:
        """Answer datagrams until cancelled."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            sock.bind((host, port))
            while True:
                content, sender = await datagrams.receive(sock)
                if self.pending_datagrams >= MAX_PENDING_DATAGRAMS:
                    _LOG.debug('datagram dropped: too many are pending')
                    continue
                self.pending_datagrams += 1
                await curio.spawn(
                    self._answer_datagram, sock, content, sender, daemon=True
                )

    async def _answer_datagram(
        self, sock: curio.io.Socket, content: bytes, sender: tuple[str, int]
    ) -> None:
        try:
            reply = await self._reply(content, sender)
            if reply is not None:
                await sock.sendto(internal_messages.encode(reply), sender)
        except (internal_messages.MessageError, OSError) as error:
            _LOG.warning('datagram not answered: %s', error)
        finally:
            self.pending_datagrams -= 1

    async def _reply(
        self, content: bytes, sender: tuple[str, int]
    ) -> internal_messages.RankReply | None:
        """Return the reply to a call, which is carried out only once.

        :returns: None if the same call is being answered already.
        :raises internal_messages.MessageError: if the call is malformed.
        """
        call = internal_messages.decode(content, internal_messages.RankCall)
        key = (sender, call.number)
        if key in self.replies:
            return self.replies.get(key)
        self.replies[key] = None
        if len(self.replies) > MAX_REMEMBERED_REPLIES:
            self.replies.pop(next(iter(self.replies)))
        reply = await self._carry_out(call)
        self.replies[key] = reply
        return reply

    async def _carry_out(
        self, call: internal_messages.RankCall
    ) -> internal_messages.RankReply:
        """Carry out the order of a call, if any, and read the rank's state."""
        status = 0
        if call.order is not None:
            order = internal_messages.RankOrder(call.order, call.epoch)
            status = await self._execute_order(order)
        try:
            state = await self._read_state()
        except (http_client.HttpError, decoding.FormatError) as error:
            _LOG.warning('state of the rank not read: %s', error)
            state = None
        return internal_messages.RankReply(call.number, status, state)

    async def _answer(
        self,
        request: http_messages.Request,
    ) -> http_messages.Response:
        path = request.path
        if path == internal_messages.ORDER_PATH:
            order = internal_messages.decode(
                request.body, internal_messages.RankOrder
            )
            status = await self._execute_order(order)
            return internal_answers.whole(
                internal_messages.OrderOutcome(status)
            )
        if path == internal_messages.PREPARE_PATH:
            return internal_answers.whole(await self._prepare(request.body))
        if path == internal_messages.COUNTS_PATH:
            return internal_answers.whole(await self._add_counts(request.body))
        if path == internal_messages.EXPERTS_PATH:
            return internal_answers.whole(await self._read_experts())
        return internal_answers.unknown_call(request)

    async def _read_state(self) -> internal_messages.RankState:
        """Read the rank's state from the engine.

        :raises decoding.FormatError: if the engine is not a rank of a group.
        """
        answer = await self.calls.call(engines.report_request())
        report = engines.decode_report(answer.body)
        if report.rank is None:
            raise decoding.FormatError('the engine is not a rank of a group')
        return internal_messages.RankState(report.rank, report.pace)

    async def _read_experts(self) -> internal_messages.RankExperts:
        """Read the experts that the rank holds from the engine."""
        answer = await self.calls.call(engines.maps_request())
        maps = engines.decode_maps(answer.body)
        return internal_messages.RankExperts(maps.version, maps.experts)

    async def _add_counts(
        self, content: bytes
    ) -> internal_messages.CountsReply:
        """Return the recent counts of this rank and of others, added up."""
        call = internal_messages.decode(content, internal_messages.CountsCall)
        request = http_messages.Request(
            'POST',
            internal_messages.COUNTS_PATH,
            [],
            internal_messages.encode(internal_messages.CountsCall()),
        )
        replies: list[internal_messages.CountsReply] = []

        async def add_peer(agent: str) -> None:
            reply = await _call_peer(
                agent, request, internal_messages.CountsReply
            )
            if reply is not None:
                replies.append(reply)

        async with curio.TaskGroup() as group:
            for agent in call.agents:
                await group.spawn(add_peer, agent)
            own = await self._own_counts()
            replies.append(internal_messages.CountsReply(1, own))
        return internal_messages.CountsReply(
            sum(reply.ranks for reply in replies),
            count_increases.total([reply.sets for reply in replies]),
        )

    async def _own_counts(self) -> count_increases.Counts:
        """Return the increase of the rank's counts since the last call."""
        if not self.set_count:
            self.set_count = len((await self._read_experts()).sets)
        answer = await self.calls.call(engines.counts_request())
        counts = engines.decode_counts(answer.body, self.set_count).counts
        increase = count_increases.increase(self.last_counts, counts)
        self.last_counts = counts
        return increase

    async def _prepare(self, content: bytes) -> internal_messages.PrepareReply:
        """Send an order to prepare a map to this rank and to others."""
        call = internal_messages.decode(content, internal_messages.PrepareCall)
        statuses: dict[int, int] = {}

        async def pass_on(peer: internal_messages.PeerRank) -> None:
            order = attrs.evolve(
                call.order, order=attrs.evolve(call.order.order, rank=peer.rank)
            )
            request = http_messages.Request(
                'POST',
                internal_messages.ORDER_PATH,
                [],
                internal_messages.encode(order),
            )
            reply = await _call_peer(
                peer.agent, request, internal_messages.OrderOutcome
            )
            if reply is not None:
                statuses[peer.rank] = reply.status

        async with curio.TaskGroup() as group:
            for peer in call.peers:
                await group.spawn(pass_on, peer)
            status = await self._execute_order(call.order)
            statuses[call.order.order.rank] = status
        return internal_messages.PrepareReply(
            {rank: status for rank, status in statuses.items() if status}
        )

    async def _execute_order(
        self, rank_order: internal_messages.RankOrder
    ) -> int:
        """Send an order to the engine.

        :returns: The status of the response; 0 if there was none.
        """
        request = engines.order_request(
            rank_order.order, rank_order.epoch, rank_order.sets
        )
        try:
            answer = await self.order_calls.call(request)
        except http_client.HttpError as error:
            _LOG.warning(
                'order %s got no response: %s',
                rank_order.order.kind.value,
                error,
            )
            return 0
        return answer.status


async def _call_peer(
    agent: str,
    request: http_messages.Request,
    kind: type[internal_messages.Message],
) -> internal_messages.Message | None:
    """Return the reply of another agent, or None if it has none in time."""
    try:
        async with curio.timeout_after(PEER_LIMIT_S):
            answer = await http_client.fetch(agent, request)
        if answer.status == http.HTTPStatus.OK:
            return internal_messages.decode(answer.body, kind)
    except (
        curio.TaskTimeout,
        http_client.HttpError,
        internal_messages.MessageError,
    ) as error:
        _LOG.warning('call to agent %s failed: %r', agent, error)
    return None
