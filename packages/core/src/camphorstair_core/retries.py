"""The retry budget: limits retries to a share of the recent requests.

An entry has one budget for refusals and another for failures, so that refusals
under overload don't use up the retries that broken responses need.
"""

import attrs

BUDGET_SHARE = 0.2
BUDGET_RESERVE = 10.0
MAX_ATTEMPTS = 4
MAX_RESUMES = 40


@attrs.define
class RetryBudget:
    """A token bucket for retries.

    :ivar tokens: Tokens in the bucket; each request adds ``BUDGET_SHARE`` and
        each retry uses one.
    :ivar capacity: Capacity of the bucket, in tokens.
    """

    tokens: float = BUDGET_RESERVE
    capacity: float = BUDGET_RESERVE


def record_request(budget: RetryBudget, in_flight: int) -> None:
    """Add ``BUDGET_SHARE`` tokens for a new request.

    :param budget: The budget, which is updated.
    :param in_flight: Requests in progress. A single failure may break all of
        them, so the capacity of the budget is at least this number.
    """
    budget.capacity = max(BUDGET_RESERVE, in_flight)
    budget.tokens = min(budget.tokens + BUDGET_SHARE, budget.capacity)


def try_spend(budget: RetryBudget) -> bool:
    """Use one token for a retry.

    :returns: Whether the retry is allowed; False if the budget is exhausted.
    """
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True
