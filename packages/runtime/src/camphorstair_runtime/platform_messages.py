"""The requests and replies of the etcd v3 JSON gateway that are used here."""

import base64
import typing

import attrs
import msgspec

Payload = dict[str, typing.Any]


@attrs.define(frozen=True)
class Compare:
    """Condition of a transaction: a key has not changed since it was read.

    :ivar key: The key.
    :ivar mod_revision: The expected revision of the key's last change; 0 if
        the key must not exist.
    """

    key: str
    mod_revision: int


@attrs.define(frozen=True)
class Put:
    """A write in a transaction.

    :ivar key: The key.
    :ivar value: The bytes to write.
    :ivar lease_id: The lease that the key is attached to; the key is deleted
        when the lease ends. Empty for none.
    """

    key: str
    value: bytes
    lease_id: str = ''


@attrs.define(frozen=True)
class Delete:
    """A deletion of a key in a transaction."""

    key: str


@attrs.define
class RawKeyValue:
    """A key and its value, both in base64, as the gateway encodes them."""

    key: str = ''
    value: str = ''
    mod_revision: str = '0'


@attrs.define
class RangeReply:
    """Reply to a range read."""

    kvs: list[RawKeyValue] = attrs.field(factory=list)


@attrs.define
class TxnReply:
    """Reply to a transaction."""

    succeeded: bool = False


class LeaseReply(msgspec.Struct, rename={'lease_id': 'ID', 'ttl_s': 'TTL'}):
    """A lease; its time to live is 0 if it has expired.

    This is a msgspec structure, not an attrs class, because the fields are
    renamed to the gateway's names.
    """

    lease_id: str = '0'
    ttl_s: str = '0'


class KeepAliveReply(msgspec.Struct, rename={'lease': 'result'}):
    """Reply to a lease renewal: the first line of a stream."""

    lease: LeaseReply = msgspec.field(default_factory=LeaseReply)


@attrs.define
class WatchEvent:
    """A change of a watched key."""

    kv: RawKeyValue = attrs.field(factory=RawKeyValue)


@attrs.define
class WatchResult:
    """The changes and state reported by one line of a watch."""

    canceled: bool = False
    events: list[WatchEvent] = attrs.field(factory=list)


class WatchLine(msgspec.Struct, rename={'report': 'result'}):
    """A line of the stream of a watch."""

    report: WatchResult = msgspec.field(default_factory=WatchResult)


def encode(raw: bytes) -> str:
    """Return bytes in base64, as the gateway expects them."""
    return base64.b64encode(raw).decode()


def encode_key(key: str) -> str:
    """Return a key in base64, as the gateway expects it."""
    return encode(key.encode())


def txn_request(
    compares: list[Compare],
    operations: list[Put | Delete],
) -> Payload:
    """Return the request of a transaction.

    :param compares: The conditions, all of which must hold.
    :param operations: The operations that are applied if they hold.
    """
    return {
        'compare': [_encode_compare(compare) for compare in compares],
        'success': [_encode_operation(operation) for operation in operations],
    }


def _encode_compare(compare: Compare) -> Payload:
    return {
        'key': encode_key(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.mod_revision),
    }


def _encode_operation(operation: Put | Delete) -> Payload:
    key = encode_key(operation.key)
    if isinstance(operation, Delete):
        return {'request_delete_range': {'key': key}}
    put = {'key': key, 'value': encode(operation.value)}
    if operation.lease_id:
        put['lease'] = operation.lease_id
    return {'request_put': put}
