"""The keys that camphorstair writes in the platform's store."""

PREFIX = 'camphorstair/'
MEMBERS_PREFIX = 'camphorstair/members/'
PLANNERS_PREFIX = 'camphorstair/planners/'


def member(name: str) -> str:
    """Return the membership key of an entry."""
    return f'{MEMBERS_PREFIX}{name}'


def planner(group: str) -> str:
    """Return the key that the planner of a rank group holds."""
    return f'{PLANNERS_PREFIX}{group}'
