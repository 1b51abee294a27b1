"""Specification of the switch of an expert map, with two holders.

Holder 1 stages version 1 on all ranks and commits it. At any time its lease
may lapse without its knowledge: holder 2 takes over, finishes or undoes
version 1, and switches to version 2. The holders' and agents' decisions are
those of ``camphorstair_core.experts``, the ranks are the stand-in's.

Orders are never removed once given, so that each may arrive late, again, out
of order or never. A rank's engine may come back cold, its agent may restart,
and holder 1 may die, once each.
"""

import functools

import attrs
import minicheck

from camphorstair_core.experts import fencing, switch
from camphorstair_standins import rank_group
from specs import expert_switch_world as world_table

Step = tuple[str, world_table.World]


@attrs.define(frozen=True, cache_hash=True)
class Rules:
    """What is specified: the fault built in, and the kind of engine."""

    mutant: world_table.Mutant
    checks: bool


@attrs.define(frozen=True, cache_hash=True)
class Context:
    """What a node's answer depends on beside the node and the order.

    :ivar holder: Holder 2.
    :ivar counts: Whether holder 1 still counts acknowledgements.
    :ivar fenced: Whether holder 2 has fenced all agents.
    """

    holder: switch.Holder | None
    counts: bool
    fenced: bool


def build(
    mutant: world_table.Mutant,
    *,
    checks: bool,
    faults: world_table.Fault = world_table.ALL_FAULTS,
) -> minicheck.Protocol:
    """Return the specification.

    :param mutant: The fault to build in.
    :param checks: Whether engines refuse old fencing numbers themselves.
    :param faults: What may fail.
    """
    fields = tuple(field.name for field in attrs.fields(world_table.World))
    rules = Rules(mutant, checks)

    def transitions(state: tuple[object, ...]) -> list[tuple[str, object]]:
        world = world_table.World(*state)  # type: ignore[arg-type]
        if world.mixed or world.obsolete:
            return []
        return [
            (label, world_table.to_state(after))
            for label, after in _successors(world, rules)
        ]

    return minicheck.Protocol(
        name=f'expert_switch {mutant.name}',
        candidate=False,
        fields=fields,
        initial=world_table.to_state(world_table.World(faults=faults)),
        transitions=transitions,
        invariants={
            'one_map_in_a_step': lambda row: not row['mixed'],
            'old_numbers_without_effect': lambda row: not row['obsolete'],
        },
        goal=_settled,
    )


def _settled(row: dict[str, object]) -> bool:
    return all(node.current == world_table.NEW for node in row['nodes'])  # type: ignore


def _successors(world: world_table.World, rules: Rules) -> list[Step]:
    steps = _holder_steps(world, rules.mutant)
    steps.extend(_boundary(world, rules.mutant))
    orders = world_table.orders_given(world)
    for place, node in enumerate(world.nodes):
        if node in world.nodes[:place]:
            continue
        for order in orders:
            after = _deliver(world, place, order, rules)
            steps.append((f'{order.kind} by {order.number.fencing}', after))
        steps.extend(_node_faults(world, place, rules.mutant))
    return [(label, after) for label, after in steps if after != world]


def _holder_steps(
    world: world_table.World, mutant: world_table.Mutant
) -> list[Step]:
    steps = []
    acked = all(node.acked for node in world.nodes)
    if world.alive and (
        acked or mutant is world_table.Mutant.no_acknowledgement_count
    ):
        committed = attrs.evolve(world, committing=True)
        steps.append(('holder 1 commits', _forget_acks(committed)))
    if world_table.Fault.holder_dies in world.faults:
        died = attrs.evolve(
            world,
            alive=False,
            faults=world.faults & ~world_table.Fault.holder_dies,
        )
        steps.append(('holder 1 dies', _forget_acks(died)))
    if world.holder is None:
        holder = switch.Holder(world_table.NEW)
        steps.append(('holder 2', attrs.evolve(world, holder=holder)))
    elif all(node.done for node in world.nodes):
        advanced = _advance(world, world.holder, mutant)
        steps.append(('holder 2 advances', advanced))
    return steps


def _forget_acks(world: world_table.World) -> world_table.World:
    nodes = tuple(attrs.evolve(node, acked=False) for node in world.nodes)
    return attrs.evolve(world, nodes=nodes)


def _advance(
    world: world_table.World, holder: switch.Holder, mutant: world_table.Mutant
) -> world_table.World:
    if holder.phase < switch.Phase.finishing:
        holder = _after_report(world, holder, mutant)
    elif holder.phase is switch.Phase.finishing:
        holder = switch.after_finishing(holder)
    elif holder.phase is switch.Phase.staging:
        holder = attrs.evolve(holder, phase=switch.Phase.committing)
    else:
        return world
    if holder.phase is switch.Phase.staging:
        holder = switch.begin(holder, world_table.NEW)
    nodes = tuple(
        attrs.evolve(node, done=False, reported=world_table.Node().reported)
        for node in world.nodes
    )
    return attrs.evolve(world, holder=holder, nodes=nodes)


def _after_report(
    world: world_table.World,
    holder: switch.Holder,
    mutant: world_table.Mutant,
) -> switch.Holder:
    decides_now = mutant is world_table.Mutant.no_reading_after_fencing
    if holder.phase is switch.Phase.fencing and not decides_now:
        return switch.after_fencing(holder)
    reports = [_report(node.reported) for node in world.nodes]
    if mutant is world_table.Mutant.no_finishing:
        reports = [attrs.evolve(one, told=0) for one in reports]
    if mutant is world_table.Mutant.no_second_reading:
        holder = attrs.evolve(holder, phase=switch.Phase.reading_again)
    return switch.after_reading(holder, reports)


def _report(reported: tuple[int, int]) -> switch.RankReport:
    current, told = reported
    return switch.RankReport(None if current < 0 else current, None, told)


def _boundary(
    world: world_table.World, mutant: world_table.Mutant
) -> list[Step]:
    ranks = tuple(world_table.rank(node, checks=False) for node in world.nodes)
    if not rank_group.can_step(ranks):
        return []
    passed = ranks
    if mutant is not world_table.Mutant.no_boundary:
        passed = rank_group.pass_boundary(ranks)
    try:
        rank_group.step(passed)
    except rank_group.MixedMapsError:
        return [('step', attrs.evolve(world, mixed=True))]
    nodes = tuple(
        world_table.with_rank(node, rank)
        for node, rank in zip(world.nodes, passed, strict=True)
    )
    return [('step', attrs.evolve(world, nodes=nodes))]


def _deliver(
    world: world_table.World,
    place: int,
    order: world_table.Order,
    rules: Rules,
) -> world_table.World:
    holder = world.holder
    fenced = holder is not None and holder.phase is not switch.Phase.fencing
    counts = world.alive and not world.committing
    context = Context(holder, counts, fenced)
    node = world.nodes[place]
    after, obsolete = _received(node, order, context, rules)
    if after == node and not obsolete:
        return world
    return attrs.evolve(
        world,
        nodes=world_table.replaced(world, place, after),
        obsolete=world.obsolete or obsolete,
    )


@functools.cache
def _received(
    node: world_table.Node,
    order: world_table.Order,
    context: Context,
    rules: Rules,
) -> tuple[world_table.Node, bool]:
    """Return a node after an order, and whether it obeyed an obsolete one."""
    if rules.mutant is not world_table.Mutant.no_agent_fencing:
        fence = fencing.Fence(
            world_table.BOOT,
            fencing.OrderNumber(*node.fence) if node.known else None,
        )
        decision = fencing.decide(fence, order.number, world_table.BOOT)
        if decision is not fencing.Decision.passed:
            return node, False
        node = attrs.evolve(node, fence=attrs.astuple(order.number))
    before = world_table.rank(node, checks=rules.checks)
    rank = _obey(before, order, rules)
    obsolete = order.number.fencing == world_table.OLD and (
        context.fenced or node.done
    )
    node = _acknowledge(context, world_table.with_rank(node, rank), order)
    if (
        rules.mutant is world_table.Mutant.no_boundary
        and order.kind == 'commit'
    ):
        node = world_table.with_rank(node, rank_group.pass_boundary((rank,))[0])
    return node, obsolete and rank != before


def _obey(
    rank: rank_group.Rank,
    order: world_table.Order,
    rules: Rules,
) -> rank_group.Rank:
    number = order.number.fencing
    if order.kind == 'restore':
        return rank_group.restore(rank, order.base, order.version, number)
    if order.kind == 'fence' or order.version is None:
        return rank
    if order.kind == 'stage':
        report = switch.RankReport(rank.current, rank.staged, rank.told)
        checked = rules.mutant is not world_table.Mutant.no_base_check
        if checked and not switch.may_stage(report, order.version, order.base):
            return rank
        return rank_group.stage(rank, order.version, number)
    return rank_group.commit(rank, order.version, number)


def _acknowledge(
    context: Context, node: world_table.Node, order: world_table.Order
) -> world_table.Node:
    holds = order.version in {node.staged, node.current}
    if order.number.fencing == world_table.OLD:
        return attrs.evolve(
            node,
            acked=node.acked or (context.counts and holds),
        )
    holder = context.holder
    if holder is None or order.number.sequence != holder.phase.value:
        return node
    if order.kind == 'fence':
        return attrs.evolve(
            node,
            done=True,
            reported=(node.current, node.told),
        )
    if holder.phase is not switch.Phase.staging:
        holds = node.current == holder.target
    return attrs.evolve(node, done=node.done or holds)


def _node_faults(
    world: world_table.World, place: int, mutant: world_table.Mutant
) -> list[Step]:
    node = world.nodes[place]
    steps = []
    if world_table.Fault.engine_cold in world.faults:
        rank = rank_group.cold(world_table.rank(node, checks=False))
        faults = world.faults & ~world_table.Fault.engine_cold
        after = world_table.with_node(
            world, place, world_table.with_rank(node, rank)
        )
        steps.append(('engine cold', attrs.evolve(after, faults=faults)))
    if world_table.Fault.agent_restart in world.faults:
        faults = world.faults & ~world_table.Fault.agent_restart
        after = world_table.with_node(
            world, place, _restart(world, node, mutant)
        )
        steps.append(('agent restarts', attrs.evolve(after, faults=faults)))
    if not node.known:
        number = world_table.OLD if world.holder is None else world_table.NEW
        fence = max(node.fence, (number, 0))
        read = attrs.evolve(node, known=True, fence=fence)
        steps.append(('agent reads', world_table.with_node(world, place, read)))
    return steps


def _restart(
    world: world_table.World, node: world_table.Node, mutant: world_table.Mutant
) -> world_table.Node:
    """Return a node after its agent's restart.

    Orders for its earlier run are refused as such; those that a holder gives
    afterwards have at least the number of the phase that it is in now.
    """
    fence = (world_table.OLD, 0)
    if mutant is world_table.Mutant.no_hold_after_restart:
        return attrs.evolve(node, fence=fence)
    if world.holder is not None:
        fence = (world_table.NEW, world.holder.phase.value)
    return attrs.evolve(node, known=False, fence=fence)
