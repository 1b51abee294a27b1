"""A day of simulated expert popularity with drift and sudden jumps."""

import attrs
import numpy as np

INTERVAL_S = 10
DAY_S = 86_400
INTERVALS = DAY_S // INTERVAL_S
STEP_S = 0.02
DRIFT_TIME_S = 7200
DRIFT_DEVIATION = 0.4
JUMPS = 8
JUMP_SHARE = 0.1
COUNTED_ASSIGNMENTS = 65_536
"""Token assignments that the planner sees in each interval.

This is one step of 8,192 tokens, each assigned to 8 experts.
"""


@attrs.define(frozen=True)
class Case:
    """Size of a group of ranks and the popularity of its experts.

    :ivar ranks: Number of ranks in the group.
    :ivar experts: Number of experts in the layer.
    :ivar exponent: Exponent of the Zipf distribution of popularity.
    """

    ranks: int
    experts: int
    exponent: float

    def name(self) -> str:
        """Return the suffix of the names of this case's figures."""
        exponent = str(self.exponent).replace('.', '_')
        return f'zipf_{exponent}_{self.ranks}x{self.experts}'


CASES = tuple(
    Case(ranks, experts, exponent)
    for ranks, experts in ((16, 64), (32, 256))
    for exponent in (0.6, 1.0, 1.2)
)


def popularity(case: Case, seed: int) -> np.ndarray:
    """Return the true popularity of each expert in each interval.

    The logarithm of each expert's weight follows a mean-reverting random walk
    around a Zipf distribution. At each jump, a random tenth of the experts and
    the four most popular ones exchange their weights at random.

    :param case: Sizes and exponent.
    :param seed: Seed of the random generator.
    :returns: Array of shape (intervals, experts); each row sums to 1.
    """
    generator = np.random.default_rng(seed)
    zipf_ranks = np.arange(1, case.experts + 1)
    base = -case.exponent * np.log(zipf_ranks)
    generator.shuffle(base)
    drift = generator.normal(0, DRIFT_DEVIATION, case.experts)
    intervals = np.arange(1, INTERVALS)
    jumps = set(generator.choice(intervals, JUMPS, replace=False))
    keep = np.exp(-INTERVAL_S / DRIFT_TIME_S)
    drift_deviation = DRIFT_DEVIATION * np.sqrt(1 - keep**2)
    rows = []
    for interval in range(INTERVALS):
        if interval in jumps:
            _permute_weights(base, generator)
        drift = keep * drift + generator.normal(
            0, drift_deviation, case.experts
        )
        weights = np.exp(base + drift)
        rows.append(weights / weights.sum())
    return np.array(rows)


def _permute_weights(base: np.ndarray, generator: np.random.Generator) -> None:
    """Permute the weights of some experts in place."""
    count = max(2, int(len(base) * JUMP_SHARE))
    most_popular = np.argsort(base)[-4:]
    random_experts = generator.choice(len(base), count, replace=False)
    permuted = np.union1d(most_popular, random_experts)
    base[permuted] = base[generator.permutation(permuted)]


def counts(rows: np.ndarray, seed: int) -> np.ndarray:
    """Return token counts sampled from the popularity.

    :param rows: Popularity of each expert, one row per interval.
    :param seed: Seed of the popularity; the sample uses ``seed + 1``.
    :returns: Array of the shape of ``rows``.
    """
    generator = np.random.default_rng(seed + 1)
    return generator.multinomial(COUNTED_ASSIGNMENTS, rows)
