"""Decides which orders switch a rank group to a new expert map.

A rank group is a set of endpoints, its ranks, that run each pass of the model
together.

The decision depends only on the reports of the ranks. So a planner that takes
over continues where the last one stopped, and repeated, lost or late orders do
no harm. A switch goes through these stages:

1. Every rank prepares the version. Its report shows when the copy is complete.
2. One rank holds a future step: the group does not begin that step.
3. When the hold is reported, every rank is armed for that step, at which it
   will switch. All ranks have prepared the version by then, so arming can
   be completed, unless another planner prepares its own map meanwhile. If a
   step began with only some of the ranks armed, these would use another map
   than the others.
4. When every rank reports that it is armed, the hold is released.

A version is armed for one step only. An order to arm may be carried out late, as
long as its step has not begun; if the ranks had been armed for another step
meanwhile, it would take one of them out. So the planner holds the group for a
switch at one step only: an order to hold without an answer is repeated for the
same step until that has begun. A hold at another step, as of an earlier
planner, is released once all ranks are armed.

A hold of a group whose ranks have not all prepared the same version is released.
Mostly none of them is armed then. But some may be, if a late order of an earlier
planner held the group while the next one prepared its map at the others. They
are disarmed first: all ranks can't be armed for that version any more.

Versions increase with the store's era and revision under which a planner took
its lease. So no two planners use the same version, and a rank refuses a late
order to prepare an earlier version.
"""

import enum

import attrs

# How many steps after the current one the held step is. The cautious margin is
# for a group that recently left orders unanswered: it leaves time to repeat
# them.
STEP_MARGIN = 2
CAUTIOUS_STEP_MARGIN = 8
VERSIONS_PER_LEASE = 10_000
REVISIONS_PER_ERA = 1_000_000_000

Holds = frozenset[tuple[int, int]]
Reports = dict[int, 'RankReport']


class OrderKind(enum.StrEnum):
    """The kind of an order to a rank."""

    prepare = 'prepare'
    hold = 'hold'
    arm = 'arm'
    disarm = 'disarm'
    go = 'go'


@attrs.frozen
class Order:
    """An order to one rank.

    :ivar rank: The rank that the order is for.
    :ivar kind: The kind of the order.
    :ivar version: The version of the map; 0 if the kind does not use it.
    :ivar step: The step; 0 if the kind does not use it.
    """

    rank: int
    kind: OrderKind
    version: int = 0
    step: int = 0


@attrs.frozen
class RankReport:
    """A rank's report on its expert maps.

    :ivar epoch: Counts the formations of the group.
    :ivar step: The last step that began.
    :ivar version: Version of the map in use.
    :ivar prepared: Version whose copy is complete; 0 if none.
    :ivar armed_version: Version that the rank will switch to; 0 if none.
    :ivar armed_step: The step at which the rank will switch.
    :ivar held_step: The step that the rank holds; None if it holds none.
    """

    epoch: int
    step: int
    version: int
    prepared: int
    armed_version: int = 0
    armed_step: int = 0
    held_step: int | None = None


def version_number(era: int, revision: int, count: int) -> int:
    """Return the version number of a planner's next map.

    :param era: Era of the store in which the planner took its lease. The store
        gives out revisions again in a later era.
    :param revision: Store revision under which the planner took its lease.
    :param count: Number of maps that the planner has planned.
    """
    return (era * REVISIONS_PER_ERA + revision) * VERSIONS_PER_LEASE + count


def holds(reports: Reports) -> Holds:
    """Return the holds of a group, as pairs of rank and held step."""
    return frozenset(
        (rank, report.held_step)
        for rank, report in reports.items()
        if report.held_step is not None
    )


def orders_before_hold(
    reports: Reports,
    size: int,
    wanted: int,
    hold_rank: int,
    margin: int = STEP_MARGIN,
    unanswered_step: int = 0,
) -> list[Order]:
    """Return the next orders that switch a group without a hold to a new map.

    :param reports: A recent report of each rank; no rank holds the group.
    :param size: Number of ranks.
    :param wanted: Version of the new map.
    :param hold_rank: The rank that is to hold the group.
    :param margin: How many steps after the current one the held step is.
    :param unanswered_step: Step of the last order to hold that had no answer; 0
        if there is none. It may still be carried out until that step begins.
    :returns: Orders to prepare the map or, once all ranks have prepared it, to
        hold. Empty if a report is missing, if any rank is armed, or if any
        rank already uses this version or a later one.
    """
    if not _is_complete(reports, size):
        return []
    if any(report.armed_version for report in reports.values()):
        return []
    if any(report.version >= wanted for report in reports.values()):
        return []
    prepare_orders = [
        Order(rank, OrderKind.prepare, wanted)
        for rank, report in sorted(reports.items())
        if report.prepared != wanted
    ]
    if prepare_orders:
        return prepare_orders
    begun = max(report.step for report in reports.values())
    step = unanswered_step if unanswered_step > begun else begun + margin
    return [Order(hold_rank, OrderKind.hold, step=step)]


def orders_while_held(
    reports: Reports,
    size: int,
    held_before: Holds,
) -> list[Order]:
    """Return the next orders that let a held group continue.

    Any process may send these orders, and several may do so at once.

    :param reports: A recent report of each rank.
    :param size: Number of ranks.
    :param held_before: The holds seen in an earlier round of reports. The
        reports of one round may date from before and after the start of a
        hold. Only two rounds show that the ranks had not prepared the same
        version when the hold began.
    :returns: If all ranks have prepared the same version and not all use it
        yet: orders to arm the ranks or, once all are armed for one step, to
        release the hold. Otherwise orders to disarm ranks that would switch
        without the others; if there are none, orders to release the hold if the
        earlier round already saw every hold. The hold of the lowest step is
        released first. Empty if there is no hold, if a report is missing, or if
        a hold or the end of a copy must be waited for.
    """
    held = holds(reports)
    if not held or not _is_complete(reports, size):
        return []
    version = _prepared_by_all(reports)
    if version is not None:
        return _arm_orders(reports, version, held) or _release_orders(held)
    alone = _armed_alone(reports)
    if alone:
        return _disarm_orders(reports, alone)
    return _release_orders(held) if held <= held_before else []


def _armed_alone(reports: Reports) -> list[int]:
    """Return the ranks that are armed for a version that others don't use.

    To be called if the ranks have not all prepared that version.
    """
    oldest_in_use = min(report.version for report in reports.values())
    return [
        rank
        for rank, report in sorted(reports.items())
        if report.armed_version > oldest_in_use
    ]


def _disarm_orders(reports: Reports, ranks: list[int]) -> list[Order]:
    """Return the orders to disarm ranks, where others can't be armed any more.

    A rank that has prepared a later version can't prepare an earlier one again.
    So an order that is carried out late does no harm. A rank that still copies
    a version does not tell which.
    """
    latest_prepared = max(report.prepared for report in reports.values())
    return [
        Order(rank, OrderKind.disarm, reports[rank].armed_version)
        for rank in ranks
        if reports[rank].armed_version < latest_prepared
    ]


def _arm_orders(reports: Reports, version: int, held: Holds) -> list[Order]:
    """Return the orders to arm ranks; none if all are armed for one step.

    The step is the held one for which some are armed already, if there is one:
    others may have orders for it that are still to be carried out.
    """
    armed_steps = {
        report.armed_step if report.armed_version == version else 0
        for report in reports.values()
    }
    if len(armed_steps) == 1 and armed_steps != {0}:
        return []
    held_steps = {held_step for _rank, held_step in held}
    step = min(held_steps & armed_steps or held_steps)
    return [
        Order(rank, OrderKind.arm, version, step)
        for rank, report in sorted(reports.items())
        if (report.armed_version, report.armed_step) != (version, step)
    ]


def _release_orders(held: Holds) -> list[Order]:
    """Return the orders that release the hold of the lowest step."""
    step = min(held_step for _rank, held_step in held)
    return [
        Order(rank, OrderKind.go, step=step)
        for rank, held_step in sorted(held)
        if held_step == step
    ]


def _prepared_by_all(reports: Reports) -> int | None:
    """Return the version that all ranks have prepared and not all use yet."""
    prepared = {report.prepared for report in reports.values()}
    version = max(prepared)
    in_use = {report.version for report in reports.values()}
    if len(prepared) > 1 or not version or in_use == {version}:
        return None
    return version


def _is_complete(reports: Reports, size: int) -> bool:
    """Return whether all ranks have reported, and for the same formation."""
    epochs = {report.epoch for report in reports.values()}
    return len(reports) >= size and len(epochs) == 1
