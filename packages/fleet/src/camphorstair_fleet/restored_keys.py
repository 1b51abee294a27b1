"""Decides which keys count at once after the store came back from a copy."""

from camphorstair_core import decoding
from camphorstair_core.fleet import roster, store_copy
from camphorstair_fleet import keys
from camphorstair_platform import configuration, registrations


def applies_at_once(
    before: store_copy.Item | None, after: store_copy.Item
) -> bool:
    """Return whether a changed value of a key is applied without delay.

    The store may show an endpoint as ready that has been draining or has left,
    or an entry that has left. Such a change waits until the owner has written
    the key again, and so does an older version of the configuration. Nothing is
    lost by applying a restriction too early.

    :param before: The key as it was known; None if it had been removed.
    :param after: The key as the store shows it now.
    """
    if after.key.startswith(registrations.PREFIX):
        return not _is_ready(after) or (
            before is not None and _is_ready(before)
        )
    if after.key.startswith(keys.MEMBERS_PREFIX):
        return before is not None
    if after.key == configuration.CONFIGURATION_KEY and before is not None:
        return _version(before) <= _version(after)
    return True


def _version(row: store_copy.Item) -> int:
    """Return the version of a configuration; 0 if it can't be decoded."""
    try:
        return configuration.decode(row.content or b'').version
    except decoding.FormatError:
        return 0


def _is_ready(row: store_copy.Item) -> bool:
    name = row.key.removeprefix(registrations.PREFIX)
    try:
        registration = registrations.decode(name, row.content or b'')
    except decoding.FormatError:
        return False
    return registration.state is roster.EndpointState.ready
