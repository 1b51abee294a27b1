"""Messages about an entry's copy of the store, encoded as msgpack."""

import attrs

from camphorstair_core import decoding
from camphorstair_core.fleet import store_copy

COPY_PATH = '/copy'
UNSETTLED_PATH = '/unsettled'


@attrs.frozen
class CopyCall:
    """A request for what a process lacks of an entry's copy of the store.

    :ivar era: Era of the store that the process knows.
    :ivar revision: Revision up to which it knows the content; 0 if it has to
        read all keys.
    :ivar prefixes: Prefixes of the keys that it follows.
    """

    era: int
    revision: int
    prefixes: tuple[str, ...]


@attrs.frozen
class CopyReply:
    """The reply to a ``CopyCall``.

    :ivar update: What the process lacks.
    :ivar age_s: Age of the entry's content when the reply was made.
    :ivar held_s: How long the entry waited for changes before it replied.
    """

    update: store_copy.Update
    age_s: decoding.Duration
    held_s: decoding.Duration


@attrs.frozen
class UnsettledCall:
    """A question for the keys that are unsettled since the store's return.

    :ivar era: Era of the store that the asking process has read.
    """

    era: int


@attrs.frozen
class UnsettledReply:
    """The reply to an ``UnsettledCall``.

    :ivar era: Era of the store that the entry has read.
    :ivar keys: The keys that are unsettled in it, as far as the entry knows.
    :ivar informed: Whether the entry knows all of them; one that has started
        just now may not.
    """

    era: int
    keys: tuple[store_copy.UnsettledKey, ...]
    informed: bool = False
