"""A seeded day of expert popularity that drifts and jumps."""

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
"""Token counts that the planner sees: one step of 8,192 tokens, 8 experts."""


@attrs.define(frozen=True)
class Case:
    """Size of a group and the popularity of its experts.

    :ivar ranks: Ranks of the group.
    :ivar experts: Experts of the layer.
    :ivar exponent: Exponent of the Zipf distribution.
    """

    ranks: int
    experts: int
    exponent: float

    def name(self) -> str:
        """Return the suffix of the case's figures."""
        exponent = str(self.exponent).replace('.', '_')
        return f'zipf_{exponent}_{self.ranks}x{self.experts}'


CASES = tuple(
    Case(ranks, experts, exponent)
    for ranks, experts in ((16, 64), (32, 256))
    for exponent in (0.6, 1.0, 1.2)
)


def popularity(case: Case, seed: int) -> np.ndarray:
    """Return the true popularity, one row an interval.

    The logarithm of each expert's weight drifts as a mean-reverting walk about
    a Zipf distribution. At each jump a tenth of the experts, and the four most
    popular, exchange their weights at random.

    :param case: Sizes and exponent.
    :param seed: Seed of the random generator.
    """
    generator = np.random.default_rng(seed)
    places = np.arange(1, case.experts + 1)
    base = -case.exponent * np.log(places)
    generator.shuffle(base)
    drift = generator.normal(0, DRIFT_DEVIATION, case.experts)
    times = np.arange(1, INTERVALS)
    jumps = set(generator.choice(times, JUMPS, replace=False))
    keep = np.exp(-INTERVAL_S / DRIFT_TIME_S)
    spread = DRIFT_DEVIATION * np.sqrt(1 - keep**2)
    rows = []
    for number in range(INTERVALS):
        if number in jumps:
            _jump(base, generator)
        drift = keep * drift + generator.normal(0, spread, case.experts)
        weights = np.exp(base + drift)
        rows.append(weights / weights.sum())
    return np.array(rows)


def _jump(base: np.ndarray, generator: np.random.Generator) -> None:
    count = max(2, int(len(base) * JUMP_SHARE))
    hottest = np.argsort(base)[-4:]
    others = generator.choice(len(base), count, replace=False)
    chosen = np.union1d(hottest, others)
    base[chosen] = base[generator.permutation(chosen)]


def counts(rows: np.ndarray, seed: int) -> np.ndarray:
    """Return the sampled token counts of each interval."""
    generator = np.random.default_rng(seed + 1)
    return generator.multinomial(COUNTED_ASSIGNMENTS, rows)
