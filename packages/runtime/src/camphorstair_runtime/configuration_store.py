"""Stores the configuration in the platform's key-value service.

The head key holds the newest revision. Each change is stored under its own
key, as a delta with an audit entry. A change that is stored without a delta,
or ``SNAPSHOT_CHANGES`` revisions after the last snapshot, also writes a
snapshot of the whole text. A change writes and removes all its keys in one
transaction, which succeeds only if the head has not changed since it was
read.
"""

import attrs
import msgspec

from camphorstair_core import changes, configuration, deltas
from camphorstair_runtime import (
    configuration_values,
    platform,
    platform_messages,
)

SNAPSHOT_CHANGES = 50
SNAPSHOTS_KEPT = 2
CHANGES_KEPT = 4000
MAX_READ_ATTEMPTS = 3

Operations = list[platform_messages.Put | platform_messages.Delete]


@attrs.define(frozen=True)
class Stored:
    """The stored configuration and its head, as read.

    :ivar current: The configuration, or None if none was stored yet.
    :ivar found: The head, with the platform's revision of its key.
    """

    current: configuration.Configuration | None
    found: configuration_values.StoredHead


async def read_head(
    client: platform.PlatformClient,
) -> configuration_values.StoredHead:
    """Return the head, which names the newest revision.

    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if the head is corrupt.
    """
    return configuration_values.decode_head(
        await client.get(configuration_values.HEAD_KEY)
    )


async def read(client: platform.PlatformClient) -> Stored:
    """Return the newest configuration: a snapshot with the later changes.

    If the stored configuration seems corrupt or incomplete, starts again
    with the current head, since the snapshots may have been removed during a
    slow read. The number of attempts is limited.

    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if the stored configuration is
        corrupt.
    """
    failure = configuration_values.StoreError('configuration not read')
    for _ in range(MAX_READ_ATTEMPTS):
        stored_head = await read_head(client)
        if stored_head.head is None or not stored_head.head.revision:
            return Stored(None, stored_head)
        try:
            return Stored(
                await _read_configuration(client, stored_head.head), stored_head
            )
        except configuration_values.StoreError as fault:
            failure = fault
    raise failure


async def read_changes(
    client: platform.PlatformClient,
    above: int,
    up_to: int,
) -> list[changes.Change]:
    """Return the changes after a revision, in order of revision.

    :param above: The revision before the first change to return.
    :param up_to: The revision of the last change to return.
    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if a change is corrupt or was
        removed, or if there are too many changes; read the whole
        configuration instead.
    """
    if up_to - above > 2 * SNAPSHOT_CHANGES + 1:
        raise configuration_values.StoreError(
            f'revision {above} is too old to update by deltas'
        )
    pairs = await client.get_range(
        configuration_values.change_key(above + 1),
        configuration_values.change_key(up_to + 1),
        up_to - above,
    )
    stored_changes = [
        configuration_values.decode_change(pair) for pair in pairs
    ]
    revisions = [change.revision for change in stored_changes]
    if revisions != list(range(above + 1, up_to + 1)):
        raise configuration_values.StoreError(
            f'changes {above + 1} to {up_to} are incomplete'
        )
    return stored_changes


async def history(
    client: platform.PlatformClient,
    limit: int,
) -> list[changes.Change]:
    """Return a limited number of the latest changes, newest first.

    :param client: The platform.
    :param limit: Maximum number of changes.
    :returns: The changes.
    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if a change is corrupt.
    """
    pairs = await client.get_range(
        configuration_values.change_key(0),
        f'{configuration_values.PREFIX}/change0',
        limit,
        newest_first=True,
    )
    return [configuration_values.decode_change(pair) for pair in pairs]


async def read_change(
    client: platform.PlatformClient,
    revision: int,
) -> changes.Change | None:
    """Return the change that created a revision, or None if not stored.

    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if the change is corrupt.
    """
    pair = await client.get(configuration_values.change_key(revision))
    return (
        configuration_values.decode_change(pair) if pair.mod_revision else None
    )


async def write(
    client: platform.PlatformClient,
    stored_head: configuration_values.StoredHead,
    updated: configuration.Configuration,
    change: changes.Change,
) -> bool:
    """Store a new configuration if the head has not changed.

    :param client: The platform.
    :param stored_head: The head that the new configuration follows, as read.
    :param updated: The new configuration.
    :param change: The change that leads to it, with its audit entry.
    :returns: Whether the configuration was stored.
    :raises configuration_values.TooLargeError: if a value is too large;
        nothing is written.
    :raises platform.PlatformError: if the platform does not answer; the
        configuration may have been stored or not.
    """
    size_bytes = len(updated.text.encode())
    if size_bytes > configuration_values.MAX_TEXT_BYTES:
        raise configuration_values.TooLargeError(
            f'the rules are {size_bytes} bytes, the limit is {configuration_values.MAX_TEXT_BYTES}',
        )
    return await client.transact(
        [
            platform_messages.Compare(
                configuration_values.HEAD_KEY, stored_head.mod_revision
            )
        ],
        _operations(stored_head.head, updated, change),
    )


async def touch(
    client: platform.PlatformClient,
    stored_head: configuration_values.StoredHead,
) -> bool:
    """Rewrite the head unchanged, so that pending transactions fail.

    The write raises the platform's revision of the head key, which every
    transaction of ``write`` compares.

    :param client: The platform.
    :param stored_head: The head as read.
    :returns: Whether the head had not changed since it was read.
    :raises platform.PlatformError: if the platform does not answer; the head
        may have been written or not.
    """
    head = stored_head.head or configuration_values.Head(
        0, '', deltas.digest(''), []
    )
    value = msgspec.json.encode(head)
    return await client.compare_and_swap(
        configuration_values.HEAD_KEY, stored_head.mod_revision, value
    )


async def _read_configuration(
    client: platform.PlatformClient,
    head: configuration_values.Head,
) -> configuration.Configuration:
    failure = configuration_values.StoreError('the head lists no snapshot')
    for revision in reversed(head.snapshots):
        try:
            return await _read_from_snapshot(client, head, revision)
        except configuration_values.StoreError as fault:
            failure = fault
    raise failure


async def _read_from_snapshot(
    client: platform.PlatformClient,
    head: configuration_values.Head,
    snapshot: int,
) -> configuration.Configuration:
    pair = await client.get(configuration_values.snapshot_key(snapshot))
    if not pair.mod_revision:
        raise configuration_values.StoreError(
            f'snapshot {snapshot} does not exist'
        )
    base = configuration_values.decode_snapshot(pair.value)
    text = changes.RulesText(base.revision, base.text)
    try:
        for change in await read_changes(client, snapshot, head.revision):
            text = changes.advance(text, change)
    except deltas.DeltaError as fault:
        raise configuration_values.StoreError(str(fault)) from fault
    if deltas.digest(text.rules) != head.digest:
        raise configuration_values.StoreError(
            f'revision {head.revision}: digest does not match the text'
        )
    return configuration.Configuration(
        head.revision,
        head.change_id,
        text.rules,
    )


def _operations(
    head: configuration_values.Head | None,
    updated: configuration.Configuration,
    change: changes.Change,
) -> Operations:
    revision = updated.revision
    snapshots = list(head.snapshots) if head else []
    operations: Operations = []
    if _needs_snapshot(snapshots, change):
        snapshots.append(revision)
        value = configuration_values.encode_snapshot(updated)
        operations.append(
            configuration_values.put(
                configuration_values.snapshot_key(revision), value
            )
        )
    removed = snapshots[:-SNAPSHOTS_KEPT]
    snapshots = snapshots[-SNAPSHOTS_KEPT:]
    operations.extend(
        platform_messages.Delete(
            configuration_values.snapshot_key(old_revision)
        )
        for old_revision in removed
    )
    if revision > CHANGES_KEPT:
        old_key = configuration_values.change_key(revision - CHANGES_KEPT)
        operations.append(platform_messages.Delete(old_key))
    next_head = configuration_values.Head(
        revision, updated.change_id, change.digest, snapshots
    )
    operations.append(
        configuration_values.put(
            configuration_values.change_key(revision),
            msgspec.json.encode(change),
        )
    )
    operations.append(
        configuration_values.put(
            configuration_values.HEAD_KEY, msgspec.json.encode(next_head)
        )
    )
    return operations


def _needs_snapshot(snapshots: list[int], change: changes.Change) -> bool:
    if change.edits is None or not snapshots:
        return True
    return change.revision - snapshots[-1] >= SNAPSHOT_CHANGES
