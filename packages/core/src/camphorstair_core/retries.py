"""The retry budget: a share of the recent requests.

An entry keeps one budget for refusals and one for failures, so that refusals
under overload do not use up what broken answers need.
"""

import attrs

BUDGET_SHARE = 0.2
BUDGET_RESERVE = 10.0
MAX_ATTEMPTS = 4
MAX_RESUMES = 40


@attrs.define
class RetryBudget:
    """Retries that may still be made.

    :ivar tokens: Retries in hand; each request adds ``BUDGET_SHARE``.
    :ivar largest: Most retries that may be in hand.
    """

    tokens: float = BUDGET_RESERVE
    largest: float = BUDGET_RESERVE


def note_request(budget: RetryBudget, in_flight: int) -> None:
    """Add the share of one request.

    :param budget: The budget.
    :param in_flight: Requests in progress; one failure may break them all, so
        the budget may grow to that number.
    """
    budget.largest = max(BUDGET_RESERVE, in_flight)
    budget.tokens = min(budget.tokens + BUDGET_SHARE, budget.largest)


def take(budget: RetryBudget) -> bool:
    """Spend one retry.

    :returns: False if the budget is used up.
    """
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True
