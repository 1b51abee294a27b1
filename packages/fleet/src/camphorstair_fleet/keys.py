"""The keys that camphorstair writes in the platform's store."""

PREFIX = 'camphorstair/'
MEMBERS_PREFIX = 'camphorstair/members/'
PLANNERS_PREFIX = 'camphorstair/planners/'
CRASHES_PREFIX = 'camphorstair/crashes/'
QUARANTINE_PREFIX = 'camphorstair/quarantine/'
SETTLED_ERA = 'camphorstair/settled-era'


def member(name: str) -> str:
    """Return the membership key of an entry."""
    return f'{MEMBERS_PREFIX}{name}'


def crash_reports(entry: str) -> str:
    """Return the key of an entry's reports of crashes."""
    return f'{CRASHES_PREFIX}{entry}'


def quarantined(part: str) -> str:
    """Return the key of a part of prompts that no engine is sent."""
    return f'{QUARANTINE_PREFIX}{part}'


def planner(group: str) -> str:
    """Return the key that the planner of a rank group holds."""
    return f'{PLANNERS_PREFIX}{group}'
