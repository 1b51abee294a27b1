"""States of the model of the expert map switch, and the orders in transit.

Orders stay deliverable once issued, so each may arrive late, repeatedly, out
of order or never.
"""

import enum
import functools

import attrs

from camphorstair_core.experts import fencing, switch
from camphorstair_standins import rank_group

RANKS = 3

# Fencing numbers of holder 1 and holder 2, and the versions of their maps.
OLD = 1
NEW = 2


class Mutant(enum.Enum):
    """Faults in the protocol; the checker must find a violation for each.

    :ivar none: No fault.
    :ivar no_acknowledgement_count: Holder 1 commits before all ranks have
        acknowledged the staged map.
    :ivar no_agent_fencing: Agents pass orders with any fencing number.
    :ivar no_boundary: Each rank switches as soon as it receives the commit
        order, instead of all at the boundary between two steps.
    :ivar no_hold_after_restart: A restarted agent passes orders before it
        has read the current fencing number.
    :ivar no_finishing: Holder 2 doesn't finish a commit that holder 1
        began.
    :ivar no_reading_after_fencing: Holder 2 decides from reports made while
        it was fencing the agents.
    :ivar no_second_reading: Holder 2 doesn't read the reports again if a
        rank was cold.
    :ivar no_base_check: Agents stage a map at a rank that doesn't use the
        base map yet.
    """

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
    """Failures that may still happen in a run, once each."""

    none = 0
    engine_cold = enum.auto()
    agent_restart = enum.auto()
    holder_dies = enum.auto()


ALL_FAULTS = Fault.engine_cold | Fault.agent_restart | Fault.holder_dies


BOOT = 'boot'
"""Identifier of every agent's run.

A restart is modelled by a new fence instead of a new identifier; see
``expert_switch``.
"""


@attrs.define(frozen=True, order=True, cache_hash=True)
class Node:
    """A rank with its agent, and what the holders have received from it.

    :ivar fence_known: Whether the agent knows the current fencing number; it
        doesn't after a restart until it has read the number.
    :ivar fence: Lowest order number, as fencing and sequence number, that the
        agent passes to the engine.
    :ivar current: Version of the map in use; -1 when cold.
    :ivar staged: Version of the staged map; -1 for none.
    :ivar told: Highest version that the rank was ordered to commit or learned
        of at a boundary between steps.
    :ivar obeyed: Highest fencing number that the engine accepted.
    :ivar acknowledged: Whether holder 1 has received the acknowledgement.
    :ivar reported: ``current`` and ``told`` as reported to holder 2 in the
        current phase; (-2, 0) before.
    :ivar phase_answered: Whether holder 2 has received the answer of the
        current phase.
    """

    fence_known: bool = True
    fence: tuple[int, int] = (OLD, 0)
    current: int = 0
    staged: int = -1
    told: int = 0
    obeyed: int = 0
    acknowledged: bool = False
    reported: tuple[int, int] = (-2, 0)
    phase_answered: bool = False


@attrs.define(frozen=True)
class World:
    """State of the whole system.

    :ivar nodes: The ranks with their agents.
    :ivar committing: Whether holder 1 has issued the commit orders.
    :ivar first_holder_alive: Whether holder 1 is running.
    :ivar holder: State of holder 2, once it has the lease; else None.
    :ivar faults: Failures that may still happen.
    :ivar mixed: Whether a step used two maps.
    :ivar obsolete: Whether an order of holder 1 changed a rank after holder 2
        had fenced its agent.
    """

    nodes: tuple[Node, ...] = (Node(),) * RANKS
    committing: bool = False
    first_holder_alive: bool = True
    holder: switch.Holder | None = None
    faults: Fault = ALL_FAULTS
    mixed: bool = False
    obsolete: bool = False


@attrs.define(frozen=True, cache_hash=True)
class Order:
    """An order that may arrive at a node.

    :ivar number: Fencing and sequence number of the order.
    :ivar kind: ``fence``, ``stage``, ``commit`` or ``restore``.
    :ivar version: Version to stage or commit; for ``restore``, the version to
        be staged. None for ``fence``.
    :ivar base: Version that the staged map builds on; for ``restore``, the
        version to be used.
    """

    number: fencing.OrderNumber
    kind: str
    version: int | None = None
    base: int = 0


def to_state(world: World) -> tuple[object, ...]:
    """Return the state as the checker's tuple of fields.

    The nodes are sorted: states that differ only in their order are
    equivalent, so the checker visits just one of them.
    """
    nodes = tuple(sorted(world.nodes, key=_as_tuple))
    ordered = attrs.evolve(world, nodes=nodes)
    return attrs.astuple(ordered, recurse=False)


def rank(node: Node, *, checks: bool) -> rank_group.Rank:
    """Return the rank of a node as the stand-in represents it.

    :param node: The node.
    :param checks: Whether the engine refuses lower fencing numbers.
    """
    return rank_group.Rank(
        current=None if node.current < 0 else node.current,
        staged=None if node.staged < 0 else node.staged,
        told=node.told,
        fencing=node.obeyed,
        checks=checks,
    )


def with_rank(node: Node, rank: rank_group.Rank) -> Node:
    """Return a node after its rank was replaced."""
    return attrs.evolve(
        node,
        current=-1 if rank.current is None else rank.current,
        staged=-1 if rank.staged is None else rank.staged,
        told=rank.told,
        obeyed=rank.fencing,
    )


def orders_issued(world: World) -> list[Order]:
    """Return all orders that were issued in the run, by both holders."""
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
    """Return all orders that holder 2 has issued up to its current phase."""
    numbers = {
        phase: fencing.OrderNumber(NEW, phase.value) for phase in switch.Phase
    }
    orders = [
        Order(numbers[phase], 'fence')
        for phase in switch.Phase
        if phase < switch.Phase.finishing and holder.phase >= phase
    ]
    finishing = numbers[switch.Phase.finishing]
    is_finishing = holder.phase is switch.Phase.finishing
    if is_finishing or holder.base == OLD:
        # Whether holder 2 passed through the finishing phase isn't recorded.
        # Its orders are included in any case in which it may have done so.
        orders.append(Order(finishing, 'commit', OLD))
        orders.append(Order(finishing, 'restore', OLD))
    for phase in (switch.Phase.staging, switch.Phase.committing):
        if holder.phase >= phase:
            kind = 'stage' if phase is switch.Phase.staging else 'commit'
            orders.append(Order(numbers[phase], kind, NEW, holder.base))
            orders.append(Order(numbers[phase], 'restore', NEW, holder.base))
    return orders


def with_node(world: World, index: int, node: Node) -> World:
    """Return the state after a node was replaced.

    :param world: The state before.
    :param index: Index of the node.
    :param node: The new node.
    """
    return attrs.evolve(world, nodes=replace_node(world, index, node))


def replace_node(world: World, index: int, node: Node) -> tuple[Node, ...]:
    """Return the nodes of a state after one was replaced."""
    nodes = list(world.nodes)
    nodes[index] = node
    return tuple(nodes)


@functools.cache
def _as_tuple(node: Node) -> tuple[object, ...]:
    return attrs.astuple(node)
