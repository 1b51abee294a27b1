"""Messages between entries and agents, encoded as msgpack."""

import typing

import attrs
import msgspec

from camphorstair_core.experts import even_maps, group_orders

STATE_PATH = '/state'
STATE_WITH_COUNTS_PATH = '/state/counts'
ORDER_PATH = '/order'
RELAY_PATH = '/relay'

Message = typing.TypeVar('Message')


class MessageError(ValueError):
    """Bytes that are no message of the expected kind."""


@attrs.frozen
class EngineLoad:
    """An agent tells the entries the load of its engine.

    :ivar address: ``IP:port`` of the engine.
    :ivar sequence: Rises with each message of a run of the agent.
    :ivar running: Requests that it runs.
    :ivar waiting: Requests that wait at it.
    :ivar pace: How much slower than usual it is; 1 is usual.
    :ivar is_open: Whether its rank group works.
    """

    address: str
    sequence: int
    running: int
    waiting: int
    pace: float
    is_open: bool


@attrs.frozen
class RankState:
    """An agent tells the planner the state of its rank.

    :ivar report: The rank's maps.
    :ivar pace: How much slower than usual its engine is; 1 is usual.
    :ivar experts: Experts that it holds, by set; empty if not asked for.
    :ivar counts: How often its requests chose each expert since its start, by
        set; empty if not asked for.
    """

    report: group_orders.RankReport
    pace: float = 1.0
    experts: tuple[tuple[int, ...], ...] = ()
    counts: tuple[tuple[int, ...], ...] = ()


@attrs.frozen
class RankOrder:
    """The planner has an agent give its rank an order.

    :ivar order: The order.
    :ivar epoch: The formation of the group for which it is meant.
    :ivar sets: The map of each set, for an order to prepare one.
    """

    order: group_orders.Order
    epoch: int
    sets: tuple[even_maps.Held, ...] = ()


@attrs.frozen
class RelayedOrder:
    """The planner has an entry give a rank an order.

    :ivar address: ``IP:port`` of the rank's engine.
    :ivar order: The order.
    """

    address: str
    order: RankOrder


@attrs.frozen
class OrderOutcome:
    """An agent tells what its rank answered; 0 if it did not answer."""

    status: int


def encode(message: object) -> bytes:
    """Return a message as bytes."""
    return msgspec.msgpack.encode(message)


def decode(content: bytes, kind: type[Message]) -> Message:
    """Return the message that bytes hold.

    :raises MessageError: if they hold no message of that kind.
    """
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageError(f'no {kind.__name__}: {error}') from error
