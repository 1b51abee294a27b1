"""A rank group as the platform documents it, for specifications.

An issued order is pending: it may be executed at any time, once, repeatedly or
never. The next step may begin at any time unless a rank holds it.
"""

import typing

import attrs

from camphorstair_core.experts import group_orders

RANKS = 2
# The last step bounds the state space.
LAST_STEP = 4

_KIND = group_orders.OrderKind


@attrs.define(frozen=True, cache_hash=True)
class Rank:
    """One rank.

    :ivar version: Version of the map in use.
    :ivar prepared: Version of the prepared map; 0 for none.
    :ivar highest_prepared: Highest version that the rank has prepared so far.
    :ivar armed: Version that the rank will switch to and the step at which it
        will; zeros for none.
    :ivar held: Step that must not begin until the rank releases it, or None.
    """

    version: int = 0
    prepared: int = 0
    highest_prepared: int = 0
    armed: tuple[int, int] = (0, 0)
    held: int | None = None


@attrs.define(frozen=True, cache_hash=True, kw_only=True)
class Group:
    """State of the group and of the orders to it.

    :ivar ranks: The ranks of the group.
    :ivar step: Number of the last step that began.
    :ivar pending: Pending orders, which may still be executed.
    :ivar mixed: Whether a step began with two maps.
    """

    ranks: tuple[Rank, ...]
    step: int = 0
    pending: frozenset[group_orders.Order] = frozenset()
    mixed: bool = False


AnyGroup = typing.TypeVar('AnyGroup', bound=Group)


def report(group: Group, number: int) -> group_orders.RankReport:
    """Return the report of a rank."""
    rank = group.ranks[number]
    return group_orders.RankReport(
        1, group.step, rank.version, rank.prepared, *rank.armed, rank.held
    )


def moves(group: AnyGroup) -> list[tuple[str, AnyGroup]]:
    """Return what the group and its pending orders may do next."""
    after = [('pass', _begin_step(group))]
    for order in group.pending:
        executed = _execute(group, order)
        after.append(('executed, still pending', executed))
        remaining = group.pending - {order}
        after.append(
            (
                'executed for the last time',
                attrs.evolve(executed, pending=remaining),
            )
        )
    return after


def _begin_step(group: AnyGroup) -> AnyGroup:
    """Begin the next step unless a rank holds it."""
    next_step = group.step + 1
    is_held = any(rank.held == next_step for rank in group.ranks)
    if is_held or next_step > LAST_STEP:
        return group
    ranks = tuple(_switch_if_armed(rank, next_step) for rank in group.ranks)
    versions = {rank.version for rank in ranks}
    return attrs.evolve(
        group, ranks=ranks, step=next_step, mixed=len(versions) > 1
    )


def _switch_if_armed(rank: Rank, step: int) -> Rank:
    """Switch a rank to its armed version if it is armed for this step."""
    if rank.armed[1] != step:
        return rank
    return attrs.evolve(rank, version=rank.armed[0], prepared=0, armed=(0, 0))


def _execute(group: AnyGroup, order: group_orders.Order) -> AnyGroup:
    ranks = list(group.ranks)
    ranks[order.rank] = _execute_at_rank(
        group.ranks[order.rank], order, group.step
    )
    return attrs.evolve(group, ranks=tuple(ranks))


def _execute_at_rank(rank: Rank, order: group_orders.Order, step: int) -> Rank:
    """Return a rank after it received an order.

    The rank refuses an order that doesn't apply to its state.

    :param rank: The rank before.
    :param order: The order.
    :param step: Number of the last step that began.
    """
    version = order.version
    is_future_step = order.step > step
    if order.kind is _KIND.prepare and version > rank.highest_prepared:
        return attrs.evolve(rank, prepared=version, highest_prepared=version)
    if order.kind is _KIND.hold and is_future_step and rank.held is None:
        return attrs.evolve(rank, held=order.step)
    if order.kind is _KIND.arm and is_future_step and version == rank.prepared:
        return attrs.evolve(rank, armed=(version, order.step))
    if order.kind is _KIND.disarm and rank.armed[0] == version:
        return attrs.evolve(rank, armed=(0, 0))
    if order.kind is _KIND.go and rank.held == order.step:
        return attrs.evolve(rank, held=None)
    return rank
