"""The platform's key-value service, by the etcd v3 JSON gateway."""

import base64
import http
import typing

import attrs
import curio
import msgspec

from camphorstair_runtime import http_client

CALL_LIMIT_S = 2.0


class PlatformError(Exception):
    """The platform did not answer; a write may have taken effect."""


@attrs.define
class KeyValue:
    """A value and the revision of its last change.

    :ivar value: The bytes; empty if the key is not there.
    :ivar mod_revision: The service's revision; 0 if the key is not there.
    """

    value: bytes
    mod_revision: int


@attrs.define
class _RawKeyValue:
    value: str = ''
    mod_revision: str = '0'


@attrs.define
class _RangeReply:
    kvs: list[_RawKeyValue] = attrs.field(factory=list)


@attrs.define
class _TxnReply:
    succeeded: bool = False


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


@attrs.define
class PlatformClient:
    """Calls to the key-value service.

    :ivar addresses: ``IP:port`` of its members, in the order tried.
    :ivar calls: Calls made so far; each counts at the platform.
    """

    addresses: list[str]
    calls: int = 0

    async def get(self, key: str) -> KeyValue:
        """Return the value of a key.

        :raises PlatformError: if no member answers.
        """
        payload = {'key': _encode(key.encode())}
        body = await self._call('/v3/kv/range', payload)
        reply = msgspec.json.decode(body, type=_RangeReply)
        if not reply.kvs:
            return KeyValue(b'', 0)
        raw = reply.kvs[0]
        return KeyValue(base64.b64decode(raw.value), int(raw.mod_revision))

    async def compare_and_swap(
        self,
        key: str,
        mod_revision: int,
        value: bytes,
    ) -> bool:
        """Write a value if its key was not changed since it was read.

        :param key: The key.
        :param mod_revision: The revision read; 0 if there was no value.
        :param value: The bytes to write.
        :returns: Whether it was written.
        :raises PlatformError: if no member answers; it may be written.
        """
        name = _encode(key.encode())
        compare = {
            'key': name,
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(mod_revision),
        }
        put = {'request_put': {'key': name, 'value': _encode(value)}}
        payload = {'compare': [compare], 'success': [put]}
        body = await self._call('/v3/kv/txn', payload)
        return msgspec.json.decode(body, type=_TxnReply).succeeded

    async def _call(self, target: str, payload: typing.Any) -> bytes:
        failure = 'no address'
        for address in self.addresses:
            self.calls += 1
            try:
                response = await curio.timeout_after(
                    CALL_LIMIT_S,
                    http_client.fetch_json,
                    address,
                    target,
                    payload,
                )
            except (http_client.HttpError, curio.TaskTimeout) as error:
                failure = f'{address}: {error!r}'
                continue
            if response.status == http.HTTPStatus.OK:
                return response.body
            failure = f'{address}: status {response.status}'
        raise PlatformError(failure)
