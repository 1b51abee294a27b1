"""The holder's side of a switch of maps: what may be ordered next.

A holder has the lease of a group with a fencing number, and plans one version
after another. A switch goes through phases:

1. ``fencing``: every agent is told the number, and refuses earlier holders
   from then on.
2. ``reading``: when all do, every agent reports what its rank works on and was
   told. Only steps and cold starts may come between the reports.
3. ``reading_again``: only if a rank was cold. It may have passed on what it
   was told, after others had reported, and have forgotten it since. While it
   is cold the group makes no step, so this round of reports agrees.
4. ``finishing``: if any rank was told a version that some rank does not work
   on yet, an earlier holder had begun to commit. That version was staged with
   all ranks, so it is committed again until all work on it.
5. ``staging``: the next version is staged with every rank. A staged version
   of an earlier holder that no rank was told is overwritten, which undoes it.
6. ``committing``: when every rank has acknowledged, it is committed.

A rank that came back cold is given the base map together with the staged one
in one order, so that it goes with the others whether or not they have passed
the boundary.
"""

import enum
from collections import abc

import attrs


class Phase(enum.IntEnum):
    """Where a holder is."""

    fencing = 0
    reading = 1
    reading_again = 2
    finishing = 3
    staging = 4
    committing = 5


@attrs.define(frozen=True)
class RankReport:
    """What an agent reports of its rank.

    :ivar current: Version that the rank works on; None when cold.
    :ivar staged: Version that it has staged, or None.
    :ivar told: Highest version that it was told to commit.
    """

    current: int | None
    staged: int | None
    told: int


@attrs.define(frozen=True)
class Holder:
    """State of a holder.

    :ivar fencing: Its fencing number.
    :ivar base: Version that all ranks work on, once that is known.
    :ivar target: Version that is being finished, staged or committed.
    """

    fencing: int
    phase: Phase = Phase.fencing
    base: int = 0
    target: int | None = None


def after_fencing(holder: Holder) -> Holder:
    """Return the holder when every agent refuses earlier ones."""
    return attrs.evolve(holder, phase=Phase.reading)


def after_reading(
    holder: Holder,
    reports: abc.Sequence[RankReport],
) -> Holder:
    """Return the holder when every agent has reported.

    :param holder: A holder that reads.
    :param reports: One report of each rank, all of this phase.
    """
    cold = any(report.current is None for report in reports)
    if cold and holder.phase is Phase.reading:
        return attrs.evolve(holder, phase=Phase.reading_again)
    told = max(report.told for report in reports)
    working = [one.current for one in reports if one.current is not None]
    base = min(working, default=0)
    if told > base:
        return attrs.evolve(
            holder,
            phase=Phase.finishing,
            base=base,
            target=told,
        )
    return attrs.evolve(holder, phase=Phase.staging, base=max(base, told))


def after_finishing(holder: Holder) -> Holder:
    """Return the holder when every rank works on the finished version."""
    base = holder.base if holder.target is None else holder.target
    return attrs.evolve(
        holder,
        phase=Phase.staging,
        base=base,
        target=None,
    )


def begin(holder: Holder, version: int) -> Holder:
    """Return the holder when it begins to stage a version."""
    return attrs.evolve(holder, target=version)


def after_staging(
    holder: Holder,
    reports: abc.Sequence[RankReport],
) -> Holder:
    """Return the holder after reports on staging; it commits when all have.

    :param holder: A holder that stages.
    :param reports: The latest report of each rank that has acknowledged.
    """
    ready = all(holder.target in {one.staged, one.current} for one in reports)
    if holder.target is None or not ready:
        return holder
    return attrs.evolve(holder, phase=Phase.committing)


def switched(
    holder: Holder,
    reports: abc.Sequence[RankReport],
) -> bool:
    """Tell whether every rank works on the version that is committed."""
    return all(one.current == holder.target for one in reports)


def may_stage(report: RankReport, version: int, base: int) -> bool:
    """Tell whether an agent may have its rank stage a version.

    A rank that does not work on the base yet has another version staged that
    it may have to switch to; staging would overwrite that one.

    :param report: The rank now.
    :param version: The version to stage.
    :param base: The version that the holder builds on.
    """
    return report.current in {base, version}


def restored(holder: Holder) -> tuple[int, int | None] | None:
    """Return what a cold rank is given: base and staged version.

    None while the holder does not know the versions of the group.
    """
    if holder.phase < Phase.finishing:
        return None
    return holder.base, holder.target
