"""Draws which faults strike what, and when."""

import enum
import random

import attrs

MEAN_GAP_S = 1.2
SHORTEST_S = 0.2
LONGEST_S = 3.0
# Every third seed draws planned work only: what may not be disturbed by it shows
# best where nothing else is wrong.
PLANNED_EACH = 3
# After the last fault everything has to work again.
QUIET_END_S = 8.0


class Kind(enum.StrEnum):
    """What happens."""

    pause = 'pause'
    kill = 'kill'
    terminate = 'terminate'
    reload = 'reload'
    store_refuses = 'store_refuses'
    store_silent = 'store_silent'
    store_loses_answers = 'store_loses_answers'
    endpoint_silent = 'endpoint_silent'
    endpoint_one_way = 'endpoint_one_way'
    endpoint_resets = 'endpoint_resets'
    endpoint_delayed = 'endpoint_delayed'
    endpoint_drains = 'endpoint_drains'
    configure = 'configure'
    revoke = 'revoke'


PLANNED = frozenset(
    (
        Kind.terminate,
        Kind.reload,
        Kind.endpoint_drains,
        Kind.configure,
        Kind.revoke,
    ),
)


@attrs.frozen
class Fault:
    """One thing that happens.

    :ivar at_s: When, from the start of the run.
    :ivar end_s: When it is over; the same for what takes no time.
    :ivar target: Number of the entry or endpoint that it strikes.
    """

    kind: Kind
    at_s: float
    end_s: float
    target: int


def draw(seed: int, duration_s: float, targets: int) -> list[Fault]:
    """Return the faults of a run; they come in series and overlap.

    :param seed: Gives the same faults each time.
    :param duration_s: Length of the run.
    :param targets: Number of entries, and of endpoints.
    """
    generator = random.Random(seed)
    kinds = sorted(PLANNED) if seed % PLANNED_EACH == 0 else list(Kind)
    found = []
    at_s = 1 + generator.expovariate(1 / MEAN_GAP_S)
    while at_s < duration_s - QUIET_END_S:
        found.append(
            Fault(
                generator.choice(kinds),
                at_s,
                at_s + generator.uniform(SHORTEST_S, LONGEST_S),
                generator.randrange(targets),
            ),
        )
        at_s += generator.expovariate(1 / MEAN_GAP_S)
    return found
