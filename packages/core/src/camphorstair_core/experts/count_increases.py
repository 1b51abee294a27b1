"""Increases of the expert counts that a rank reports.

A rank counts how often its requests chose each expert since its start. The
planner needs the recent choices of the whole group, so each agent passes on the
increase since it last did, and the increases of several ranks are added up.
"""

import itertools

Counts = tuple[tuple[int, ...], ...]


def increase(before: Counts, current: Counts) -> Counts:
    """Return the increase of each count.

    :param before: The earlier counts of a rank; empty if there are none.
    :param current: Its counts now.
    :returns: Empty if the rank has started anew in between, or if there are no
        earlier counts.
    """
    if not before or _sum(current) < _sum(before):
        return ()
    return tuple(
        tuple(
            max(0, count - earlier)
            for count, earlier in zip(current_set, earlier_set, strict=False)
        )
        for current_set, earlier_set in zip(current, before, strict=False)
    )


def total(summands: list[Counts]) -> Counts:
    """Return the sum of the counts of several ranks.

    Ranks without counts, or whose counts have another shape, are left out.
    """
    present = [counts for counts in summands if counts]
    if not present:
        return ()
    same = [
        counts for counts in present if _shape(counts) == _shape(present[0])
    ]
    return tuple(
        tuple(map(sum, zip(*set_counts, strict=True)))
        for set_counts in zip(*same, strict=True)
    )


def _sum(counts: Counts) -> int:
    return sum(itertools.chain.from_iterable(counts))


def _shape(counts: Counts) -> list[int]:
    return [len(set_counts) for set_counts in counts]
