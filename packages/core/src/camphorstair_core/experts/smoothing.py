"""Estimates the load of experts from sampled token counts.

Each expert has a Kalman filter: the counts have sampling noise, and the true
load drifts. The counts of a popular expert have little relative noise, so its
estimate follows the latest counts; the counts of a rare expert are averaged
over many intervals. Counts that neither noise nor drift explains restart the
estimate.
"""

import attrs

DRIFT_VARIANCE = 0.0004
RESTART_DEVIATIONS = 4
MIN_COUNT = 1


@attrs.define
class SmoothedLoad:
    """Estimated load of the experts of one layer, as shares of the tokens.

    :ivar shares: For each expert its share of the tokens; empty before the
        first counts.
    :ivar variances: Error variance of each share.
    """

    shares: list[float] = attrs.field(factory=list)
    variances: list[float] = attrs.field(factory=list)


def update_estimate(smoothed: SmoothedLoad, counts: list[int]) -> None:
    """Update the estimate with the token counts of one interval.

    An interval without any tokens changes nothing.

    :param smoothed: The estimate to update.
    :param counts: Number of tokens that were sent to each expert.
    """
    total = sum(counts)
    if not total:
        return
    if not smoothed.shares:
        smoothed.shares = [count / total for count in counts]
        smoothed.variances = [
            _noise_variance(share, total) for share in smoothed.shares
        ]
        return
    for expert, count in enumerate(counts):
        _update_share(smoothed, expert, count / total, total)


def _noise_variance(share: float, total: int) -> float:
    return max(share, MIN_COUNT / total) / total


def _update_share(
    smoothed: SmoothedLoad,
    expert: int,
    seen: float,
    total: int,
) -> None:
    previous = smoothed.shares[expert]
    prior = smoothed.variances[expert] + DRIFT_VARIANCE * previous**2
    noise = _noise_variance(max(previous, seen), total)
    squared_error = (seen - previous) ** 2
    if squared_error > RESTART_DEVIATIONS**2 * (prior + noise):
        smoothed.shares[expert] = seen
        smoothed.variances[expert] = noise
        return
    gain = prior / (prior + noise)
    smoothed.shares[expert] = previous + gain * (seen - previous)
    smoothed.variances[expert] = (1 - gain) * prior
