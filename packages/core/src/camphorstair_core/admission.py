"""The agent's admission: an exact limit that starts cold and ramps up."""

import attrs

from camphorstair_core import messages

RAMP_ANSWERS = 4
RETRY_AFTER_S = 0.5


@attrs.define
class Admission:
    """State of one endpoint's admission.

    :ivar full_limit: Requests in flight that the warm endpoint may have.
    :ivar cold_limit: Requests in flight that the cold endpoint may have.
    :ivar limit: Requests in flight that it may have now.
    :ivar in_flight: Requests that it works on.
    :ivar answers: Whole answers since the limit last rose.
    :ivar leaving: Whether the agent shuts down.
    :ivar out: Whether the rules take the endpoint out.
    """

    full_limit: int = 0
    cold_limit: int = 0
    limit: int = 0
    in_flight: int = 0
    answers: int = 0
    leaving: bool = False
    out: bool = False

    def load(self) -> messages.LoadReport:
        """Return the load to report."""
        cold = self.limit < self.full_limit
        return messages.LoadReport(self.in_flight, self.limit, 0, cold)


def set_limits(admission: Admission, full_limit: int, cold_limit: int) -> None:
    """Take over the limits of the rules; the current limit never jumps up.

    :param admission: The state.
    :param full_limit: Limit of the warm endpoint.
    :param cold_limit: Limit of the cold endpoint.
    """
    admission.full_limit = full_limit
    admission.cold_limit = cold_limit
    admission.limit = min(max(admission.limit, cold_limit), full_limit)


def refusal(admission: Admission) -> str | None:
    """Tell why a new request is refused.

    :returns: The code of the error, or None if the request is admitted.
    """
    if admission.leaving or admission.out:
        return 'leaving'
    if admission.in_flight >= admission.limit:
        return 'overloaded'
    return None


def start(admission: Admission) -> None:
    """Count a request that was admitted."""
    admission.in_flight += 1


def finish(admission: Admission, *, whole: bool) -> None:
    """Count the end of a request and raise the limit step by step.

    :param admission: The state.
    :param whole: Whether the endpoint gave a whole answer.
    """
    admission.in_flight -= 1
    if not whole:
        return
    admission.answers += 1
    if admission.answers >= RAMP_ANSWERS:
        admission.answers = 0
        admission.limit = min(admission.limit + 1, admission.full_limit)


def become_cold(admission: Admission) -> None:
    """Drop to the cold limit; what runs goes on."""
    admission.limit = admission.cold_limit
    admission.answers = 0
