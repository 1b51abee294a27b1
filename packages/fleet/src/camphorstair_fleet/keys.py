"""The keys of the system itself in the platform's store."""

PREFIX = 'camphorstair/'
MEMBERS_PREFIX = 'camphorstair/members/'
PLANNERS_PREFIX = 'camphorstair/planners/'


def member(name: str) -> str:
    """Return the key of an entry."""
    return f'{MEMBERS_PREFIX}{name}'


def planner(group: str) -> str:
    """Return the key of the process that plans for a rank group."""
    return f'{PLANNERS_PREFIX}{group}'
