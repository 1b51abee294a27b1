"""Reads the keys under which entries announce themselves in the store."""

from camphorstair_core import decoding
from camphorstair_core.fleet import membership, store_copy
from camphorstair_fleet import keys


def name_of(item: store_copy.Item) -> str:
    """Return the name of the member that a key belongs to."""
    return item.key.removeprefix(keys.MEMBERS_PREFIX)


def decode(item: store_copy.Item) -> membership.Member:
    """Return the member that a key's value names.

    :raises decoding.FormatError: if it names none that can be reached, or
        another one than its key.
    """
    member = decoding.from_json(item.content or b'', membership.Member)
    if member.name != name_of(item):
        raise decoding.FormatError(f'{item.key} names {member.name}')
    decoding.check_address(member.address)
    decoding.check_address(member.internal_address)
    return member
