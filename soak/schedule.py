"""Draws a random schedule of faults from a seed."""

import enum
import operator
import random

import attrs

MEAN_GAP_S = 1.2
SHORTEST_S = 0.2
LONGEST_S = 3.0
# Every third seed draws planned work only, the kinds in ``PLANNED``. Requests
# that planned work must not disturb can be checked best while no other fault
# is in effect.
PLANNED_SEED_INTERVAL = 3
# Mean gap between the moments at which endpoints begin to report something.
MEAN_REPORT_GAP_S = 4.0
# Time without new faults at the end of a run; everything must work again in it.
QUIET_END_S = 8.0


class Kind(enum.StrEnum):
    """Kind of a fault.

    Faults are drawn from all members but ``REPORTS`` in this order, or from the
    planned ones sorted by value. A change of the order or of a value therefore
    changes what a seed draws.
    """

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
    endpoint_leaves = 'endpoint_leaves'
    endpoint_refuses = 'endpoint_refuses'


# What endpoints say in their answers. It is drawn apart from the other kinds
# and added in every run, since it must disturb no request.
REPORTS = frozenset((Kind.endpoint_leaves, Kind.endpoint_refuses))

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
    """A scheduled fault.

    :ivar kind: What to inject.
    :ivar at_s: Start, from the start of the run.
    :ivar end_s: End, from the start of the run. A kill takes no time; its
        ``end_s`` only limits the period in which it may have an effect.
        Planned work ignores it.
    :ivar target: Number of the affected entry or endpoint.
    """

    kind: Kind
    at_s: float
    end_s: float
    target: int


def draw(seed: int, duration_s: float, targets: int) -> list[Fault]:
    """Return the faults of a run in the order of their start.

    Gaps between starts are random, and faults may overlap.

    :param seed: Determines the faults.
    :param duration_s: Duration of the run.
    :param targets: Number of entries, and of endpoints.
    """
    end_s = duration_s - QUIET_END_S
    faults = _draw(
        random.Random(seed), _kinds(seed), MEAN_GAP_S, end_s, targets
    )
    reports = _draw(
        random.Random(f'{seed} reports'),
        sorted(REPORTS),
        MEAN_REPORT_GAP_S,
        end_s,
        targets,
    )
    return sorted([*faults, *reports], key=operator.attrgetter('at_s'))


def _kinds(seed: int) -> list[Kind]:
    if seed % PLANNED_SEED_INTERVAL == 0:
        return sorted(PLANNED)
    return [kind for kind in Kind if kind not in REPORTS]


def _draw(
    generator: random.Random,
    kinds: list[Kind],
    mean_gap_s: float,
    end_s: float,
    targets: int,
) -> list[Fault]:
    faults = []
    at_s = 1 + generator.expovariate(1 / mean_gap_s)
    while at_s < end_s:
        faults.append(
            Fault(
                generator.choice(kinds),
                at_s,
                at_s + generator.uniform(SHORTEST_S, LONGEST_S),
                generator.randrange(targets),
            ),
        )
        at_s += generator.expovariate(1 / mean_gap_s)
    return faults
