"""Tracks how old a process's copy of the store's content is."""

import attrs

NEVER_S = float('-inf')
# Time after the latest unanswered call for which keys that lapsed meanwhile may
# still be written again. Their owners do so within about two seconds of the
# store's return, which a process notices up to a second later.
ABSENCE_LIMIT_S = 2.8


@attrs.define
class ContentAge:
    """The time up to which a copy of the store's content is surely current.

    Times come from a clock that also runs while the machine is suspended,
    because keys can be revoked during a suspension too.

    :ivar confirmed_s: When the newest call that confirmed the content was sent.
    :ivar answered_s: When the store last answered.
    :ivar outage_start_s: Start of the current outage: when the first call that
        the store left unanswered was sent; None while the store answers.
    :ivar unanswered_s: When the latest call that the store left unanswered was
        sent, so that the store can't have been reached before.
    """

    confirmed_s: float = NEVER_S
    answered_s: float = NEVER_S
    outage_start_s: float | None = None
    unanswered_s: float = NEVER_S


def record_confirmation(
    content_age: ContentAge, sent_s: float, now_s: float
) -> bool:
    """Record an answer that confirms the content as of when a call was sent.

    :param content_age: The record to update.
    :param sent_s: When the call was sent.
    :param now_s: The current time.
    :returns: Whether this answer ends an outage.
    """
    content_age.confirmed_s = max(content_age.confirmed_s, sent_s)
    content_age.answered_s = now_s
    regained = content_age.outage_start_s is not None
    content_age.outage_start_s = None
    return regained


def record_failure(content_age: ContentAge, sent_s: float) -> bool:
    """Record a call that the store did not answer.

    :param content_age: The record to update.
    :param sent_s: When the call was sent.
    :returns: Whether this failure begins an outage.
    """
    content_age.unanswered_s = sent_s
    if content_age.outage_start_s is not None:
        return False
    content_age.outage_start_s = sent_s
    return True


def absence_deadline_s(
    content_age: ContentAge, now_s: float, lapse_s: float
) -> float | None:
    """Return until when a key that was removed may be written again.

    While the store is away, keys may lapse although their owners are alive. The
    first answer after an outage tells of these; whether it was the store that
    was away, or only this process that did not reach it, can't be told apart. A
    removal that is told later happened while the store answered: it is final.

    To be called before the answer that tells of the removal is recorded.

    :param content_age: The record of the content's age.
    :param now_s: The current time.
    :param lapse_s: The shortest outage in which a key of a live owner can lapse.
    :returns: None if the removal is final.
    """
    start_s = content_age.outage_start_s
    if start_s is None or now_s - start_s < lapse_s:
        return None
    deadline_s = content_age.unanswered_s + ABSENCE_LIMIT_S
    return deadline_s if now_s < deadline_s else None


def age_s(content_age: ContentAge, now_s: float) -> float:
    """Return the age of the content in seconds.

    The age is infinite before the first answer.
    """
    return now_s - content_age.confirmed_s


def keys_current(content_age: ContentAge, now_s: float, limit_s: float) -> bool:
    """Return whether the content is recent enough to accept keys from it.

    :param content_age: The record of the content's age.
    :param now_s: The current time.
    :param limit_s: How long after its removal a key may still be accepted.
    """
    return age_s(content_age, now_s) < limit_s
