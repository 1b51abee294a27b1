"""The verdict on a request: whether the endpoint may have run it."""

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    not_run = 'not_run'
    may_have_run = 'may_have_run'
    ran = 'ran'


def may_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Tell whether another attempt is allowed.

    :param verdict: The verdict on the attempt that failed.
    :param idempotent: Whether a second run of the request does no harm.
    :returns: True if another attempt can't cause a forbidden second run.
    """
    return idempotent or verdict is Verdict.not_run


def worst(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts on two attempts at the same request.

    :param first: The verdict on one attempt.
    :param second: The verdict on the other attempt.
    :returns: The one that claims less safety.
    """
    order = (Verdict.not_run, Verdict.may_have_run, Verdict.ran)
    return max(first, second, key=order.index)
