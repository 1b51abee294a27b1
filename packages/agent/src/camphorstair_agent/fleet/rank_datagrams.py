"""Calls the agents of many ranks at once by datagrams.

While a rank group is held, it serves nothing, so the planner has to reach all
ranks within a pass of the model. A datagram needs a fraction of the processor
time of an HTTP request. Lost datagrams are sent again: all calls are
idempotent.
"""

import logging
import os
import socket

import attrs
import curio

from camphorstair_core.experts import group_orders
from camphorstair_fleet import datagrams, internal_messages
from camphorstair_runtime import settings

# Time for the reply to one datagram. An agent waits for its engine for up to
# 0.1 s, but most reply within milliseconds.
REPLY_LIMIT_S = 0.06
SENDS = 3
_FIRST_NUMBER_BYTES = 4

_LOG = logging.getLogger(__name__)

Replies = dict[int, internal_messages.RankReply]


@attrs.frozen
class Call:
    """A call to make.

    :ivar rank: The rank that it is for.
    :ivar agent: ``IP:port`` of the agent of that rank.
    :ivar order: The order to send; None to read the state only.
    """

    rank: int
    agent: str
    order: group_orders.Order | None = None


@attrs.define(eq=False)
class _Batch:
    """Calls made together.

    :ivar awaited: The rank of each call without a reply, by number.
    :ivar replies: The replies by rank.
    :ivar complete: Set when every call has its reply.
    """

    awaited: dict[int, int]
    replies: Replies = attrs.field(factory=dict)
    complete: curio.Event = attrs.field(factory=curio.Event)


def _random_number() -> int:
    """Return a number that an earlier process has hardly begun with."""
    return int.from_bytes(os.urandom(_FIRST_NUMBER_BYTES))


@attrs.define(eq=False)
class DatagramCaller:
    """Sends calls and receives the replies.

    :ivar host: IP address to send from.
    :ivar last_number: Number of the call made last. The first one is random:
        an agent that remembers its replies takes a call with the same sender
        and number for the same call, also after the sender has restarted.
    :ivar batches: The batch of each call that awaits its reply, by number.
    """

    host: str
    last_number: int = attrs.field(factory=_random_number)
    batches: dict[int, _Batch] = attrs.field(factory=dict)
    _sock: curio.io.Socket | None = None

    async def run(self) -> None:
        """Receive replies until cancelled."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            sock.bind((self.host, 0))
            self._sock = sock
            while True:
                content, _sender = await datagrams.receive(sock)
                await self._take_reply(content)

    async def call_all(self, calls: list[Call], epoch: int) -> Replies:
        """Make calls concurrently and return the replies by rank.

        A rank whose agent does not reply is missing.

        :param calls: The calls.
        :param epoch: Number of the group's formation for the orders.
        """
        first = self.last_number + 1
        self.last_number += len(calls)
        numbered = dict(enumerate(calls, first))
        batch = _Batch({number: call.rank for number, call in numbered.items()})
        if not calls:
            return batch.replies
        self.batches.update(dict.fromkeys(numbered, batch))
        try:
            await self._send_until_complete(numbered, batch, epoch)
        finally:
            for number in numbered:
                self.batches.pop(number, None)
        return batch.replies

    async def _send_until_complete(
        self, numbered: dict[int, Call], batch: _Batch, epoch: int
    ) -> None:
        for _ in range(SENDS):
            for number in list(batch.awaited):
                await self._send(number, numbered[number], epoch)
            try:
                await curio.timeout_after(REPLY_LIMIT_S, batch.complete.wait)
            except curio.TaskTimeout:
                continue
            return

    async def _send(self, number: int, call: Call, epoch: int) -> None:
        message = internal_messages.RankCall(number, call.order, epoch)
        if self._sock is None:
            return
        try:
            await self._sock.sendto(
                internal_messages.encode(message),
                settings.split_address(call.agent),
            )
        except OSError as error:
            _LOG.debug('sending to agent %s failed: %s', call.agent, error)

    async def _take_reply(self, content: bytes) -> None:
        """Record a reply; a malformed or late one is dropped."""
        try:
            reply = internal_messages.decode(
                content, internal_messages.RankReply
            )
        except internal_messages.MessageError as error:
            _LOG.warning('reply of an agent dropped: %s', error)
            return
        batch = self.batches.pop(reply.number, None)
        if batch is None:
            return
        rank = batch.awaited.pop(reply.number)
        batch.replies[rank] = reply
        if not batch.awaited:
            await batch.complete.set()
