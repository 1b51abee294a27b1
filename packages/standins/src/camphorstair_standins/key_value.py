"""Stand-in for the key-value service, with the etcd v3 JSON gateway.

``python -m camphorstair_standins.key_value IP:port``
"""

import http
import sys
import typing

import attrs
import msgspec

from camphorstair_runtime import http_messages, http_server
from camphorstair_standins import serving


@attrs.define
class StoredValue:
    """A value, in base64, and the revision of its last change."""

    value: str
    mod_revision: int


@attrs.define
class Store:
    """All keys.

    :ivar revision: Revision of the last change.
    :ivar rows: Values by their key in base64.
    """

    revision: int = 0
    rows: dict[str, StoredValue] = attrs.field(factory=dict)

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one call."""
        payload = msgspec.json.decode(request.body or b'{}')
        if request.path == '/v3/kv/range':
            reply = self._range(payload)
        elif request.path == '/v3/kv/txn':
            reply = self._txn(payload)
        else:
            reply = {}
        reply['header'] = {'revision': str(self.revision)}
        await responder.respond(
            http_messages.json_response(http.HTTPStatus.OK, reply),
        )

    def _range(self, payload: dict[str, typing.Any]) -> dict[str, typing.Any]:
        key = payload['key']
        row = self.rows.get(key)
        if row is None:
            return {}
        pair = {
            'key': key,
            'value': row.value,
            'mod_revision': str(row.mod_revision),
        }
        return {'kvs': [pair], 'count': '1'}

    def _txn(self, payload: dict[str, typing.Any]) -> dict[str, typing.Any]:
        succeeded = all(map(self._holds, payload.get('compare', [])))
        branch = 'success' if succeeded else 'failure'
        operations = payload.get(branch, [])
        if operations:
            self.revision += 1
        for operation in operations:
            put = operation['request_put']
            self.rows[put['key']] = StoredValue(put['value'], self.revision)
        return {'succeeded': succeeded}

    def _holds(self, compare: dict[str, typing.Any]) -> bool:
        row = self.rows.get(compare['key'])
        found = row.mod_revision if row else 0
        return found == int(compare['mod_revision'])


if __name__ == '__main__':
    serving.run(sys.argv[1], Store().handle)
