"""Requests and replies of the etcd v3 JSON gateway that the product uses."""

import base64
import typing

import attrs
import msgspec

Payload = dict[str, typing.Any]


@attrs.define(frozen=True)
class Compare:
    """Condition of a transaction: a key was not changed since it was read.

    :ivar mod_revision: The revision read; 0 if the key was not there.
    """

    key: str
    mod_revision: int


@attrs.define(frozen=True)
class Put:
    """Write of a transaction.

    :ivar lease_id: The lease that the key ends with; empty for none.
    """

    key: str
    value: bytes
    lease_id: str = ''


@attrs.define(frozen=True)
class Delete:
    """Removal of a key in a transaction."""

    key: str


@attrs.define
class RawKeyValue:
    """A key with its value, both in base64."""

    key: str = ''
    value: str = ''
    mod_revision: str = '0'


@attrs.define
class RangeReply:
    """Reply to a read."""

    kvs: list[RawKeyValue] = attrs.field(factory=list)


@attrs.define
class TxnReply:
    """Reply to a transaction."""

    succeeded: bool = False


class LeaseReply(msgspec.Struct, rename={'lease_id': 'ID', 'ttl_s': 'TTL'}):
    """A lease; the time to live is 0 if it has lapsed.

    A structure of msgspec, for the gateway's names of fields.
    """

    lease_id: str = '0'
    ttl_s: str = '0'


class KeepAliveReply(msgspec.Struct, rename={'lease': 'result'}):
    """Reply to a renewal, as the first line of a stream."""

    lease: LeaseReply = msgspec.field(default_factory=LeaseReply)


@attrs.define
class WatchEvent:
    """A change of a watched key."""

    kv: RawKeyValue = attrs.field(factory=RawKeyValue)


@attrs.define
class WatchResult:
    """A part of a watch's stream."""

    canceled: bool = False
    events: list[WatchEvent] = attrs.field(factory=list)


class WatchLine(msgspec.Struct, rename={'report': 'result'}):
    """A line of a watch's stream."""

    report: WatchResult = msgspec.field(default_factory=WatchResult)


def encode(raw: bytes) -> str:
    """Return bytes as the gateway takes them."""
    return base64.b64encode(raw).decode()


def encode_key(key: str) -> str:
    """Return a key as the gateway takes it."""
    return encode(key.encode())


def txn_request(
    compares: list[Compare],
    operations: list[Put | Delete],
) -> Payload:
    """Return the request of a transaction.

    :param compares: All must hold.
    :param operations: What is done if they hold.
    """
    return {
        'compare': [_compare(compare) for compare in compares],
        'success': [_operation(operation) for operation in operations],
    }


def _compare(compare: Compare) -> Payload:
    return {
        'key': encode_key(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.mod_revision),
    }


def _operation(operation: Put | Delete) -> Payload:
    key = encode_key(operation.key)
    if isinstance(operation, Delete):
        return {'request_delete_range': {'key': key}}
    put = {'key': key, 'value': encode(operation.value)}
    if operation.lease_id:
        put['lease'] = operation.lease_id
    return {'request_put': put}
