"""The priority with which a model engine is sent a request.

An engine admits its waiting requests by this priority, from 0, the most urgent,
to 9. It takes 5 for a request without one.
"""

LEAST_URGENT = 9


def engine_priority(tier: int) -> int:
    """Return the priority at an engine.

    :param tier: The tier of the request in the order of its queue; 0 is the
        most urgent.
    """
    return max(0, min(tier, LEAST_URGENT))
