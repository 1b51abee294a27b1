"""Specification of the switch to a new expert map, with two lease holders.

Holder 1 stages version 1 on all ranks and commits it. Its lease may expire at
any time without holder 1 detecting it. Holder 2 then takes over, finishes or
undoes version 1, and switches to version 2. The decisions of the holders and
agents are made by ``camphorstair_core.experts``; the ranks are simulated by
``camphorstair_standins.rank_group``.

Orders stay deliverable once issued, so each may arrive late, repeatedly, out
of order or never. The engine of a rank may restart cold, an agent may restart,
and holder 1 may crash, once each.
"""

import functools

import attrs
import minicheck

from camphorstair_core.experts import fencing, switch
from camphorstair_standins import rank_group
from specs import expert_switch_world as worlds

Step = tuple[str, worlds.World]


@attrs.define(frozen=True, cache_hash=True)
class Variant:
    """The variant of the protocol to check.

    :ivar mutant: The fault built in.
    :ivar checks: Whether engines refuse lower fencing numbers themselves.
    """

    mutant: worlds.Mutant
    checks: bool


@attrs.define(frozen=True, cache_hash=True)
class HoldersState:
    """State of the holders on which the processing of an order depends.

    :ivar holder: State of holder 2; None before it has the lease.
    :ivar counts: Whether holder 1 still counts acknowledgements.
    :ivar fenced: Whether holder 2 has fenced all agents.
    """

    holder: switch.Holder | None
    counts: bool
    fenced: bool


def build(
    mutant: worlds.Mutant,
    *,
    checks: bool,
    faults: worlds.Fault = worlds.ALL_FAULTS,
) -> minicheck.Protocol:
    """Return the model of the switch.

    :param mutant: The fault to build in.
    :param checks: Whether engines refuse lower fencing numbers themselves.
    :param faults: The failures that may happen.
    """
    fields = tuple(field.name for field in attrs.fields(worlds.World))
    variant = Variant(mutant, checks)

    def transitions(state: tuple[object, ...]) -> list[tuple[str, object]]:
        world = worlds.World(*state)  # type: ignore[arg-type]
        if world.mixed or world.obsolete:
            return []
        return [
            (label, worlds.to_state(after))
            for label, after in _successors(world, variant)
        ]

    return minicheck.Protocol(
        name=f'expert_switch {mutant.name}',
        candidate=False,
        fields=fields,
        initial=worlds.to_state(worlds.World(faults=faults)),
        transitions=transitions,
        invariants={
            'one_map_in_a_step': lambda components: not components['mixed'],
            'old_numbers_without_effect': lambda components: (
                not components['obsolete']
            ),
        },
        goal=_all_on_new_map,
    )


def _all_on_new_map(components: dict[str, object]) -> bool:
    """Return whether every rank uses the map of holder 2."""
    return all(node.current == worlds.NEW for node in components['nodes'])  # type: ignore


def _successors(world: worlds.World, variant: Variant) -> list[Step]:
    """Return the labelled states that may follow a state."""
    steps = _holder_steps(world, variant.mutant)
    steps.extend(_step_transitions(world, variant.mutant))
    orders = worlds.orders_issued(world)
    for index, node in enumerate(world.nodes):
        if node in world.nodes[:index]:
            continue
        for order in orders:
            after = _deliver(world, index, order, variant)
            steps.append((f'{order.kind} by {order.number.fencing}', after))
        steps.extend(_node_faults(world, index, variant.mutant))
    return [(label, after) for label, after in steps if after != world]


def _holder_steps(world: worlds.World, mutant: worlds.Mutant) -> list[Step]:
    """Return the states after a step of one of the holders."""
    steps = []
    acknowledged = all(node.acknowledged for node in world.nodes)
    if world.first_holder_alive and (
        acknowledged or mutant is worlds.Mutant.no_acknowledgement_count
    ):
        committed = attrs.evolve(world, committing=True)
        steps.append(('holder 1 commits', _clear_acks(committed)))
    if worlds.Fault.holder_dies in world.faults:
        crashed = attrs.evolve(
            world,
            first_holder_alive=False,
            faults=world.faults & ~worlds.Fault.holder_dies,
        )
        steps.append(('holder 1 dies', _clear_acks(crashed)))
    if world.holder is None:
        holder = switch.Holder(worlds.NEW)
        steps.append(('holder 2', attrs.evolve(world, holder=holder)))
    elif all(node.phase_answered for node in world.nodes):
        next_phase = _enter_next_phase(world, world.holder, mutant)
        steps.append(('holder 2 advances', next_phase))
    return steps


def _clear_acks(world: worlds.World) -> worlds.World:
    """Clear the acknowledgements, which holder 1 doesn't need any more."""
    nodes = tuple(
        attrs.evolve(node, acknowledged=False) for node in world.nodes
    )
    return attrs.evolve(world, nodes=nodes)


def _enter_next_phase(
    world: worlds.World, holder: switch.Holder, mutant: worlds.Mutant
) -> worlds.World:
    """Return the state after holder 2 has entered its next phase."""
    if holder.phase < switch.Phase.finishing:
        holder = _holder_after_reports(world, holder, mutant)
    elif holder.phase is switch.Phase.finishing:
        holder = switch.after_finishing(holder)
    elif holder.phase is switch.Phase.staging:
        holder = attrs.evolve(holder, phase=switch.Phase.committing)
    else:
        return world
    if holder.phase is switch.Phase.staging:
        holder = switch.begin(holder, worlds.NEW)
    nodes = tuple(
        attrs.evolve(
            node, phase_answered=False, reported=worlds.Node().reported
        )
        for node in world.nodes
    )
    return attrs.evolve(world, holder=holder, nodes=nodes)


def _holder_after_reports(
    world: worlds.World,
    holder: switch.Holder,
    mutant: worlds.Mutant,
) -> switch.Holder:
    """Return holder 2 after a phase in which every agent reported."""
    skips_reading = mutant is worlds.Mutant.no_reading_after_fencing
    if holder.phase is switch.Phase.fencing and not skips_reading:
        return switch.after_fencing(holder)
    reports = [_to_report(node.reported) for node in world.nodes]
    if mutant is worlds.Mutant.no_finishing:
        reports = [attrs.evolve(report, told=0) for report in reports]
    if mutant is worlds.Mutant.no_second_reading:
        holder = attrs.evolve(holder, phase=switch.Phase.reading_again)
    return switch.after_reading(holder, reports)


def _to_report(reported: tuple[int, int]) -> switch.RankReport:
    """Return the report of a rank, given ``reported`` of its node."""
    current, told = reported
    return switch.RankReport(None if current < 0 else current, None, told)


def _step_transitions(world: worlds.World, mutant: worlds.Mutant) -> list[Step]:
    """Return the step in which the ranks pass a boundary, as a list.

    The list is empty while a rank is cold.
    """
    ranks = tuple(worlds.rank(node, checks=False) for node in world.nodes)
    if not rank_group.can_step(ranks):
        return []
    next_ranks = ranks
    if mutant is not worlds.Mutant.no_boundary:
        next_ranks = rank_group.pass_boundary(ranks)
    try:
        rank_group.step(next_ranks)
    except rank_group.MixedMapsError:
        return [('step', attrs.evolve(world, mixed=True))]
    nodes = tuple(
        worlds.with_rank(node, rank)
        for node, rank in zip(world.nodes, next_ranks, strict=True)
    )
    return [('step', attrs.evolve(world, nodes=nodes))]


def _deliver(
    world: worlds.World,
    index: int,
    order: worlds.Order,
    variant: Variant,
) -> worlds.World:
    """Return the state after an order arrives at a node."""
    holder = world.holder
    fenced = holder is not None and holder.phase is not switch.Phase.fencing
    counts = world.first_holder_alive and not world.committing
    context = HoldersState(holder, counts, fenced)
    node = world.nodes[index]
    after, obsolete = _process_order(node, order, context, variant)
    if after == node and not obsolete:
        return world
    return attrs.evolve(
        world,
        nodes=worlds.replace_node(world, index, after),
        obsolete=world.obsolete or obsolete,
    )


@functools.cache
def _process_order(
    node: worlds.Node,
    order: worlds.Order,
    context: HoldersState,
    variant: Variant,
) -> tuple[worlds.Node, bool]:
    """Return a node after an order, and whether the order violated the fence.

    The fence is violated if an order of holder 1 changes the rank after
    holder 2 has fenced its agent.
    """
    if variant.mutant is not worlds.Mutant.no_agent_fencing:
        fence = fencing.Fence(
            worlds.BOOT,
            fencing.OrderNumber(*node.fence) if node.fence_known else None,
        )
        decision = fencing.decide(fence, order.number, worlds.BOOT)
        if decision is not fencing.Decision.passed:
            return node, False
        node = attrs.evolve(node, fence=attrs.astuple(order.number))
    before = worlds.rank(node, checks=variant.checks)
    rank = _execute(before, order, variant)
    obsolete = order.number.fencing == worlds.OLD and (
        context.fenced or node.phase_answered
    )
    node = _acknowledge(context, worlds.with_rank(node, rank), order)
    if variant.mutant is worlds.Mutant.no_boundary and order.kind == 'commit':
        node = worlds.with_rank(node, rank_group.pass_boundary((rank,))[0])
    return node, obsolete and rank != before


def _execute(
    rank: rank_group.Rank,
    order: worlds.Order,
    variant: Variant,
) -> rank_group.Rank:
    """Return a rank after its agent passed an order to the engine."""
    number = order.number.fencing
    if order.kind == 'restore':
        return rank_group.restore(rank, order.base, order.version, number)
    if order.kind == 'fence' or order.version is None:
        return rank
    if order.kind == 'stage':
        report = switch.RankReport(rank.current, rank.staged, rank.told)
        checked = variant.mutant is not worlds.Mutant.no_base_check
        if checked and not switch.may_stage(report, order.version, order.base):
            return rank
        return rank_group.stage(rank, order.version, number)
    return rank_group.commit(rank, order.version, number)


def _acknowledge(
    context: HoldersState, node: worlds.Node, order: worlds.Order
) -> worlds.Node:
    """Return a node after the issuer of an order received the answer."""
    has_version = order.version in {node.staged, node.current}
    if order.number.fencing == worlds.OLD:
        return attrs.evolve(
            node,
            acknowledged=node.acknowledged or (context.counts and has_version),
        )
    holder = context.holder
    if holder is None or order.number.sequence != holder.phase.value:
        return node
    if order.kind == 'fence':
        return attrs.evolve(
            node,
            phase_answered=True,
            reported=(node.current, node.told),
        )
    if holder.phase is not switch.Phase.staging:
        has_version = node.current == holder.target
    return attrs.evolve(node, phase_answered=node.phase_answered or has_version)


def _node_faults(
    world: worlds.World, index: int, mutant: worlds.Mutant
) -> list[Step]:
    """Return the states after a restart at a node or the recovery from one."""
    node = world.nodes[index]
    steps = []
    if worlds.Fault.engine_cold in world.faults:
        rank = rank_group.cold(worlds.rank(node, checks=False))
        faults = world.faults & ~worlds.Fault.engine_cold
        after = worlds.with_node(world, index, worlds.with_rank(node, rank))
        steps.append(('engine cold', attrs.evolve(after, faults=faults)))
    if worlds.Fault.agent_restart in world.faults:
        faults = world.faults & ~worlds.Fault.agent_restart
        after = worlds.with_node(world, index, _restart(world, node, mutant))
        steps.append(('agent restarts', attrs.evolve(after, faults=faults)))
    if not node.fence_known:
        number = worlds.OLD if world.holder is None else worlds.NEW
        fence = max(node.fence, (number, 0))
        read = attrs.evolve(node, fence_known=True, fence=fence)
        steps.append(('agent reads', worlds.with_node(world, index, read)))
    return steps


def _restart(
    world: worlds.World, node: worlds.Node, mutant: worlds.Mutant
) -> worlds.Node:
    """Return a node after its agent's restart.

    The agent refuses orders addressed to its previous run. The orders that a
    holder issues afterwards have at least the number of the holder's current
    phase. So the model sets the fence to this number.
    """
    fence = (worlds.OLD, 0)
    if mutant is worlds.Mutant.no_hold_after_restart:
        return attrs.evolve(node, fence=fence)
    if world.holder is not None:
        fence = (worlds.NEW, world.holder.phase.value)
    return attrs.evolve(node, fence_known=False, fence=fence)
