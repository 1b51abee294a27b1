"""The verdict on a request: whether the endpoint may have run it."""

import enum


class Verdict(enum.StrEnum):
    """Whether the endpoint has run a request, as far as is known."""

    not_run = 'not_run'
    may_have_run = 'may_have_run'
    ran = 'ran'


def in_progress(verdict: Verdict, *, sent: bool) -> Verdict:
    """Return the verdict on a request while an attempt at it is in progress.

    :param verdict: The verdict on the attempts that have ended.
    :param sent: Whether the current attempt has begun to send the request.
    """
    return worst(verdict, Verdict.may_have_run) if sent else verdict


def may_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return whether a failed request may be attempted again.

    :param verdict: The verdict on the failed attempt.
    :param idempotent: Whether the request may safely run more than once.
    :returns: True if the request is idempotent or has certainly not run.
    """
    return idempotent or verdict is Verdict.not_run


def worst(first: Verdict, second: Verdict) -> Verdict:
    """Return the worse of the verdicts on two attempts at the same request.

    The order from best to worst is ``not_run``, ``may_have_run``, ``ran``.

    :param first: The verdict on one attempt.
    :param second: The verdict on the other attempt.
    """
    order = (Verdict.not_run, Verdict.may_have_run, Verdict.ran)
    return max(first, second, key=order.index)
