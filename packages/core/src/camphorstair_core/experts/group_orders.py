"""Which orders take a rank group to a new expert map.

The decision looks only at what the ranks report, so a planner that takes over
goes on where the last one stopped, and a repeated, lost or late order does no
harm:

1. Every rank prepares the version; its report shows when the copy is whole.
2. One rank holds a step ahead: the group does not begin that step.
3. When the hold is reported, every rank is armed for that step. All ranks have
   the version prepared by then, so arming can always be completed; it is never
   undone. An armed rank that alone is left at a step that begins would work on
   another map than the others.
4. When every rank reports that it is armed, the held rank is let go.

A held group whose ranks have not all prepared the same version was never
armed, and is let go at once. Versions rise with the revision under which a
planner took its lease, so no two planners use the same one, and a rank refuses
a late order to prepare an earlier one.
"""

import enum

import attrs

# Passes between the one in progress and the one that is held; a group whose
# orders were left unanswered lately needs time to repeat them.
STEP_MARGIN = 2
CAUTIOUS_STEP_MARGIN = 8
VERSIONS_PER_LEASE = 10_000

Holds = frozenset[tuple[int, int]]
Reports = dict[int, 'RankReport']


class OrderKind(enum.StrEnum):
    """What a rank is told."""

    prepare = 'prepare'
    hold = 'hold'
    arm = 'arm'
    go = 'go'


@attrs.frozen
class Order:
    """An order to one rank.

    :ivar version: The version of the map; 0 where it does not matter.
    :ivar step: The step; 0 where it does not matter.
    """

    rank: int
    kind: OrderKind
    version: int = 0
    step: int = 0


@attrs.frozen
class RankReport:
    """What a rank reports of its maps.

    :ivar epoch: Number of the group's formation.
    :ivar step: The last step that began.
    :ivar version: Version of the map in use.
    :ivar prepared: Version whose copy is whole; 0 if none.
    :ivar armed_version: Version that it will switch to; 0 if none.
    :ivar armed_step: The step at which it will.
    :ivar held_step: The step that waits for it; None if none does.
    """

    epoch: int
    step: int
    version: int
    prepared: int
    armed_version: int = 0
    armed_step: int = 0
    held_step: int | None = None


def version_number(revision: int, count: int) -> int:
    """Return the version of a planner's map.

    :param revision: Revision of the store under which it took its lease.
    :param count: How many maps it has planned.
    """
    return revision * VERSIONS_PER_LEASE + count


def holds(reports: Reports) -> Holds:
    """Return the ranks that hold the group, with the steps they hold."""
    return frozenset(
        (rank, one.held_step)
        for rank, one in reports.items()
        if one.held_step is not None
    )


def orders_before_hold(
    reports: Reports,
    size: int,
    wanted: int,
    hold_rank: int,
    margin: int = STEP_MARGIN,
) -> list[Order]:
    """Return the orders that take a group without a hold to a new map.

    :param reports: A fresh report of each rank; none holds the group.
    :param size: Number of ranks.
    :param wanted: Version of the new map.
    :param hold_rank: The rank that is to hold the group.
    :param margin: Passes between the one in progress and the held one.
    """
    if not _complete(reports, size):
        return []
    if any(one.armed_version for one in reports.values()):
        return []
    if any(one.version >= wanted for one in reports.values()):
        return []
    lacking = [
        Order(rank, OrderKind.prepare, wanted)
        for rank, one in sorted(reports.items())
        if one.prepared != wanted
    ]
    if lacking:
        return lacking
    step = max(one.step for one in reports.values()) + margin
    return [Order(hold_rank, OrderKind.hold, step=step)]


def orders_while_held(
    reports: Reports,
    size: int,
    held_before: Holds,
) -> list[Order]:
    """Return the orders that let a held group go on.

    Any process may give them, also several at once.

    :param reports: A fresh report of each rank.
    :param size: Number of ranks.
    :param held_before: The holds that an earlier round saw. Reports of one
        round may be from before and after a hold, and only two rounds show
        that the ranks had not prepared the same version when it began.
    """
    held = holds(reports)
    if not held or not _complete(reports, size):
        return []
    step = min(held_step for _rank, held_step in held)
    release = _releases(held, step)
    version = _prepared_by_all(reports)
    if version is None:
        return release if held <= held_before else []
    arms = [
        Order(rank, OrderKind.arm, version, step)
        for rank, one in sorted(reports.items())
        if (one.armed_version, one.armed_step) != (version, step)
    ]
    return arms or release


def _releases(held: Holds, step: int) -> list[Order]:
    return [
        Order(rank, OrderKind.go, step=step)
        for rank, held_step in sorted(held)
        if held_step == step
    ]


def _prepared_by_all(reports: Reports) -> int | None:
    """Return the version that all have prepared and do not use yet."""
    prepared = {one.prepared for one in reports.values()}
    version = max(prepared)
    in_use = {one.version for one in reports.values()}
    if len(prepared) > 1 or not version or in_use == {version}:
        return None
    return version


def _complete(reports: Reports, size: int) -> bool:
    """Tell whether all ranks of one formation have reported."""
    epochs = {one.epoch for one in reports.values()}
    return len(reports) >= size and len(epochs) == 1
