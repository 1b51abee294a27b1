"""Messages between entries and agents, encoded as msgpack."""

import typing

import attrs
import msgspec

from camphorstair_core import decoding
from camphorstair_core.experts import even_maps, group_orders

ORDER_PATH = '/order'
PREPARE_PATH = '/prepare'
COUNTS_PATH = '/counts'
EXPERTS_PATH = '/experts'
RELAY_PATH = '/relay'
# Port on which agents receive ``SlotRequest``, counted from the first internal
# port, which the planners' calls use.
SLOT_PORT_OFFSET = 1

Message = typing.TypeVar('Message')


class MessageError(decoding.FormatError):
    """The bytes do not decode to a message of the expected type."""


@attrs.frozen
class EngineLoad:
    """The load of an engine, sent by its agent to the entries.

    :ivar address: ``IP:port`` of the engine.
    :ivar running: Number of requests that the engine runs.
    :ivar waiting: Number of requests that wait at the engine.
    :ivar pace: Factor by which the engine is slower than usual; 1 is usual.
    :ivar is_open: Whether its rank group serves requests.
    :ivar kv_used: Tokens in its memory that can't be evicted; None if its agent
        is of a version that does not send them.
    """

    address: str
    running: decoding.Amount
    waiting: decoding.Amount
    pace: decoding.Duration
    is_open: bool
    kv_used: decoding.Amount | None = None


@attrs.frozen
class SlotRequest:
    """A datagram in which an entry asks an agent for a slot of its engine.

    :ivar number: Number of the request, which a grant repeats.
    :ivar address: ``IP:port`` of the engine.
    :ivar entry: Name of the entry.
    :ivar tier: Tier of the entry's most urgent waiting request; 0 is the most
        urgent.
    :ivar wanted: Number of the entry's waiting requests.
    """

    number: int
    address: str
    entry: str
    tier: decoding.Amount
    wanted: decoding.Amount


@attrs.frozen
class SlotGrant:
    """The reply to a ``SlotRequest``, for one slot; a refusal has no reply.

    :ivar number: Number of the request.
    :ivar address: ``IP:port`` of the engine.
    :ivar valid_s: For how long the slot may be used.
    """

    number: int
    address: str
    valid_s: decoding.Duration


@attrs.frozen
class RankState:
    """The state of a rank, sent by its agent to the planner.

    :ivar report: The versions of the expert maps at the rank, and its steps.
    :ivar pace: Factor by which its engine is slower than usual; 1 is usual.
    """

    report: group_orders.RankReport
    pace: decoding.Duration = 1.0


@attrs.frozen
class RankCall:
    """A datagram from a planner to the agent of a rank.

    The agent replies with the rank's state, after it has carried out the order
    if there is one.

    :ivar number: Number of the call, which the reply repeats.
    :ivar order: An order without a map; None to read the state only.
    :ivar epoch: Number of the group's formation that the order applies to.
    """

    number: int
    order: group_orders.Order | None = None
    epoch: int = 0


@attrs.frozen
class RankReply:
    """The reply of an agent to a ``RankCall``, also a datagram.

    :ivar number: Number of the call.
    :ivar status: HTTP status of the engine's answer to the order; 0 if there
        was no order or no answer.
    :ivar state: State of the rank; None if the engine does not report one.
    """

    number: int
    status: int
    state: RankState | None


@attrs.frozen
class RankExperts:
    """The experts that a rank holds, sent by its agent.

    :ivar version: Version of the map in use.
    :ivar sets: Experts that the rank holds, by set.
    """

    version: int
    sets: tuple[tuple[int, ...], ...]


@attrs.frozen
class CountsCall:
    """A request for the counts of several ranks, added up by one agent.

    :ivar agents: ``IP:port`` of the agents of the other ranks to include.
    """

    agents: tuple[str, ...] = ()


@attrs.frozen
class CountsReply:
    """How often the requests at some ranks chose each expert recently.

    :ivar ranks: Number of ranks that are included.
    :ivar sets: For each set, the count of each expert since the agent of a
        rank last passed on its counts.
    """

    ranks: decoding.Amount
    sets: tuple[tuple[decoding.Amount, ...], ...]


@attrs.frozen
class RankOrder:
    """An order that a planner sends to an agent for its rank.

    :ivar order: The order.
    :ivar epoch: Number of the group's formation that the order applies to.
    :ivar sets: The map of each set if the order is to prepare a map; else
        empty.
    """

    order: group_orders.Order
    epoch: int
    sets: tuple[even_maps.RankExperts, ...] = ()


@attrs.frozen
class PeerRank:
    """A rank whose agent receives an order from the agent of another rank.

    :ivar rank: The rank.
    :ivar agent: ``IP:port`` of its agent.
    """

    rank: int
    agent: str


@attrs.frozen
class PrepareCall:
    """An order to prepare a map, for a rank and for others of its group.

    :ivar order: The order for the rank of the agent that receives this.
    :ivar peers: Ranks to which that agent passes the order on.
    """

    order: RankOrder
    peers: tuple[PeerRank, ...] = ()


@attrs.frozen
class PrepareReply:
    """The outcome of a ``PrepareCall``.

    :ivar statuses: HTTP status of each engine's answer by rank; ranks without
        an answer are left out.
    """

    statuses: dict[int, int]


@attrs.frozen
class RelayedOrder:
    """An order that a planner sends to an entry to relay to a rank.

    :ivar address: ``IP:port`` of the rank's engine.
    :ivar order: The order with its epoch and maps.
    """

    address: str
    order: RankOrder


@attrs.frozen
class OrderOutcome:
    """The answer to an order, from an agent or entry to the planner.

    :ivar status: HTTP status of the engine's answer; 0 if it did not answer.
    """

    status: int


def encode(message: object) -> bytes:
    """Return a message encoded as msgpack."""
    return msgspec.msgpack.encode(message)


def decode(content: bytes, kind: type[Message]) -> Message:
    """Decode a message.

    :param content: The message as msgpack.
    :param kind: The expected message class.
    :raises MessageError: if the content is no message of that class.
    """
    try:
        return decoding.from_msgpack(content, kind)
    except decoding.FormatError as error:
        raise MessageError(str(error)) from error
