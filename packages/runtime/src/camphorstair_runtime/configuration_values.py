"""Keys and values of the configuration in the platform's service."""

import zlib

import attrs
import msgspec

from camphorstair_core import changes, configuration, deltas
from camphorstair_runtime import platform, platform_messages

PREFIX = 'camphorstair/configuration'
HEAD_KEY = f'{PREFIX}/head'
MAX_VALUE_BYTES = 1_000_000
MAX_TEXT_BYTES = 8_000_000


class StoreError(Exception):
    """The platform holds a corrupt or incomplete configuration."""


class TooLargeError(Exception):
    """A value is larger than the platform takes."""


@attrs.define(frozen=True)
class Head:
    """The newest revision.

    :ivar revision: Its number.
    :ivar change_id: Identifier of the change that made it.
    :ivar digest: Fingerprint of its text.
    :ivar snapshots: Revisions of the snapshots kept, newest last.
    """

    revision: int
    change_id: str
    digest: str
    snapshots: list[int]


@attrs.define(frozen=True)
class Snapshot:
    """A whole copy of one revision.

    :ivar digest: Fingerprint of the text.
    :ivar compressed: The text, compressed by zlib.
    """

    revision: int
    change_id: str
    digest: str
    compressed: bytes


@attrs.define(frozen=True)
class StoredHead:
    """The head and the platform's revision of it.

    The head is None, or of revision 0, before the first configuration.
    """

    head: Head | None
    mod_revision: int

    def revision(self) -> int:
        """Return the revision, or 0."""
        return self.head.revision if self.head else 0


def decode_head(found: platform.KeyValue) -> StoredHead:
    """Return a head as read or watched.

    :raises StoreError: if it is corrupt.
    """
    if not found.mod_revision:
        return StoredHead(None, 0)
    try:
        head = msgspec.json.decode(found.value, type=Head)
    except msgspec.DecodeError as fault:
        raise StoreError(f'{HEAD_KEY}: {fault}') from fault
    return StoredHead(head, found.mod_revision)


def change_key(revision: int) -> str:
    """Return the key of a change."""
    return f'{PREFIX}/change/{revision:012}'


def snapshot_key(revision: int) -> str:
    """Return the key of a snapshot."""
    return f'{PREFIX}/snapshot/{revision:012}'


def encode_snapshot(current: configuration.Configuration) -> bytes:
    """Return the value of a snapshot."""
    raw = current.text.encode()
    snapshot = Snapshot(
        current.revision,
        current.change_id,
        deltas.digest(current.text),
        zlib.compress(raw),
    )
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(value: bytes) -> configuration.Configuration:
    """Return the configuration of a snapshot.

    :raises StoreError: if it is corrupt.
    """
    try:
        snapshot = msgspec.msgpack.decode(value, type=Snapshot)
        expander = zlib.decompressobj()
        raw = expander.decompress(snapshot.compressed, MAX_TEXT_BYTES)
        text = raw.decode()
    except (msgspec.DecodeError, zlib.error, UnicodeDecodeError) as fault:
        raise StoreError(f'snapshot: {fault}') from fault
    if deltas.digest(text) != snapshot.digest:
        raise StoreError(f'snapshot {snapshot.revision}: wrong digest')
    return configuration.Configuration(
        snapshot.revision,
        snapshot.change_id,
        text,
    )


def decode_change(pair: platform.KeyValue) -> changes.Change:
    """Return a change as read.

    :raises StoreError: if it is corrupt.
    """
    try:
        return msgspec.json.decode(pair.value, type=changes.Change)
    except msgspec.DecodeError as fault:
        raise StoreError(f'{pair.key}: {fault}') from fault


def put(key: str, value: bytes) -> platform_messages.Put:
    """Return a write.

    :raises TooLargeError: if the value is too large.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise TooLargeError(
            f'{key} would be {len(value)} bytes,'
            f' the platform takes {MAX_VALUE_BYTES}',
        )
    return platform_messages.Put(key, value)
