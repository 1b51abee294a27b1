"""A process's copy of the store's content, and what follows from an update.

Positions in the store are pairs of era and revision. The era rises when the
store comes back from an older copy of itself. It has then lost its latest
changes and gives out their revisions again, so a revision says nothing without
its era.

After such a return the owners write their keys again, within seconds. Until
then, a key that is missing keeps its last value, and a key that comes back with
another value, or that had been removed, does not change what is known: the
store may show an endpoint that has left, or a data centre in service that was
taken out.
"""

from collections import abc

import attrs

# Time in which the owners of keys write them again after the store's return.
RETURN_LIMIT_S = 2.5
# Time after which a value that the store has brought back counts as current. A
# registration whose owner is gone is removed before that.
RESTORED_LIMIT_S = 6.0
# How long a removal is remembered: longer than a copy of the store is old.
REMOVAL_MEMORY_S = 60.0
# Keys whose latest change is kept for processes that follow this copy. The
# values are those of the copy itself, so they take no more memory.
MAX_CHANGES = 2000
# Most bytes that all values in a copy may have.
MAX_KEPT_BYTES = 33_554_432


@attrs.frozen
class Item:
    """A key of the store with its value.

    :ivar key: The key.
    :ivar content: The value; None if the key was removed.
    :ivar revision: Revision of the key's last change.
    :ivar lease: Identifier of the lease to which the key is attached; 0 if
        none.
    """

    key: str
    content: bytes | None
    revision: int
    lease: int = 0


@attrs.frozen
class Update:
    """All keys, or changes to them, up to a position.

    :ivar era: The era of the store.
    :ivar revision: Revision after which the next update starts.
    :ivar rows: The keys or changes, the older ones of a key first.
    :ivar whole: Whether the rows are all keys, so that others do not exist.
    """

    era: int
    revision: int
    rows: tuple[Item, ...]
    whole: bool


@attrs.define
class _Deferred:
    """A change that the store's return has brought.

    :ivar row: The change.
    :ivar deadline_s: When it is applied, unless the key is written before.
    :ivar before: The key as it counts until then.
    """

    row: Item
    deadline_s: float
    before: Item


@attrs.frozen
class UnsettledKey:
    """A key whose change by the store's return is deferred.

    :ivar before: The key as it counts until then.
    :ivar revision: Revision of its value in the store; 0 if it does not exist
        there.
    """

    before: Item
    revision: int


@attrs.define(eq=False)
class StoreCopy:
    """The content of the store as far as it was read.

    :ivar at_once: Whether a change from one value of a key to another is
        applied without delay after a return of the store, because no harm is
        done if the store has only brought back an older value. The first value
        is None if the key had been removed.
    :ivar era: The latest era seen.
    :ivar rows_era: The era of ``rows``; less than any before the first update.
    :ivar revision: Up to which revision the content was read; None before the
        first update, and when all keys must be read again.
    :ivar rows: The keys that exist in the store.
    :ivar read_s: When the keys were read for the first time; None before.
    :ivar removed_s: When each key that was removed recently was removed.
    :ivar changes: The latest change of each key that changed recently, the
        oldest change first.
    :ivar complete_after: Revision after which ``changes`` lacks no key.
    :ivar deferred: Changes that wait for their owners, by key.
    :ivar kept_bytes: Size of all values in ``rows``.
    """

    at_once: abc.Callable[[Item | None, Item], bool]
    era: int = 0
    rows_era: int = -1
    revision: int | None = None
    rows: dict[str, Item] = attrs.field(factory=dict)
    read_s: float | None = None
    removed_s: dict[str, float] = attrs.field(factory=dict)
    changes: dict[str, Item] = attrs.field(factory=dict)
    complete_after: int = 0
    deferred: dict[str, _Deferred] = attrs.field(factory=dict)
    kept_bytes: int = 0


def take(store_copy: StoreCopy, update: Update, now_s: float) -> list[Item]:
    """Bring a copy up to date.

    An update of an earlier era, or of a position that the copy has passed,
    changes nothing. Changes of a later era are of no use without all keys, so
    they only note the era.

    :param store_copy: The copy.
    :param update: The update.
    :param now_s: The current time.
    :returns: The changes to apply now.
    """
    if update.era < store_copy.era:
        return []
    if update.era > store_copy.rows_era:
        return _take_new_era(store_copy, update, now_s)
    if update.revision < (store_copy.revision or 0):
        return []
    rows = list(update.rows)
    if update.whole:
        rows.extend(_missing(store_copy, update))
    recorded = (_record(store_copy, row, now_s) for row in rows)
    changed = [row for row in recorded if row is not None]
    if store_copy.revision is None and update.whole:
        store_copy.complete_after = update.revision
    store_copy.revision = update.revision
    for row in changed:
        store_copy.deferred.pop(row.key, None)
    return changed


def due(store_copy: StoreCopy, now_s: float) -> list[Item]:
    """Return the deferred changes whose owners did not write in time."""
    expired = [
        deferred.row
        for deferred in store_copy.deferred.values()
        if deferred.deadline_s <= now_s
    ]
    for row in expired:
        store_copy.deferred.pop(row.key)
    return expired


def unsettled(store_copy: StoreCopy) -> tuple[UnsettledKey, ...]:
    """Return the keys whose changes by the store's return are deferred."""
    return tuple(
        UnsettledKey(
            deferred.before,
            0 if deferred.row.content is None else deferred.row.revision,
        )
        for deferred in store_copy.deferred.values()
    )


def take_over(
    store_copy: StoreCopy, keys: abc.Iterable[UnsettledKey], now_s: float
) -> list[Item]:
    """Defer what is deferred at another process, which knew the keys before.

    Keys that were written since are left as they are.

    :param store_copy: The copy of a process that has just read all keys.
    :param keys: The unsettled keys of the other process in the same era.
    :param now_s: The current time.
    :returns: The changes to apply now.
    """
    applied = []
    for key in keys:
        before = key.before
        missing = Item(before.key, None, 0)
        row = store_copy.rows.get(before.key, missing)
        if row.revision == key.revision:
            _defer(store_copy, row, before, now_s)
            applied.append(before)
    return applied


def read_again(store_copy: StoreCopy) -> None:
    """Note that changes were missed, so that all keys must be read."""
    store_copy.revision = None
    store_copy.changes.clear()


def drop_value(store_copy: StoreCopy, key: str) -> None:
    """Keep a key without its value, which this process can't use.

    Processes that follow this copy get an empty value, which is unusable too.
    """
    row = store_copy.rows.get(key)
    if row is None or not row.content:
        return
    store_copy.kept_bytes -= len(row.content)
    without = attrs.evolve(row, content=b'')
    store_copy.rows[key] = without
    if store_copy.changes.get(key) is row:
        store_copy.changes[key] = without


def updates_since(
    store_copy: StoreCopy, era: int, revision: int, prefixes: tuple[str, ...]
) -> Update | None:
    """Return what a process that follows this copy lacks.

    :param store_copy: The copy.
    :param era: The era that the process knows.
    :param revision: The revision up to which it knows the content; 0 if it
        knows nothing.
    :param prefixes: The keys that it follows.
    :returns: None while the copy itself is not complete.
    """
    if store_copy.revision is None:
        return None
    known = era == store_copy.era and revision >= store_copy.complete_after
    rows: abc.Iterable[Item] = store_copy.rows.values()
    if known and revision:
        changes = store_copy.changes.values()
        rows = (row for row in changes if row.revision > revision)
    return Update(
        store_copy.era,
        store_copy.revision,
        tuple(row for row in rows if row.key.startswith(prefixes)),
        whole=not (known and revision),
    )


def _take_new_era(
    store_copy: StoreCopy, update: Update, now_s: float
) -> list[Item]:
    """Replace the keys by those of a later era; defer what they change."""
    store_copy.era = update.era
    read_again(store_copy)
    if not update.whole:
        return []
    known = store_copy.rows
    store_copy.rows_era = update.era
    store_copy.rows = {}
    store_copy.kept_bytes = 0
    for listed_row in update.rows:
        _keep(store_copy, listed_row)
    listed = store_copy.rows
    store_copy.revision = update.revision
    store_copy.complete_after = update.revision
    changed = [
        row
        for row in listed.values()
        if row.key not in known or known[row.key].content != row.content
    ]
    missing = [
        Item(key, None, update.revision) for key in known if key not in listed
    ]
    applied = [
        row
        for row in changed
        if _is_new(store_copy, known, row, now_s)
        or store_copy.at_once(known.get(row.key), row)
    ]
    if store_copy.read_s is None:
        store_copy.read_s = now_s
    deferred = [row for row in changed if row not in applied]
    for row in missing + deferred:
        before = known.get(row.key) or Item(row.key, None, row.revision)
        _defer(store_copy, row, before, now_s)
    return applied


def _is_new(
    store_copy: StoreCopy, known: dict[str, Item], row: Item, now_s: float
) -> bool:
    """Return whether a key was neither known nor removed before.

    A copy that was begun shortly before the store's return does not know what
    was removed before that, and then takes no key for new.
    """
    if store_copy.read_s is None:
        return True
    if now_s - store_copy.read_s < REMOVAL_MEMORY_S:
        return False
    return row.key not in known and row.key not in store_copy.removed_s


def _defer(
    store_copy: StoreCopy, row: Item, before: Item, now_s: float
) -> None:
    """Defer a change until its owner should have written the key again."""
    limit_s = RETURN_LIMIT_S if row.content is None else RESTORED_LIMIT_S
    store_copy.deferred[row.key] = _Deferred(row, now_s + limit_s, before)


def _missing(store_copy: StoreCopy, update: Update) -> list[Item]:
    """Return removals of the keys that an update of all keys lacks."""
    listed = {row.key for row in update.rows}
    return [
        Item(key, None, update.revision)
        for key in store_copy.rows
        if key not in listed
    ]


def _record(store_copy: StoreCopy, row: Item, now_s: float) -> Item | None:
    """Record a change unless it or a later one of the key was recorded.

    :returns: The change as it is kept; None if it was not recorded.
    """
    before = store_copy.rows.get(row.key)
    if before is not None and row.revision <= before.revision:
        return None
    if row.content is None:
        if before is None:
            return None
        _forget(store_copy, row.key)
        _note_removal(store_copy, row.key, now_s)
    else:
        row = _keep(store_copy, row)
        store_copy.removed_s.pop(row.key, None)
    store_copy.changes.pop(row.key, None)
    store_copy.changes[row.key] = row
    if len(store_copy.changes) > MAX_CHANGES:
        oldest = store_copy.changes.pop(next(iter(store_copy.changes)))
        store_copy.complete_after = oldest.revision
    return row


def _keep(store_copy: StoreCopy, row: Item) -> Item:
    """Keep a key with its value, or without it if all are too much.

    :returns: The key as it is kept.
    """
    _forget(store_copy, row.key)
    size_bytes = len(row.content or b'')
    if store_copy.kept_bytes + size_bytes > MAX_KEPT_BYTES:
        row = attrs.evolve(row, content=b'')
        size_bytes = 0
    store_copy.kept_bytes += size_bytes
    store_copy.rows[row.key] = row
    return row


def _forget(store_copy: StoreCopy, key: str) -> None:
    row = store_copy.rows.pop(key, None)
    if row is not None:
        store_copy.kept_bytes -= len(row.content or b'')


def _note_removal(store_copy: StoreCopy, key: str, now_s: float) -> None:
    """Remember a removal and forget those of long ago."""
    removed_s = store_copy.removed_s
    removed_s.pop(key, None)
    removed_s[key] = now_s
    oldest = next(iter(removed_s))
    while now_s - removed_s[oldest] >= REMOVAL_MEMORY_S:
        removed_s.pop(oldest)
        oldest = next(iter(removed_s))
