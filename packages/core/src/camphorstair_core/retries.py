"""The retry budget: a share of the recent requests."""

import attrs

BUDGET_SHARE = 0.2
BUDGET_RESERVE = 10.0
MAX_ATTEMPTS = 4


@attrs.define
class RetryBudget:
    """Retries that may still be made.

    :ivar tokens: Retries in hand; each request adds ``BUDGET_SHARE``.
    """

    tokens: float = BUDGET_RESERVE


def note_request(budget: RetryBudget) -> None:
    """Add the share of one request."""
    budget.tokens = min(budget.tokens + BUDGET_SHARE, BUDGET_RESERVE)


def take(budget: RetryBudget) -> bool:
    """Spend one retry.

    :returns: False if the budget is used up.
    """
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True
