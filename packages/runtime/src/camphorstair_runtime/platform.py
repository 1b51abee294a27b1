"""Client of the platform's key-value service (etcd v3 JSON gateway)."""

import base64
import http
import typing

import attrs
import curio
import msgspec

from camphorstair_core import decoding
from camphorstair_runtime import (
    http_client,
    http_messages,
    platform_calls,
    platform_messages,
)

SESSION_KEY = 'camphorstair/session'

PlatformError = platform_calls.PlatformError
Reply = typing.TypeVar('Reply')


@attrs.define
class KeyValue:
    """A key with its value and the revision of its last change.

    :ivar value: The bytes; empty if the key does not exist.
    :ivar mod_revision: Revision of the store at the last change of the key; 0
        if the key does not exist.
    :ivar key: The key.
    """

    value: bytes
    mod_revision: int
    key: str = ''


@attrs.define
class Lease:
    """A lease of the platform.

    :ivar lease_id: The ID of the lease.
    :ivar ttl_s: Time to live, counted from the call that granted or renewed
        the lease; 0 if it has expired.
    """

    lease_id: str
    ttl_s: float


@attrs.define
class Watch:
    """An open watch, which streams the changes of a key.

    :ivar exchange: The HTTP exchange of the watch.
    :ivar received: Buffer of received bytes that are not yet decoded.
    """

    exchange: http_client.Exchange
    received: bytearray = attrs.field(factory=bytearray)

    async def wait(self) -> KeyValue:
        """Wait for a change and return the latest state of the key.

        Of several changes reported at once, only the last is returned.

        :raises PlatformError: if the watch fails, ends or is cancelled.
        """
        while True:
            line = await self._read_line()
            if line.report.canceled:
                raise PlatformError('the server cancelled the watch')
            if line.report.events:
                return _to_key_value(line.report.events[-1].kv)

    async def close(self) -> None:
        """End the watch."""
        await self.exchange.close()

    async def _read_line(self) -> platform_messages.WatchLine:
        while b'\n' not in self.received:
            self.received.extend(await self._read_chunk())
        raw, _, rest = bytes(self.received).partition(b'\n')
        self.received = bytearray(rest)
        return _decode(raw, platform_messages.WatchLine)

    async def _read_chunk(self) -> bytes:
        try:
            chunk = await self.exchange.read()
        except http_client.HttpError as error:
            raise PlatformError(f'watch: {error}') from error
        if chunk is None:
            raise PlatformError('the watch ended')
        return chunk


@attrs.define
class PlatformClient:
    """Client of the key-value service.

    Each call goes to the members in turn until one replies, and over its own
    connection, unless a session is open. A transaction goes no further than
    the first member that may have received it.

    :ivar addresses: ``IP:port`` of the members, in the order tried.
    :ivar calls: Number of calls made, including retries at other members; the
        platform counts each of them.
    :ivar session: The connection that all calls except watches use, or None
        if no session is open.
    """

    addresses: list[str]
    calls: int = 0
    session: platform_calls.Session | None = None

    async def begin_session(self) -> None:
        """Open a session: send all further calls over one connection.

        A session that fails is not replaced: later calls fail until it is
        ended.

        :raises PlatformError: if no member answers a first read.
        """
        await self.end_session()
        failure = PlatformError('no platform address', sent=False)
        for address in self.addresses:
            self.session = platform_calls.Session(address)
            try:
                await self.get(SESSION_KEY)
            except PlatformError as error:
                failure = error
                await self.end_session()
            else:
                return
        raise failure

    async def end_session(self) -> None:
        """Close the session, if any; each call then uses its own connection."""
        if self.session is not None:
            await platform_calls.end(self.session)
            self.session = None

    async def get(self, key: str) -> KeyValue:
        """Return the value of a key.

        :raises PlatformError: if the call fails.
        """
        payload = {'key': platform_messages.encode_key(key)}
        pairs = await self._range(payload)
        return pairs[0] if pairs else KeyValue(b'', 0, key)

    async def get_range(
        self,
        first: str,
        end: str,
        limit: int,
        *,
        newest_first: bool = False,
    ) -> list[KeyValue]:
        """Return the keys and values of a half-open range of keys.

        :param first: The first key of the range.
        :param end: The end of the range, exclusive.
        :param limit: Maximum number of keys returned.
        :param newest_first: Whether to sort keys in descending order, for
            keys that ascend with time.
        :raises PlatformError: if the call fails.
        """
        order = 'DESCEND' if newest_first else 'ASCEND'
        payload = {
            'key': platform_messages.encode_key(first),
            'range_end': platform_messages.encode_key(end),
            'limit': str(limit),
            'sort_order': order,
            'sort_target': 'KEY',
        }
        return await self._range(payload)

    async def compare_and_swap(
        self,
        key: str,
        mod_revision: int,
        value: bytes,
    ) -> bool:
        """Write a value if its key has not changed since it was read.

        :param key: The key.
        :param mod_revision: The expected revision of the key; 0 if the key
            must not exist.
        :param value: The bytes to write.
        :returns: Whether the value was written.
        :raises PlatformError: if the outcome is unknown; the value may have
            been written if ``sent`` is true.
        """
        compare = platform_messages.Compare(key, mod_revision)
        return await self.transact(
            [compare],
            [platform_messages.Put(key, value)],
        )

    async def transact(
        self,
        compares: list[platform_messages.Compare],
        operations: list[platform_messages.Put | platform_messages.Delete],
    ) -> bool:
        """Apply all operations atomically if all conditions hold.

        A transaction that a member may have received is not retried at the
        next member: if it was applied, its conditions no longer hold, and the
        retry would wrongly report that it was not.

        :param compares: The conditions.
        :param operations: The writes and removals.
        :returns: Whether the operations were applied.
        :raises PlatformError: if the outcome is unknown; the operations may
            have been applied if ``sent`` is true.
        """
        payload = platform_messages.txn_request(compares, operations)
        body = await self._call('/v3/kv/txn', payload, repeat=False)
        return _decode(body, platform_messages.TxnReply).succeeded

    async def grant_lease(self, ttl_s: int) -> Lease:
        """Create a lease.

        :param ttl_s: The time to live requested.
        :raises PlatformError: if the call fails.
        """
        body = await self._call('/v3/lease/grant', {'TTL': str(ttl_s)})
        return _to_lease(_decode(body, platform_messages.LeaseReply))

    async def renew_lease(self, lease_id: str) -> Lease:
        """Renew a lease.

        :returns: The lease; its time to live is 0 if it has expired.
        :raises PlatformError: if the call fails.
        """
        body = await self._call('/v3/lease/keepalive', {'ID': lease_id})
        reply = _decode(body, platform_messages.KeepAliveReply)
        return _to_lease(reply.lease)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes the keys attached to it.

        :raises PlatformError: if the call fails.
        """
        await self._call('/v3/lease/revoke', {'ID': lease_id})

    async def watch(self, key: str, start_revision: int) -> Watch:
        """Open a watch of a key, always on a connection of its own.

        It counts as one call for each member tried.

        :param key: The key.
        :param start_revision: The first revision of the store whose changes
            are reported.
        :raises PlatformError: if the call fails.
        """
        create = {
            'key': platform_messages.encode_key(key),
            'start_revision': str(start_revision),
        }
        body = msgspec.json.encode({'create_request': create})
        headers = [('content-type', 'application/json')]
        request = http_messages.Request('POST', '/v3/watch', headers, body)
        failure = 'no platform address'
        for address in self.addresses:
            self.calls += 1
            try:
                return Watch(await _open_stream(address, request))
            except (http_client.HttpError, curio.TaskTimeout) as error:
                failure = f'{address}: {error!r}'
        raise PlatformError(failure)

    async def _range(
        self, payload: platform_messages.Payload
    ) -> list[KeyValue]:
        body = await self._call('/v3/kv/range', payload)
        reply = _decode(body, platform_messages.RangeReply)
        return [_to_key_value(raw) for raw in reply.kvs]

    async def _call(
        self,
        target: str,
        payload: platform_messages.Payload,
        *,
        repeat: bool = True,
    ) -> bytes:
        if self.session is not None:
            self.calls += 1
            return await platform_calls.call_in_session(
                self.session, target, payload
            )
        failure = PlatformError('no platform address', sent=False)
        for address in self.addresses:
            self.calls += 1
            try:
                return await platform_calls.call(address, target, payload)
            except PlatformError as error:
                failure = error
            if failure.sent and not repeat:
                break
        raise failure


async def _open_stream(
    address: str,
    request: http_messages.Request,
) -> http_client.Exchange:
    exchange = await curio.timeout_after(
        platform_calls.CALL_LIMIT_S,
        http_client.open_exchange,
        address,
        request,
    )
    if exchange.status != http.HTTPStatus.OK:
        await exchange.close()
        message = f'status {exchange.status}'
        raise http_client.HttpError(message, sent=True)
    return exchange


def _decode(body: bytes, kind: type[Reply]) -> Reply:
    try:
        return decoding.from_json(body, kind)
    except decoding.FormatError as error:
        raise PlatformError(f'invalid reply: {error}') from error


def _to_key_value(raw: platform_messages.RawKeyValue) -> KeyValue:
    try:
        key = base64.b64decode(raw.key).decode()
        content = base64.b64decode(raw.value)
        revision = decoding.whole_number(raw.mod_revision)
    except ValueError as error:
        raise PlatformError(f'invalid key-value pair: {error}') from error
    return KeyValue(content, revision, key)


def _to_lease(reply: platform_messages.LeaseReply) -> Lease:
    return Lease(reply.lease_id, float(reply.ttl_s))
