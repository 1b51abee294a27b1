"""Stand-in for the key-value service, with the etcd v3 JSON gateway.

``python -m camphorstair_standins.key_value IP:port``

Tests bring about its faults by a POST of the fields of :class:`Faults` to
``/faults``; the fields left out are as at the start. ``GET /faults`` returns
the calls and bytes so far.
"""

import copy
import http
import sys
import types
import typing
import weakref

import attrs
import curio
import msgspec

from camphorstair_runtime import clocks, http_messages, http_server
from camphorstair_standins import key_value_store, serving

WATCH_INTERVAL_S = 0.02

_ENDPOINTS = types.MappingProxyType(
    {
        '/v3/kv/range': key_value_store.read_range,
        '/v3/kv/txn': key_value_store.transact,
        '/v3/lease/grant': key_value_store.grant,
        '/v3/lease/keepalive': key_value_store.keep_alive,
        '/v3/lease/revoke': key_value_store.revoke,
    },
)


@attrs.define
class Faults:
    """What goes wrong.

    :ivar outage: Whether each call ends without an answer, unexecuted.
    :ivar delay_s: Delay of each answer.
    :ivar lost_answers: How many transactions to come are done unanswered.
    :ivar silent_watches: Whether watches stay open and report nothing.
    :ivar keep_copy: Whether to keep a copy of the present state.
    :ivar restore_copy: Whether to take over the kept copy.
    """

    outage: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    silent_watches: bool = False
    keep_copy: bool = False
    restore_copy: bool = False


@attrs.define
class Usage:
    """Calls and bytes of bodies so far, by path."""

    calls: dict[str, int] = attrs.field(factory=dict)
    received_bytes: int = 0
    sent_bytes: int = 0


def _new_store() -> key_value_store.Store:
    return key_value_store.Store(clocks.monotonic_s)


@attrs.define
class KeyValueService:
    """The service with its faults.

    :ivar kept: The copy that a restart may take over.
    :ivar restarts: Restarts so far.
    :ivar connections: The number of restarts when each connection began.
    """

    store: key_value_store.Store = attrs.field(factory=_new_store)
    faults: Faults = attrs.field(factory=Faults)
    usage: Usage = attrs.field(factory=Usage)
    kept: key_value_store.Store | None = None
    restarts: int = 0
    connections: weakref.WeakKeyDictionary[typing.Any, int] = attrs.field(
        factory=weakref.WeakKeyDictionary,
    )

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one call."""
        if request.path == '/faults':
            await self._answer_faults(request, responder)
            return
        count = self.usage.calls.get(request.path, 0)
        self.usage.calls[request.path] = count + 1
        self.usage.received_bytes += len(request.body)
        self._refuse_ended(responder)
        await curio.sleep(self.faults.delay_s)
        key_value_store.expire(self.store)
        payload = msgspec.json.decode(request.body or b'{}')
        if request.path == '/v3/watch':
            await self._watch(payload['create_request'], responder)
        else:
            await self._answer(request.path, payload, responder)

    def bring_about(self, faults: Faults) -> None:
        """Bring about faults, or end them."""
        self.faults = faults
        if faults.keep_copy:
            self.kept = copy.deepcopy(self.store)
        if faults.restore_copy and self.kept is not None:
            key_value_store.restore(self.store, self.kept)
            self.restarts += 1

    def _refuse_ended(self, responder: http_server.Responder) -> None:
        """End a connection in an outage, or after a restart."""
        began = self.connections.setdefault(responder.sock, self.restarts)
        if self.faults.outage or began != self.restarts:
            raise http_server.Disconnected('outage')

    async def _answer(
        self,
        path: str,
        payload: dict[str, typing.Any],
        responder: http_server.Responder,
    ) -> None:
        reply = _ENDPOINTS[path](self.store, payload)
        if path == '/v3/kv/txn' and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise http_server.Disconnected('the answer is lost')
        reply['header'] = {'revision': str(self.store.revision)}
        response = http_messages.json_response(http.HTTPStatus.OK, reply)
        self.usage.sent_bytes += len(response.body)
        await responder.respond(response)

    async def _answer_faults(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        if request.body:
            self.bring_about(msgspec.json.decode(request.body, type=Faults))
        status = http.HTTPStatus.OK
        await responder.respond(http_messages.json_response(status, self.usage))

    async def _watch(
        self,
        create: dict[str, typing.Any],
        responder: http_server.Responder,
    ) -> None:
        start = int(create.get('start_revision', self.store.revision + 1))
        await responder.start(http.HTTPStatus.OK, [])
        await self._send_line(responder, {'created': True})
        while True:
            self._refuse_ended(responder)
            key_value_store.expire(self.store)
            found = key_value_store.changes_of(self.store, create['key'], start)
            if found and not self.faults.silent_watches:
                events = [key_value_store.event(change) for change in found]
                await self._send_line(responder, {'events': events})
                start = found[-1].revision + 1
            await curio.sleep(WATCH_INTERVAL_S)

    async def _send_line(
        self,
        responder: http_server.Responder,
        report: dict[str, typing.Any],
    ) -> None:
        line = msgspec.json.encode({'result': report})
        self.usage.sent_bytes += len(line)
        await responder.send(b''.join((line, b'\n')))


if __name__ == '__main__':
    serving.run(sys.argv[1], KeyValueService().handle)
