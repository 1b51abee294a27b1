"""The state machine by which a lease holder switches a group's expert map.

A holder has the lease of a group with a fencing number, and plans one version
after another. A switch goes through these phases:

1. ``fencing``: the holder sends the fencing number to every agent, which from
   then on refuses orders of earlier holders.
2. ``reading``: when all agents do so, each one reports the version that its
   rank uses and the highest version that the rank was told to commit. Between
   these reports only steps and cold starts can happen.
3. ``reading_again``: only if a rank was cold, that is, used no version. After
   other agents had reported, that rank may have passed on a commit that it was
   told of, and lost its record of the commit in its restart. While it is cold
   the group makes no step, so the reports of this second round are consistent.
4. ``finishing``: if any rank was told to commit a version that some rank does
   not use yet, an earlier holder had begun to commit it. That version was
   staged at all ranks, so it is committed again until all ranks use it.
5. ``staging``: the next version is staged at every rank. This overwrites, and
   so cancels, a version that an earlier holder staged but told no rank to
   commit.
6. ``committing``: when every rank has acknowledged the staging, the version is
   committed.

A rank that restarted cold receives the base map and the staged map in a single
order, so that it can follow the other ranks whether or not they have already
reached the step at which they switch.
"""

import enum
from collections import abc

import attrs


class Phase(enum.IntEnum):
    """The phase of a switch."""

    fencing = 0
    reading = 1
    reading_again = 2
    finishing = 3
    staging = 4
    committing = 5


@attrs.define(frozen=True)
class RankReport:
    """An agent's report on its rank.

    :ivar current: Version that the rank uses; None if the rank is cold.
    :ivar staged: Version that the rank has staged, or None.
    :ivar told: Highest version that the rank was told to commit.
    """

    current: int | None
    staged: int | None
    told: int


@attrs.define(frozen=True)
class Holder:
    """The state of a lease holder.

    :ivar fencing: The fencing number of its lease.
    :ivar phase: The phase of the switch.
    :ivar base: Version that all ranks use; during ``finishing`` the lowest
        version that a rank uses. It is known from ``finishing`` on.
    :ivar target: Version that is being finished, staged or committed, or None.
    """

    fencing: int
    phase: Phase = Phase.fencing
    base: int = 0
    target: int | None = None


def after_fencing(holder: Holder) -> Holder:
    """Return the holder's state once every agent refuses earlier holders."""
    return attrs.evolve(holder, phase=Phase.reading)


def after_reading(
    holder: Holder,
    reports: abc.Sequence[RankReport],
) -> Holder:
    """Return the holder's state once every agent has reported.

    :param holder: A holder in a reading phase.
    :param reports: One report of each rank, all from this phase.
    """
    cold = any(report.current is None for report in reports)
    if cold and holder.phase is Phase.reading:
        return attrs.evolve(holder, phase=Phase.reading_again)
    told = max(report.told for report in reports)
    versions = [
        report.current for report in reports if report.current is not None
    ]
    base = min(versions, default=0)
    if told > base:
        return attrs.evolve(
            holder,
            phase=Phase.finishing,
            base=base,
            target=told,
        )
    return attrs.evolve(holder, phase=Phase.staging, base=max(base, told))


def after_finishing(holder: Holder) -> Holder:
    """Return the holder's state once every rank uses the finished version."""
    base = holder.base if holder.target is None else holder.target
    return attrs.evolve(
        holder,
        phase=Phase.staging,
        base=base,
        target=None,
    )


def begin(holder: Holder, version: int) -> Holder:
    """Return the holder's state when it begins to stage a version."""
    return attrs.evolve(holder, target=version)


def after_staging(
    holder: Holder,
    reports: abc.Sequence[RankReport],
) -> Holder:
    """Return the holder's state after reports on staging.

    The holder commits once all reported ranks have staged the target version
    or use it already.

    :param holder: A holder that stages.
    :param reports: The latest report of each rank that has acknowledged.
    """
    ready = all(
        holder.target in {report.staged, report.current} for report in reports
    )
    if holder.target is None or not ready:
        return holder
    return attrs.evolve(holder, phase=Phase.committing)


def all_switched(
    holder: Holder,
    reports: abc.Sequence[RankReport],
) -> bool:
    """Return whether every rank uses the target version."""
    return all(report.current == holder.target for report in reports)


def may_stage(report: RankReport, version: int, base: int) -> bool:
    """Return whether an agent may have its rank stage a version.

    A rank that does not use the base yet has another version staged, to which
    it may still have to switch. Staging would overwrite that version.

    :param report: The current report of the rank.
    :param version: The version to stage.
    :param base: The base version of the holder.
    """
    return report.current in {base, version}


def versions_for_cold_rank(holder: Holder) -> tuple[int, int | None] | None:
    """Return the base and the staged version to send to a cold rank.

    :returns: None while the holder does not know the versions of the group.
    """
    if holder.phase < Phase.finishing:
        return None
    return holder.base, holder.target
