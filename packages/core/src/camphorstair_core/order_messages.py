"""Messages that carry orders to the engine behind an agent."""

import enum

import attrs


class OrderKind(enum.StrEnum):
    """What an engine is ordered to do."""

    load_model = 'load_model'
    load_adapter = 'load_adapter'
    load_version = 'load_version'
    change_role = 'change_role'
    stage_map = 'stage_map'
    commit_map = 'commit_map'
    restore_map = 'restore_map'


@attrs.define(frozen=True)
class FenceRequest:
    """Tells an agent the number of a holder and asks for its state.

    :ivar group: The group that the holder plans for.
    :ivar fencing: Fencing number of its lease.
    :ivar sequence: Sequence number of its phase.
    """

    group: str
    fencing: int
    sequence: int = 0


@attrs.define(frozen=True)
class FenceReply:
    """An agent's state for a group.

    :ivar boot: The run of the agent; orders have to name it.
    :ivar decision: Whether the number was taken over.
    :ivar engine: What the engine reports of itself, as JSON.
    """

    boot: str
    decision: str
    engine: bytes = b''


@attrs.define(frozen=True)
class Order:
    """An order to an engine.

    :ivar group: The group that the holder plans for.
    :ivar boot: The run of the agent that it is meant for.
    :ivar fencing: Fencing number of the holder's lease.
    :ivar sequence: Sequence number of the holder's phase.
    :ivar kind: What to do.
    :ivar body: Details for the engine, as JSON.
    """

    group: str
    boot: str
    fencing: int
    sequence: int
    kind: OrderKind
    body: bytes


@attrs.define(frozen=True)
class OrderReply:
    """What became of an order.

    :ivar boot: The run of the agent.
    :ivar decision: Whether the agent passed it on, and why not.
    :ivar status: HTTP status of the engine; 0 if it has none.
    :ivar body: The engine's answer.
    """

    boot: str
    decision: str
    status: int = 0
    body: bytes = b''
