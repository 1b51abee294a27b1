"""Estimates the load of experts from sampled token counts.

A Kalman filter for each expert: what is counted has sampling noise, what is
true drifts. A popular expert is counted well, so its estimate follows the last
counts; a rare one is averaged over many intervals. Counts that neither noise
nor drift explains start the estimate anew.
"""

import attrs

DRIFT_VARIANCE = 0.0004
RESTART_DEVIATIONS = 4
LEAST_COUNT = 1


@attrs.define
class SmoothedLoad:
    """Estimated load of the experts of one layer, as shares of the tokens.

    :ivar shares: Share of the tokens of each expert; empty before the first.
    :ivar variances: Variance of the error of each share.
    """

    shares: list[float] = attrs.field(factory=list)
    variances: list[float] = attrs.field(factory=list)


def note_counts(smoothed: SmoothedLoad, counts: list[int]) -> None:
    """Take over the token counts of one interval.

    :param smoothed: The estimate.
    :param counts: Tokens that went to each expert.
    """
    total = sum(counts)
    if not total:
        return
    if not smoothed.shares:
        smoothed.shares = [count / total for count in counts]
        smoothed.variances = [_noise(share, total) for share in smoothed.shares]
        return
    for expert, count in enumerate(counts):
        _note_count(smoothed, expert, count / total, total)


def _noise(share: float, total: int) -> float:
    return max(share, LEAST_COUNT / total) / total


def _note_count(
    smoothed: SmoothedLoad,
    expert: int,
    seen: float,
    total: int,
) -> None:
    old = smoothed.shares[expert]
    prior = smoothed.variances[expert] + DRIFT_VARIANCE * old**2
    noise = _noise(max(old, seen), total)
    surprise = (seen - old) ** 2
    if surprise > RESTART_DEVIATIONS**2 * (prior + noise):
        smoothed.shares[expert] = seen
        smoothed.variances[expert] = noise
        return
    gain = prior / (prior + noise)
    smoothed.shares[expert] = old + gain * (seen - old)
    smoothed.variances[expert] = (1 - gain) * prior
