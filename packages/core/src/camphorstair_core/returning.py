"""A data centre that returns gets a share of new work that rises slowly.

Entries reduce the share; the agents there begin cold if they were out for long.
"""

import random

import attrs

RAMP_S = 20.0
FIRST_SHARE = 0.1
WARM_S = 30.0


@attrs.define
class Returns:
    """Which data centres are out, and which are on their way back.

    Taking one out has effect at once, bringing it back takes the whole ramp,
    and being taken out again starts the ramp anew: so an operator who
    changes his mind moves little work to and fro.

    :ivar out: Data centres that the rules take out.
    :ivar ramp_deadlines_s: When a data centre that came back gets its whole
        share again.
    """

    out: frozenset[str] = frozenset()
    ramp_deadlines_s: dict[str, float] = attrs.field(factory=dict)


def note_outages(
    returns: Returns,
    out: frozenset[str],
    now_s: float,
) -> None:
    """Take over which data centres are out, and start the ramps.

    :param returns: The state.
    :param out: Data centres that the rules in force take out.
    :param now_s: The time.
    """
    for data_centre in returns.out - out:
        returns.ramp_deadlines_s[data_centre] = now_s + RAMP_S
    for again in out:
        returns.ramp_deadlines_s.pop(again, None)
    returns.out = out


def share(ramp_deadline_s: float, now_s: float) -> float:
    """Return the share of its usual work that a place may get.

    :param ramp_deadline_s: When its ramp ends; 0 if it has none.
    :param now_s: The time.
    """
    if now_s >= ramp_deadline_s:
        return 1
    passed = max(0, 1 - (ramp_deadline_s - now_s) / RAMP_S)
    return FIRST_SHARE + (1 - FIRST_SHARE) * passed


def admits(
    ramp_deadline_s: float,
    now_s: float,
    generator: random.Random,
) -> bool:
    """Decide whether a place is a candidate for one request.

    :param ramp_deadline_s: When its ramp ends; 0 if it has none.
    :param now_s: The time.
    :param generator: Source of the decision.
    """
    if now_s >= ramp_deadline_s:
        return True
    return generator.random() < share(ramp_deadline_s, now_s)


@attrs.define
class Outage:
    """Whether the rules take an endpoint out, as its agent sees it.

    :ivar out: Whether they do.
    :ivar warm_deadline_s: Until when the endpoint counts as warm although it
        gets no work.
    """

    out: bool = False
    warm_deadline_s: float = 0


def note_outage(outage: Outage, *, out: bool, now_s: float) -> bool:
    """Take over whether the rules take an endpoint out.

    :param outage: The state.
    :param out: Whether the rules in force do.
    :param now_s: The time.
    :returns: Whether it comes back and has to begin cold.
    """
    if out and not outage.out:
        outage.warm_deadline_s = now_s + WARM_S
    returns = outage.out and not out
    outage.out = out
    return returns and now_s >= outage.warm_deadline_s
