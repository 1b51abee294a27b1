"""Store of the fake key-value service: keys, leases and change history."""

import base64
import copy
import typing
from collections import abc

import attrs

Payload = dict[str, typing.Any]


@attrs.define
class StoredValue:
    """The value of a key.

    :ivar value: The value in base64.
    :ivar mod_revision: Revision of the last change of the key.
    :ivar lease_id: Lease whose end removes the key; empty if there is none.
    """

    value: str
    mod_revision: int
    lease_id: str = ''


@attrs.define
class StoredLease:
    """A lease.

    :ivar ttl_s: Time to live that each keep-alive request grants.
    :ivar deadline_s: Time on the store's clock at which the lease expires.
    """

    ttl_s: int
    deadline_s: float


@attrs.define
class Change:
    """A change of a key, as watches report it.

    :ivar key: The key in base64.
    :ivar value: The new value in base64; empty for a removal.
    :ivar revision: Revision of the store after the change.
    :ivar kind: ``PUT`` or ``DELETE``.
    """

    key: str
    value: str
    revision: int
    kind: str = 'PUT'


@attrs.define
class Store:
    """Contents of the key-value service.

    :ivar clock: Returns monotonic time in seconds; leases expire by it.
    :ivar revision: Current revision; each transaction with operations,
        each grant of a lease and each removal of a lease raises it by one.
    :ivar values_by_key: Values by key in base64.
    :ivar leases: Leases by identifier.
    :ivar changes: All changes since the start, oldest first.
    """

    clock: abc.Callable[[], float]
    revision: int = 0
    values_by_key: dict[str, StoredValue] = attrs.field(factory=dict)
    leases: dict[str, StoredLease] = attrs.field(factory=dict)
    changes: list[Change] = attrs.field(factory=list)


def restore(store: Store, older: Store) -> None:
    """Replace the contents by an older copy, as restoring a backup does."""
    copied = copy.deepcopy(older)
    store.revision = copied.revision
    store.values_by_key = copied.values_by_key
    store.leases = copied.leases
    store.changes = copied.changes


def expire(store: Store) -> None:
    """Remove the expired leases and the keys attached to them."""
    now_s = store.clock()
    expired_ids = [
        lease_id
        for lease_id, lease in store.leases.items()
        if lease.deadline_s <= now_s
    ]
    for lease_id in expired_ids:
        _remove_lease(store, lease_id)


def read_range(store: Store, payload: Payload) -> Payload:
    """Return the response to ``/v3/kv/range``.

    Keys are compared and sorted by their bytes, decoded from base64.
    """
    keys = _keys_in_range(store, payload)
    if payload.get('sort_order') == 'DESCEND':
        keys.reverse()
    limit = int(payload.get('limit', 0)) or len(keys)
    pairs = [_pair(key, store.values_by_key[key]) for key in keys[:limit]]
    return {'kvs': pairs, 'count': str(len(keys))} if pairs else {}


def transact(store: Store, payload: Payload) -> Payload:
    """Execute a transaction and return the response to ``/v3/kv/txn``."""
    succeeded = all(
        _comparison_holds(store, comparison)
        for comparison in payload.get('compare', [])
    )
    operations = payload.get('success' if succeeded else 'failure', [])
    if operations:
        store.revision += 1
    for operation in operations:
        _apply_operation(store, operation)
    return {'succeeded': succeeded}


def grant(store: Store, payload: Payload) -> Payload:
    """Create a lease and return the response to ``/v3/lease/grant``."""
    ttl_s = int(payload['TTL'])
    store.revision += 1
    lease_id = str(store.revision)
    store.leases[lease_id] = StoredLease(ttl_s, store.clock() + ttl_s)
    return {'ID': lease_id, 'TTL': str(ttl_s)}


def keep_alive(store: Store, payload: Payload) -> Payload:
    """Extend a lease and return the response to ``/v3/lease/keepalive``.

    The response to an unknown lease has a TTL of 0.
    """
    lease_id = payload['ID']
    lease = store.leases.get(lease_id)
    if lease is None:
        return {'result': {'ID': lease_id, 'TTL': '0'}}
    lease.deadline_s = store.clock() + lease.ttl_s
    return {'result': {'ID': lease_id, 'TTL': str(lease.ttl_s)}}


def revoke(store: Store, payload: Payload) -> Payload:
    """Remove a lease and return the response to ``/v3/lease/revoke``."""
    if payload['ID'] in store.leases:
        _remove_lease(store, payload['ID'])
    return {}


def changes_of(store: Store, key: str, first_revision: int) -> list[Change]:
    """Return the changes of a key at or after a revision, oldest first."""
    return [
        change
        for change in store.changes
        if change.key == key and change.revision >= first_revision
    ]


def event(change: Change) -> Payload:
    """Return a change in the format of a watch event."""
    pair = {
        'key': change.key,
        'value': change.value,
        'mod_revision': str(change.revision),
    }
    return {'type': change.kind, 'kv': pair}


def _keys_in_range(store: Store, payload: Payload) -> list[str]:
    first, end = payload['key'], payload.get('range_end')
    if end is None:
        return [first] if first in store.values_by_key else []
    low, high = _decoded(first), _decoded(end)
    selected = [
        key for key in store.values_by_key if low <= _decoded(key) < high
    ]
    return sorted(selected, key=_decoded)


def _decoded(key: str) -> bytes:
    return base64.b64decode(key)


def _pair(key: str, stored_value: StoredValue) -> Payload:
    return {
        'key': key,
        'value': stored_value.value,
        'mod_revision': str(stored_value.mod_revision),
    }


def _comparison_holds(store: Store, compare: Payload) -> bool:
    stored_value = store.values_by_key.get(compare['key'])
    mod_revision = stored_value.mod_revision if stored_value else 0
    return mod_revision == int(compare['mod_revision'])


def _apply_operation(store: Store, operation: Payload) -> None:
    removal = operation.get('request_delete_range')
    if removal is not None:
        _remove(store, removal['key'])
        return
    put = operation['request_put']
    key, value = put['key'], put['value']
    stored_value = StoredValue(value, store.revision, put.get('lease', ''))
    store.values_by_key[key] = stored_value
    store.changes.append(Change(key, value, store.revision))


def _remove(store: Store, key: str) -> None:
    if store.values_by_key.pop(key, None) is not None:
        store.changes.append(Change(key, '', store.revision, 'DELETE'))


def _remove_lease(store: Store, lease_id: str) -> None:
    store.leases.pop(lease_id)
    store.revision += 1
    for key, stored_value in list(store.values_by_key.items()):
        if stored_value.lease_id == lease_id:
            _remove(store, key)
