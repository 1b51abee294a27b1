"""Messages that carry orders to the engine of an agent.

Every order carries the fencing number of its sender's lease. An agent refuses
orders with a lower number than the highest that it knows.
"""

import enum

import attrs


class OrderKind(enum.StrEnum):
    """Kind of an order to an engine."""

    load_model = 'load_model'
    load_adapter = 'load_adapter'
    load_version = 'load_version'
    change_role = 'change_role'
    stage_map = 'stage_map'
    commit_map = 'commit_map'
    restore_map = 'restore_map'


@attrs.define(frozen=True)
class FenceRequest:
    """Announces a lease holder's fencing number and asks for the agent's state.

    :ivar group: The rank group that the holder plans for.
    :ivar fencing: Fencing number of the holder's lease.
    :ivar sequence: Sequence number of the holder's phase.
    """

    group: str
    fencing: int
    sequence: int = 0


@attrs.define(frozen=True)
class FenceReply:
    """An agent's state for a group; the reply to ``FenceRequest``.

    :ivar boot: Identifier of the agent's run, from its start to its restart;
        orders have to carry it.
    :ivar decision: Whether the agent accepted the holder's number, else why
        not.
    :ivar engine: State that the engine reports, as JSON.
    """

    boot: str
    decision: str
    engine: bytes = b''


@attrs.define(frozen=True)
class Order:
    """An order to an engine.

    :ivar group: The rank group that the holder plans for.
    :ivar boot: Identifier of the agent's run that the order is meant for.
    :ivar fencing: Fencing number of the holder's lease.
    :ivar sequence: Sequence number of the holder's phase.
    :ivar kind: Kind of the order.
    :ivar body: The order's parameters for the engine, as JSON.
    """

    group: str
    boot: str
    fencing: int
    sequence: int
    kind: OrderKind
    body: bytes


@attrs.define(frozen=True)
class OrderReply:
    """Outcome of an order.

    :ivar boot: Identifier of the agent's run.
    :ivar decision: Whether the agent passed the order on, else why not.
    :ivar status: HTTP status of the engine's response; 0 if there is none.
    :ivar body: Body of the engine's response.
    """

    boot: str
    decision: str
    status: int = 0
    body: bytes = b''
