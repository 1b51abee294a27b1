"""The platform's key-value service, by the etcd v3 JSON gateway."""

import base64
import http
import typing

import attrs
import curio
import msgspec

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
    """A value and the revision of its last change.

    :ivar value: The bytes; empty if the key is not there.
    :ivar mod_revision: The service's revision; 0 if the key is not there.
    :ivar key: The key.
    """

    value: bytes
    mod_revision: int
    key: str = ''


@attrs.define
class Lease:
    """A lease of the platform.

    :ivar ttl_s: Its time to live from the call that gave or renewed it.
    """

    lease_id: str
    ttl_s: float


@attrs.define
class Watch:
    """A waiting call that reports changes of a key.

    :ivar exchange: The open call.
    :ivar received: Bytes that are not yet a whole line.
    """

    exchange: http_client.Exchange
    received: bytearray = attrs.field(factory=bytearray)

    async def wait(self) -> KeyValue:
        """Return the next change.

        :raises PlatformError: if the watch is broken.
        """
        while True:
            line = await self._line()
            if line.report.canceled:
                raise PlatformError('the watch was cancelled')
            if line.report.events:
                return _key_value(line.report.events[-1].kv)

    async def close(self) -> None:
        """End the watch."""
        await self.exchange.close()

    async def _line(self) -> platform_messages.WatchLine:
        while b'\n' not in self.received:
            self.received.extend(await self._chunk())
        raw, _, rest = bytes(self.received).partition(b'\n')
        self.received = bytearray(rest)
        return _decoded(raw, platform_messages.WatchLine)

    async def _chunk(self) -> bytes:
        try:
            chunk = await self.exchange.read()
        except http_client.HttpError as error:
            raise PlatformError(f'watch: {error}') from error
        if chunk is None:
            raise PlatformError('the watch ended')
        return chunk


@attrs.define
class PlatformClient:
    """Calls to the key-value service.

    :ivar addresses: ``IP:port`` of its members, in the order tried.
    :ivar calls: Calls made so far; each counts at the platform.
    :ivar session: The connection that all calls but watches go over, if one
        is begun.
    """

    addresses: list[str]
    calls: int = 0
    session: platform_calls.Session | None = None

    async def begin_session(self) -> None:
        """Send the calls that follow over one connection, until it fails.

        :raises PlatformError: if no member answers.
        """
        await self.end_session()
        failure = PlatformError('no address', sent=False)
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
        """Send each call over a connection of its own again."""
        if self.session is not None:
            await platform_calls.end(self.session)
            self.session = None

    async def get(self, key: str) -> KeyValue:
        """Return the value of a key.

        :raises PlatformError: if no member answers.
        """
        payload = {'key': platform_messages.encode_key(key)}
        found = await self._range(payload)
        return found[0] if found else KeyValue(b'', 0, key)

    async def get_range(
        self,
        first: str,
        end: str,
        limit: int,
        *,
        newest_first: bool = False,
    ) -> list[KeyValue]:
        """Return the values of keys from one on and before another.

        :param first: The first key.
        :param end: The key after the last.
        :param limit: How many are returned at most.
        :param newest_first: Whether the highest keys come first.
        :raises PlatformError: if no member answers.
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
        """Write a value if its key was not changed since it was read.

        :param key: The key.
        :param mod_revision: The revision read; 0 if there was no value.
        :param value: The bytes to write.
        :returns: Whether it was written.
        :raises PlatformError: if no member answers; it may be written.
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
        """Do all operations if all conditions hold, or nothing.

        A call that a member may have received is not sent to the next one:
        its conditions would no longer hold and hide that it was done.

        :returns: Whether they were done.
        :raises PlatformError: if that is not known.
        """
        payload = platform_messages.txn_request(compares, operations)
        body = await self._call('/v3/kv/txn', payload, repeat=False)
        return _decoded(body, platform_messages.TxnReply).succeeded

    async def grant_lease(self, ttl_s: int) -> Lease:
        """Return a new lease.

        :param ttl_s: Its time to live.
        :raises PlatformError: if no member answers.
        """
        body = await self._call('/v3/lease/grant', {'TTL': str(ttl_s)})
        return _lease(_decoded(body, platform_messages.LeaseReply))

    async def renew_lease(self, lease_id: str) -> Lease:
        """Renew a lease; its time to live is 0 if it has lapsed.

        :raises PlatformError: if no member answers.
        """
        body = await self._call('/v3/lease/keepalive', {'ID': lease_id})
        reply = _decoded(body, platform_messages.KeepAliveReply)
        return _lease(reply.lease)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease; the keys written with it are removed.

        :raises PlatformError: if no member answers.
        """
        await self._call('/v3/lease/revoke', {'ID': lease_id})

    async def watch(self, key: str, start_revision: int) -> Watch:
        """Open a watch of a key; it counts as one call.

        :param start_revision: The first platform revision to report.
        :raises PlatformError: if no member answers.
        """
        create = {
            'key': platform_messages.encode_key(key),
            'start_revision': str(start_revision),
        }
        body = msgspec.json.encode({'create_request': create})
        headers = [('content-type', 'application/json')]
        request = http_messages.Request('POST', '/v3/watch', headers, body)
        failure = 'no address'
        for address in self.addresses:
            self.calls += 1
            try:
                return Watch(await _open(address, request))
            except (http_client.HttpError, curio.TaskTimeout) as error:
                failure = f'{address}: {error!r}'
        raise PlatformError(failure)

    async def _range(
        self, payload: platform_messages.Payload
    ) -> list[KeyValue]:
        body = await self._call('/v3/kv/range', payload)
        reply = _decoded(body, platform_messages.RangeReply)
        return [_key_value(raw) for raw in reply.kvs]

    async def _call(
        self,
        target: str,
        payload: platform_messages.Payload,
        *,
        repeat: bool = True,
    ) -> bytes:
        if self.session is not None:
            self.calls += 1
            return await platform_calls.call_in(self.session, target, payload)
        failure = PlatformError('no address', sent=False)
        for address in self.addresses:
            self.calls += 1
            try:
                return await platform_calls.call(address, target, payload)
            except PlatformError as error:
                failure = error
            if failure.sent and not repeat:
                break
        raise failure


async def _open(
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


def _decoded(body: bytes, kind: type[Reply]) -> Reply:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as fault:
        raise PlatformError(f'unreadable reply: {fault}') from fault


def _key_value(raw: platform_messages.RawKeyValue) -> KeyValue:
    key = base64.b64decode(raw.key).decode()
    return KeyValue(base64.b64decode(raw.value), int(raw.mod_revision), key)


def _lease(reply: platform_messages.LeaseReply) -> Lease:
    return Lease(reply.lease_id, float(reply.ttl_s))
