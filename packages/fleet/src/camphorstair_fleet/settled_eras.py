"""The note in the store of the era in which nothing is unsettled any more.

A store that comes back from an older copy of itself begins a new era, and the
copy holds notes of earlier eras only. So a note of the era that a process reads
shows that the owners of all keys have written them since the store's return.
"""

import msgspec

from camphorstair_core import decoding
from camphorstair_core.fleet import store_copy
from camphorstair_fleet import keys


def encode(era: int) -> bytes:
    """Return the note's value for an era."""
    return msgspec.json.encode(era)


def is_settled(known: store_copy.StoreCopy) -> bool:
    """Return whether the store notes that the era of a copy is settled.

    A store that names no era never comes back from an older copy.
    """
    if not known.rows_era:
        return True
    row = known.rows.get(keys.SETTLED_ERA)
    return row is not None and _decode(row) == known.rows_era


def _decode(row: store_copy.Item) -> int | None:
    """Return the era that a note names; None if it can't be decoded."""
    try:
        return decoding.from_json(row.content or b'', int)
    except decoding.FormatError:
        return None
