"""Smooths the noisy load of experts and follows sudden changes."""

import attrs

WEIGHT = 0.2


@attrs.define
class SmoothedLoad:
    """Smoothed load of the experts of one layer, as shares of the tokens.

    :ivar shares: Share of the tokens of each expert; empty before the first.
    """

    shares: list[float] = attrs.field(factory=list)


def note_counts(smoothed: SmoothedLoad, counts: list[int]) -> None:
    """Take over the token counts of one interval.

    :param smoothed: The smoothed load.
    :param counts: Tokens that went to each expert.
    """
    total = sum(counts)
    if not total:
        return
    seen = [count / total for count in counts]
    if not smoothed.shares:
        smoothed.shares = seen
        return
    smoothed.shares = [
        old + WEIGHT * (new - old)
        for old, new in zip(smoothed.shares, seen, strict=True)
    ]
