"""The state that the specification of the switch goes over.

Orders are never removed once given, so that each may arrive late, again, out
of order or never.
"""

import enum
import functools

import attrs

from camphorstair_core.experts import fencing, switch
from camphorstair_standins import rank_group

RANKS = 3
OLD = 1
NEW = 2


class Mutant(enum.Enum):
    """Faults that the checker must find."""

    none = enum.auto()
    no_acknowledgement_count = enum.auto()
    no_agent_fencing = enum.auto()
    no_boundary = enum.auto()
    no_hold_after_restart = enum.auto()
    no_finishing = enum.auto()
    no_reading_after_fencing = enum.auto()
    no_second_reading = enum.auto()
    no_base_check = enum.auto()


class Fault(enum.Flag):
    """Faults that may still happen."""

    none = 0
    engine_cold = enum.auto()
    agent_restart = enum.auto()
    holder_dies = enum.auto()


ALL_FAULTS = Fault.engine_cold | Fault.agent_restart | Fault.holder_dies


BOOT = 'boot'
"""The run of an agent; see ``_restart`` for how a new one is modelled."""


@attrs.define(frozen=True, order=True, cache_hash=True)
class Node:
    """A rank with its agent, and what the holders know of it.

    :ivar known: Whether the agent has read the fencing number.
    :ivar fence: Lowest number of an order that the agent passes.
    :ivar current: The rank's map; -1 when cold.
    :ivar staged: Its staged map; -1 for none.
    :ivar told: Highest version that it was told to commit.
    :ivar obeyed: Highest fencing number at the engine.
    :ivar acked: Whether holder 1 had its acknowledgement.
    :ivar reported: Its report to holder 2 when fenced, or None.
    :ivar done: Whether holder 2 had its answer in the present phase.
    """

    known: bool = True
    fence: tuple[int, int] = (OLD, 0)
    current: int = 0
    staged: int = -1
    told: int = 0
    obeyed: int = 0
    acked: bool = False
    reported: tuple[int, int] = (-2, 0)
    done: bool = False


@attrs.define(frozen=True)
class World:
    """A state of the whole; the nodes are sorted, for they are alike.

    :ivar nodes: The ranks.
    :ivar committing: Whether holder 1 has ordered the commit.
    :ivar alive: Whether holder 1 lives.
    :ivar holder: Holder 2, once it has the lease.
    :ivar faults: What may still fail.
    :ivar mixed: Whether a step had two maps.
    :ivar obsolete: Whether an engine obeyed holder 1 after holder 2 had
        fenced its agent.
    """

    nodes: tuple[Node, ...] = (Node(),) * RANKS
    committing: bool = False
    alive: bool = True
    holder: switch.Holder | None = None
    faults: Fault = ALL_FAULTS
    mixed: bool = False
    obsolete: bool = False


@attrs.define(frozen=True, cache_hash=True)
class Order:
    """An order that may arrive at a node.

    :ivar number: Its number.
    :ivar kind: ``fence``, ``stage``, ``commit`` or ``restore``.
    :ivar version: The version; for ``restore`` the staged one.
    :ivar base: The map that the order builds on, or gives to a cold rank.
    """

    number: fencing.OrderNumber
    kind: str
    version: int | None = None
    base: int = 0


def to_state(world: World) -> tuple[object, ...]:
    """Return the world as the checker's tuple, its nodes in a fixed order."""
    nodes = tuple(sorted(world.nodes, key=_as_tuple))
    ordered = attrs.evolve(world, nodes=nodes)
    return attrs.astuple(ordered, recurse=False)


def rank(node: Node, *, checks: bool) -> rank_group.Rank:
    """Return a node's rank for the stand-in."""
    return rank_group.Rank(
        current=None if node.current < 0 else node.current,
        staged=None if node.staged < 0 else node.staged,
        told=node.told,
        fencing=node.obeyed,
        checks=checks,
    )


def with_rank(node: Node, rank: rank_group.Rank) -> Node:
    """Return a node after its rank has changed."""
    return attrs.evolve(
        node,
        current=-1 if rank.current is None else rank.current,
        staged=-1 if rank.staged is None else rank.staged,
        told=rank.told,
        obeyed=rank.fencing,
    )


def orders_given(world: World) -> list[Order]:
    """Return all orders that were ever given."""
    first = fencing.OrderNumber(OLD)
    orders = [
        Order(first, 'stage', OLD),
        Order(first, 'restore', OLD),
    ]
    if world.committing:
        orders.append(Order(first, 'commit', OLD))
    if world.holder is not None:
        orders.extend(_holder_orders(world.holder))
    return orders


@functools.cache
def _holder_orders(holder: switch.Holder) -> list[Order]:
    numbers = {
        phase: fencing.OrderNumber(NEW, phase.value) for phase in switch.Phase
    }
    orders = [
        Order(numbers[phase], 'fence')
        for phase in switch.Phase
        if phase < switch.Phase.finishing and holder.phase >= phase
    ]
    finishing = numbers[switch.Phase.finishing]
    was_finishing = holder.phase is switch.Phase.finishing
    if was_finishing or holder.base == OLD:
        # Orders of a finishing that may be over; there may have been none.
        orders.append(Order(finishing, 'commit', OLD))
        orders.append(Order(finishing, 'restore', OLD))
    for phase in (switch.Phase.staging, switch.Phase.committing):
        if holder.phase >= phase:
            kind = 'stage' if phase is switch.Phase.staging else 'commit'
            orders.append(Order(numbers[phase], kind, NEW, holder.base))
            orders.append(Order(numbers[phase], 'restore', NEW, holder.base))
    return orders


def with_node(world: World, place: int, node: Node) -> World:
    """Return the world after a node has changed."""
    return attrs.evolve(world, nodes=replaced(world, place, node))


def replaced(world: World, place: int, node: Node) -> tuple[Node, ...]:
    """Return the nodes with one replaced."""
    nodes = list(world.nodes)
    nodes[place] = node
    return tuple(nodes)


@functools.cache
def _as_tuple(node: Node) -> tuple[object, ...]:
    return attrs.astuple(node)
