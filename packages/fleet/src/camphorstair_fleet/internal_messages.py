"""Messages between entries and agents, encoded as msgpack."""

import typing

import attrs
import msgspec

from camphorstair_core.experts import even_maps, group_orders

STATE_PATH = '/state'
STATE_WITH_COUNTS_PATH = '/state/counts'
ORDER_PATH = '/order'
RELAY_PATH = '/relay'

# Longest datagram that is read whole.
MAX_DATAGRAM_BYTES = 2048

Message = typing.TypeVar('Message')


class MessageError(ValueError):
    """The bytes do not decode to a message of the expected type."""


@attrs.frozen
class EngineLoad:
    """The load of an engine, sent by its agent to the entries.

    :ivar address: ``IP:port`` of the engine.
    :ivar running: Number of requests that the engine runs.
    :ivar waiting: Number of requests that wait at the engine.
    :ivar pace: Factor by which the engine is slower than usual; 1 is usual.
    :ivar is_open: Whether its rank group serves requests.
    """

    address: str
    running: int
    waiting: int
    pace: float
    is_open: bool


@attrs.frozen
class RankState:
    """The state of a rank, sent by its agent to the planner.

    :ivar report: The versions of the expert maps at the rank, and its steps.
    :ivar pace: Factor by which its engine is slower than usual; 1 is usual.
    :ivar experts: Experts that the rank holds, by set; empty unless requested.
    :ivar counts: How often its requests chose each expert since it started, by
        set; empty unless requested.
    """

    report: group_orders.RankReport
    pace: float = 1.0
    experts: tuple[tuple[int, ...], ...] = ()
    counts: tuple[tuple[int, ...], ...] = ()


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
        return msgspec.msgpack.decode(content, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageError(f'invalid {kind.__name__}: {error}') from error
