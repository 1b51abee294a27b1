"""How old the knowledge of the store's content is."""

import attrs

NEVER_S = float('-inf')


@attrs.define
class Knowledge:
    """Up to when the content that this process holds is known to be current.

    Times are of a clock that also runs while the machine is suspended, since
    keys are taken away during that time too.

    :ivar proven_s: When the call was sent whose answer proved it last.
    :ivar answered_s: When the store answered last.
    :ivar lost_s: When the first call without an answer was sent since then,
        or None while the store answers.
    :ivar regained_s: When the store answered again after an outage.
    """

    proven_s: float = NEVER_S
    answered_s: float = NEVER_S
    lost_s: float | None = None
    regained_s: float = NEVER_S


def note_proof(known: Knowledge, sent_s: float, now_s: float) -> bool:
    """Note that an answer shows the content as of a call's sending.

    :param known: What is noted.
    :param sent_s: When the call was sent.
    :param now_s: The time.
    :returns: Whether this ends an outage.
    """
    known.proven_s = max(known.proven_s, sent_s)
    known.answered_s = now_s
    regained = known.lost_s is not None
    if regained:
        known.regained_s = now_s
        known.lost_s = None
    return regained


def note_failure(known: Knowledge, sent_s: float) -> bool:
    """Note that a call got no answer.

    :returns: Whether this begins an outage.
    """
    if known.lost_s is not None:
        return False
    known.lost_s = sent_s
    return True


def age_s(known: Knowledge, now_s: float) -> float:
    """Return how old the knowledge is; infinite before the first answer."""
    return now_s - known.proven_s


def keys_current(known: Knowledge, now_s: float, limit_s: float) -> bool:
    """Tell whether a key that is known may still be accepted.

    :param known: What is known.
    :param now_s: The time.
    :param limit_s: How long after its removal a key may be accepted.
    """
    return age_s(known, now_s) < limit_s
