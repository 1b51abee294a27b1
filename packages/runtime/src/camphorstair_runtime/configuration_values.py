"""Keys and values of the configuration in the key-value service."""

import zlib

import attrs
import msgspec

from camphorstair_core import changes, configuration, decoding, deltas
from camphorstair_runtime import platform, platform_messages

PREFIX = 'camphorstair/configuration'
HEAD_KEY = f'{PREFIX}/head'
MAX_VALUE_BYTES = 1_000_000
MAX_TEXT_BYTES = 8_000_000


class StoreError(Exception):
    """The stored configuration is corrupt or incomplete."""


class TooLargeError(Exception):
    """A value exceeds the size limit of the key-value service."""


@attrs.define(frozen=True)
class Head:
    """Value of the head key, which describes the newest revision.

    :ivar revision: Number of the revision.
    :ivar change_id: Identifier of the change that created the revision.
    :ivar digest: Digest of the text of the revision.
    :ivar snapshots: Revisions of the stored snapshots, newest last.
    """

    revision: int
    change_id: str
    digest: str
    snapshots: list[int]


@attrs.define(frozen=True)
class Snapshot:
    """Value of a snapshot key: the whole text of one revision.

    :ivar revision: Number of the revision.
    :ivar change_id: Identifier of the change that created the revision.
    :ivar digest: Digest of the text.
    :ivar compressed: The text, compressed with zlib.
    """

    revision: int
    change_id: str
    digest: str
    compressed: bytes


@attrs.define(frozen=True)
class StoredHead:
    """The head with the platform's modification revision of its key.

    :ivar head: The head; None, or with revision 0, before the first
        configuration is stored.
    :ivar mod_revision: Modification revision of the head key; 0 if the key
        does not exist.
    """

    head: Head | None
    mod_revision: int

    def revision(self) -> int:
        """Return the newest revision, or 0 if there is no configuration."""
        return self.head.revision if self.head else 0


def decode_head(pair: platform.KeyValue) -> StoredHead:
    """Decode the head from the pair that a read or a watch returned.

    :raises StoreError: if the value is corrupt.
    """
    if not pair.mod_revision:
        return StoredHead(None, 0)
    try:
        head = decoding.from_json(pair.value, Head)
    except decoding.FormatError as fault:
        raise StoreError(f'{HEAD_KEY}: {fault}') from fault
    return StoredHead(head, pair.mod_revision)


def change_key(revision: int) -> str:
    """Return the key of a change."""
    return f'{PREFIX}/change/{revision:012}'


def snapshot_key(revision: int) -> str:
    """Return the key of a snapshot."""
    return f'{PREFIX}/snapshot/{revision:012}'


def encode_snapshot(current: configuration.Configuration) -> bytes:
    """Encode a configuration as the value of a snapshot key."""
    raw = current.text.encode()
    snapshot = Snapshot(
        current.revision,
        current.change_id,
        deltas.digest(current.text),
        zlib.compress(raw),
    )
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(value: bytes) -> configuration.Configuration:
    """Decode a configuration from the value of a snapshot key.

    :raises StoreError: if the value is corrupt or does not match its digest.
    """
    try:
        snapshot = decoding.from_msgpack(value, Snapshot)
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(snapshot.compressed, MAX_TEXT_BYTES)
        text = raw.decode()
    except (decoding.FormatError, zlib.error, UnicodeDecodeError) as fault:
        raise StoreError(f'snapshot: {fault}') from fault
    if deltas.digest(text) != snapshot.digest:
        raise StoreError(
            f'snapshot {snapshot.revision}: digest does not match the text'
        )
    return configuration.Configuration(
        snapshot.revision,
        snapshot.change_id,
        text,
    )


def decode_change(pair: platform.KeyValue) -> changes.Change:
    """Decode a change from its key-value pair.

    :raises StoreError: if the value is corrupt.
    """
    try:
        return decoding.from_json(pair.value, changes.Change)
    except decoding.FormatError as fault:
        raise StoreError(f'{pair.key}: {fault}') from fault


def put(key: str, value: bytes) -> platform_messages.Put:
    """Return the operation that writes a value under a key.

    :raises TooLargeError: if the value exceeds ``MAX_VALUE_BYTES``.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise TooLargeError(
            f'{key}: value is {len(value)} bytes,'
            f' the limit is {MAX_VALUE_BYTES}',
        )
    return platform_messages.Put(key, value)
