"""The configuration in the platform's key-value service.

A head key names the revision; every change is a delta and an audit entry
under a key of its own; now and then a change writes a snapshot as well. All
that a change writes and removes is one transaction on the head as it was
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
READ_TRIES = 3

Operations = list[platform_messages.Put | platform_messages.Delete]


@attrs.define(frozen=True)
class Stored:
    """The stored configuration and its head as read."""

    current: configuration.Configuration | None
    found: configuration_values.StoredHead


async def read_head(
    client: platform.PlatformClient,
) -> configuration_values.StoredHead:
    """Return the newest revision.

    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if the head is corrupt.
    """
    return configuration_values.decode_head(
        await client.get(configuration_values.HEAD_KEY)
    )


async def read(client: platform.PlatformClient) -> Stored:
    """Return the newest configuration, from a snapshot and its changes.

    A reader so slow that its snapshots were removed begins again.

    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if what it holds is corrupt.
    """
    failure = configuration_values.StoreError('not read')
    for _ in range(READ_TRIES):
        found = await read_head(client)
        if found.head is None or not found.head.revision:
            return Stored(None, found)
        try:
            return Stored(await _read_whole(client, found.head), found)
        except configuration_values.StoreError as fault:
            failure = fault
    raise failure


async def read_changes(
    client: platform.PlatformClient,
    above: int,
    up_to: int,
) -> list[changes.Change]:
    """Return the changes above a revision, in their order.

    :param above: The last revision not wanted.
    :param up_to: The last revision wanted.
    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if one is corrupt or no longer there.
    """
    if up_to - above > 2 * SNAPSHOT_CHANGES + 1:
        raise configuration_values.StoreError(
            f'revision {above} is too old for deltas'
        )
    pairs = await client.get_range(
        configuration_values.change_key(above + 1),
        configuration_values.change_key(up_to + 1),
        up_to - above,
    )
    found = [configuration_values.decode_change(pair) for pair in pairs]
    revisions = [one.revision for one in found]
    if revisions != list(range(above + 1, up_to + 1)):
        raise configuration_values.StoreError(
            f'changes {above + 1} to {up_to} are not all there'
        )
    return found


async def history(
    client: platform.PlatformClient,
    limit: int,
) -> list[changes.Change]:
    """Return the last changes, newest first.

    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if one is corrupt.
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
    """Return the change that made a revision, or None if it is not there.

    :raises platform.PlatformError: if the platform does not answer.
    :raises configuration_values.StoreError: if it is corrupt.
    """
    pair = await client.get(configuration_values.change_key(revision))
    return (
        configuration_values.decode_change(pair) if pair.mod_revision else None
    )


async def write(
    client: platform.PlatformClient,
    found: configuration_values.StoredHead,
    changed: configuration.Configuration,
    change: changes.Change,
) -> bool:
    """Accept a configuration if none came between.

    :param client: The platform.
    :param found: The head as read before.
    :param changed: The new configuration.
    :param change: Its delta and audit entry.
    :returns: Whether it was accepted.
    :raises configuration_values.TooLargeError: if a value is too large; nothing is written.
    :raises platform.PlatformError: if it is not known whether it was.
    """
    size_bytes = len(changed.text.encode())
    if size_bytes > configuration_values.MAX_TEXT_BYTES:
        raise configuration_values.TooLargeError(
            f'the rules are {size_bytes} bytes, the limit is {configuration_values.MAX_TEXT_BYTES}',
        )
    return await client.transact(
        [
            platform_messages.Compare(
                configuration_values.HEAD_KEY, found.mod_revision
            )
        ],
        _operations(found.head, changed, change),
    )


async def touch(
    client: platform.PlatformClient,
    found: configuration_values.StoredHead,
) -> bool:
    """Write the head as it is, so that no older transaction can succeed.

    :returns: Whether the head was as found until now.
    :raises platform.PlatformError: if that is not known.
    """
    head = found.head or configuration_values.Head(0, '', deltas.digest(''), [])
    value = msgspec.json.encode(head)
    return await client.compare_and_swap(
        configuration_values.HEAD_KEY, found.mod_revision, value
    )


async def _read_whole(
    client: platform.PlatformClient,
    head: configuration_values.Head,
) -> configuration.Configuration:
    failure = configuration_values.StoreError('no snapshot')
    for revision in reversed(head.snapshots):
        try:
            return await _read_from(client, head, revision)
        except configuration_values.StoreError as fault:
            failure = fault
    raise failure


async def _read_from(
    client: platform.PlatformClient,
    head: configuration_values.Head,
    snapshot: int,
) -> configuration.Configuration:
    found = await client.get(configuration_values.snapshot_key(snapshot))
    if not found.mod_revision:
        raise configuration_values.StoreError(
            f'snapshot {snapshot} is not there'
        )
    base = configuration_values.decode_snapshot(found.value)
    text = changes.RulesText(base.revision, base.text)
    try:
        for change in await read_changes(client, snapshot, head.revision):
            text = changes.advance(text, change)
    except deltas.DeltaError as fault:
        raise configuration_values.StoreError(str(fault)) from fault
    if deltas.digest(text.rules) != head.digest:
        raise configuration_values.StoreError(
            f'revision {head.revision}: wrong digest'
        )
    return configuration.Configuration(
        head.revision,
        head.change_id,
        text.rules,
    )


def _operations(
    head: configuration_values.Head | None,
    changed: configuration.Configuration,
    change: changes.Change,
) -> Operations:
    revision = changed.revision
    kept = list(head.snapshots) if head else []
    operations: Operations = []
    if _needs_snapshot(kept, change):
        kept.append(revision)
        value = configuration_values.encode_snapshot(changed)
        operations.append(
            configuration_values.put(
                configuration_values.snapshot_key(revision), value
            )
        )
    removed = kept[:-SNAPSHOTS_KEPT]
    kept = kept[-SNAPSHOTS_KEPT:]
    operations.extend(
        platform_messages.Delete(configuration_values.snapshot_key(old))
        for old in removed
    )
    if revision > CHANGES_KEPT:
        old_key = configuration_values.change_key(revision - CHANGES_KEPT)
        operations.append(platform_messages.Delete(old_key))
    next_head = configuration_values.Head(
        revision, changed.change_id, change.digest, kept
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


def _needs_snapshot(kept: list[int], change: changes.Change) -> bool:
    if change.edits is None or not kept:
        return True
    return change.revision - kept[-1] >= SNAPSHOT_CHANGES
