"""Fake key-value service with the interface of the etcd v3 JSON gateway.

``python -m camphorstair_standins.key_value IP:port``

A POST of a JSON object with fields of :class:`Faults` to ``/faults`` injects
these faults; fields that are left out have their defaults. Any request to
``/faults`` returns the numbers of calls and bytes so far, see :class:`Usage`.
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

_HANDLERS = types.MappingProxyType(
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
    """Injected faults.

    :ivar outage: Whether the service closes the connection of each call
        without executing it.
    :ivar delay_s: Delay before each call is executed.
    :ivar lost_answers: How many of the next transactions are executed without
        a response; their connections are closed.
    :ivar silent_watches: Whether watches stay open but report no changes.
    :ivar keep_copy: Whether to save a copy of the current store.
    :ivar restore_copy: Whether to restart from the saved copy, if there is
        one.
    """

    outage: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    silent_watches: bool = False
    keep_copy: bool = False
    restore_copy: bool = False


@attrs.define
class Usage:
    """Traffic so far, without that of ``/faults``.

    :ivar calls: Number of calls by path.
    :ivar received_bytes: Size of all request bodies.
    :ivar sent_bytes: Size of all response bodies and watch reports.
    """

    calls: dict[str, int] = attrs.field(factory=dict)
    received_bytes: int = 0
    sent_bytes: int = 0


def _new_store() -> key_value_store.Store:
    return key_value_store.Store(clocks.monotonic_s)


@attrs.define
class KeyValueService:
    """HTTP handler of the service, with fault injection.

    :ivar store: Current contents.
    :ivar faults: Faults in effect.
    :ivar usage: Traffic so far.
    :ivar saved_store: Saved copy of the store that a restart restores, or None.
    :ivar restarts: Number of simulated restarts.
    :ivar connections: Value of ``restarts`` at the first call of each
        connection, by its socket.
    """

    store: key_value_store.Store = attrs.field(factory=_new_store)
    faults: Faults = attrs.field(factory=Faults)
    usage: Usage = attrs.field(factory=Usage)
    saved_store: key_value_store.Store | None = None
    restarts: int = 0
    connections: weakref.WeakKeyDictionary[typing.Any, int] = attrs.field(
        factory=weakref.WeakKeyDictionary,
    )

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Respond to one call.

        :raises http_server.Disconnected: if a fault closes the connection.
        """
        if request.path == '/faults':
            await self._answer_faults(request, responder)
            return
        count = self.usage.calls.get(request.path, 0)
        self.usage.calls[request.path] = count + 1
        self.usage.received_bytes += len(request.body)
        self._disconnect_if_unavailable(responder)
        await curio.sleep(self.faults.delay_s)
        key_value_store.expire(self.store)
        payload = msgspec.json.decode(request.body or b'{}')
        if request.path == '/v3/watch':
            await self._watch(payload['create_request'], responder)
        else:
            await self._answer(request.path, payload, responder)

    def inject_faults(self, faults: Faults) -> None:
        """Replace the faults in effect.

        Saves or restores the copy if the new faults say so. Restoring counts
        as a restart: connections from before it are closed at their next call.
        """
        self.faults = faults
        if faults.keep_copy:
            self.saved_store = copy.deepcopy(self.store)
        if faults.restore_copy and self.saved_store is not None:
            key_value_store.restore(self.store, self.saved_store)
            self.restarts += 1

    def _disconnect_if_unavailable(
        self, responder: http_server.Responder
    ) -> None:
        """Close the connection in an outage, or if it predates a restart.

        :raises http_server.Disconnected: in these cases.
        """
        restarts_at_connect = self.connections.setdefault(
            responder.sock, self.restarts
        )
        if self.faults.outage or restarts_at_connect != self.restarts:
            raise http_server.Disconnected('outage')

    async def _answer(
        self,
        path: str,
        payload: dict[str, typing.Any],
        responder: http_server.Responder,
    ) -> None:
        reply = _HANDLERS[path](self.store, payload)
        if path == '/v3/kv/txn' and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise http_server.Disconnected(
                'injected fault: the response is lost'
            )
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
            self.inject_faults(msgspec.json.decode(request.body, type=Faults))
        status = http.HTTPStatus.OK
        await responder.respond(http_messages.json_response(status, self.usage))

    async def _watch(
        self,
        watch_request: dict[str, typing.Any],
        responder: http_server.Responder,
    ) -> None:
        start = int(
            watch_request.get('start_revision', self.store.revision + 1)
        )
        await responder.start(http.HTTPStatus.OK, [])
        await self._send_line(responder, {'created': True})
        while True:
            self._disconnect_if_unavailable(responder)
            key_value_store.expire(self.store)
            changes = key_value_store.changes_of(
                self.store, watch_request['key'], start
            )
            if changes and not self.faults.silent_watches:
                events = [key_value_store.event(change) for change in changes]
                await self._send_line(responder, {'events': events})
                start = changes[-1].revision + 1
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
