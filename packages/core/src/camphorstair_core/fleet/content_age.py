"""Tracks how old a process's copy of the store's content is."""

import attrs

NEVER_S = float('-inf')


@attrs.define
class ContentAge:
    """The time up to which a copy of the store's content is known to be current.

    Times come from a clock that also runs while the machine is suspended,
    because keys can be revoked during a suspension too.

    :ivar confirmed_s: When the newest call that confirmed the content was sent.
    :ivar answered_s: When the store last answered.
    :ivar outage_start_s: Start of the current outage: when the first call that the
        store left unanswered was sent; None while the store answers.
    :ivar outage_end_s: When the store answered again after the last outage.
    """

    confirmed_s: float = NEVER_S
    answered_s: float = NEVER_S
    outage_start_s: float | None = None
    outage_end_s: float = NEVER_S


def record_confirmation(known: ContentAge, sent_s: float, now_s: float) -> bool:
    """Record an answer that confirms the content as of when a call was sent.

    :param known: The record to update.
    :param sent_s: When the call was sent.
    :param now_s: The current time.
    :returns: Whether this answer ends an outage.
    """
    known.confirmed_s = max(known.confirmed_s, sent_s)
    known.answered_s = now_s
    regained = known.outage_start_s is not None
    if regained:
        known.outage_end_s = now_s
        known.outage_start_s = None
    return regained


def record_failure(known: ContentAge, sent_s: float) -> bool:
    """Record a call that the store did not answer.

    :param known: The record to update.
    :param sent_s: When the call was sent.
    :returns: Whether this failure begins an outage.
    """
    if known.outage_start_s is not None:
        return False
    known.outage_start_s = sent_s
    return True


def age_s(known: ContentAge, now_s: float) -> float:
    """Return the age of the content in seconds.

    The age is infinite before the first answer.
    """
    return now_s - known.confirmed_s


def keys_current(known: ContentAge, now_s: float, limit_s: float) -> bool:
    """Return whether the content is recent enough to accept keys from it.

    :param known: The record of the content's age.
    :param now_s: The current time.
    :param limit_s: How long after its removal a key may still be accepted.
    """
    return age_s(known, now_s) < limit_s
