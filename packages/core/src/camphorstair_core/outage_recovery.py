"""Ramps up the requests to a data centre that is back in service.

Entries send it only a share of its usual requests at first and raise the share
over ``RAMP_S``. Its agents start cold if they were out of service for longer
than ``WARM_S``.
"""

import random

import attrs

RAMP_S = 20.0
FIRST_SHARE = 0.1
WARM_S = 30.0


@attrs.define
class DataCentreOutages:
    """Data centres that are out of service or ramping up again.

    Taking a data centre out of service has effect at once, and bringing it
    back takes the whole ramp. Taking it out again resets the ramp, so that
    repeated changes by an operator move few requests back and forth.

    :ivar out: Data centres that the rules take out of service.
    :ivar ramp_deadlines_s: End of the last ramp, by data centre.
    """

    out: frozenset[str] = frozenset()
    ramp_deadlines_s: dict[str, float] = attrs.field(factory=dict)


def update_outages(
    outages: DataCentreOutages,
    out: frozenset[str],
    now_s: float,
) -> None:
    """Update which data centres are out of service and start ramps.

    :param outages: The state, which is updated.
    :param out: Data centres that the rules in force take out of service.
    :param now_s: The current time.
    """
    for data_centre in outages.out - out:
        outages.ramp_deadlines_s[data_centre] = now_s + RAMP_S
    for data_centre_out in out:
        outages.ramp_deadlines_s.pop(data_centre_out, None)
    outages.out = out


def share(ramp_deadline_s: float, now_s: float) -> float:
    """Return the share of its usual requests that a data centre receives.

    The share rises linearly from ``FIRST_SHARE`` to 1 during the ramp.

    :param ramp_deadline_s: When the ramp ends; 0 if there is none.
    :param now_s: The current time.
    """
    if now_s >= ramp_deadline_s:
        return 1
    progress = max(0, 1 - (ramp_deadline_s - now_s) / RAMP_S)
    return FIRST_SHARE + (1 - FIRST_SHARE) * progress


def admits(
    ramp_deadline_s: float,
    now_s: float,
    generator: random.Random,
) -> bool:
    """Return whether a data centre may receive a request.

    During the ramp this is random, with the current share as probability.

    :param ramp_deadline_s: When the ramp ends; 0 if there is none.
    :param now_s: The current time.
    :param generator: Random source.
    """
    if now_s >= ramp_deadline_s:
        return True
    return generator.random() < share(ramp_deadline_s, now_s)


@attrs.define
class Outage:
    """An agent's record of whether its endpoint is out of service.

    :ivar out: Whether the rules take the endpoint out of service.
    :ivar warm_deadline_s: Time until which the endpoint counts as warm
        although it receives no requests.
    """

    out: bool = False
    warm_deadline_s: float = 0


def update_outage(outage: Outage, *, out: bool, now_s: float) -> bool:
    """Update whether the rules take an endpoint out of service.

    :param outage: The state, which is updated.
    :param out: Whether the rules in force take the endpoint out of service.
    :param now_s: The current time.
    :returns: Whether the endpoint is back in service and has to start cold.
    """
    if out and not outage.out:
        outage.warm_deadline_s = now_s + WARM_S
    back_in_service = outage.out and not out
    outage.out = out
    return back_in_service and now_s >= outage.warm_deadline_s
