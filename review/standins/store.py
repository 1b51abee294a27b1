"""The platform's store, as PROTOCOL.md describes it, in memory.

    python3 store.py IP:PORT

The operator, the runners and other writers write through ``/admin``:
``PUT /admin/KEY`` and ``DELETE /admin/KEY``. ``POST /admin/turn-away`` with a
JSON list of addresses lets the store turn these machines away: their calls
get no answer, and their connections are kept.
"""

import asyncio
import base64
import json
import sys
import time
from urllib import parse

import wire

PREFIX = '/camphorstair/kv-'
PAGE_ITEMS = 500
MAX_WAIT_MS = 30000


class Store:
    def __init__(self):
        self.revision = 1
        self.rows = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.turned_away = set()
        self.changed = asyncio.Event()

    def put(self, key, content, lease=0):
        self.revision += 1
        before = self.rows.get(key)
        row = {
            'Key': key,
            'Value': base64.b64encode(content).decode(),
            'Revision': self.revision,
            'CreatedAt': before['CreatedAt'] if before else self.revision,
            'LeaseId': lease,
        }
        self.rows[key] = row
        self._note(row)

    def remove(self, key):
        if self.rows.pop(key, None) is None:
            return
        self.revision += 1
        self._note({'Key': key, 'Revision': self.revision, 'Deleted': True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [
            k for k, row in self.rows.items() if row['LeaseId'] == lease
        ]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease, (_ttl_s, end_s) in list(self.leases.items()):
                if end_s <= now_s:
                    self.end_lease(lease)

    async def answer(self, request, writer, peer):
        path, _mark, query = request.target.partition('?')
        if path.startswith('/admin/'):
            status, body = self._admin(request, parse.unquote(path[7:]))
        else:
            if peer in self.turned_away:
                return await self._say_nothing(peer)
            fields = {k: v[0] for k, v in parse.parse_qs(query).items()}
            status, body = await self._call(
                path.removeprefix(PREFIX), fields, request
            )
            if peer in self.turned_away:
                return await self._say_nothing(peer)
        content = json.dumps(body).encode()
        head = [('Content-Type', 'application/json')]
        writer.write(wire.encode(f'HTTP/1.1 {status} x', head, content))
        await writer.drain()
        return True

    async def _say_nothing(self, peer):
        while peer in self.turned_away:
            await asyncio.sleep(0.05)
        return False

    def _admin(self, request, name):
        if name == 'turn-away':
            self.turned_away = set(json.loads(request.body))
            return 200, {}
        if request.first == 'PUT':
            self.put(name, request.body)
        else:
            self.remove(name)
        return 200, {'Revision': self.revision}

    async def _call(self, call, fields, request):
        if call == 'key':
            row = self.rows.get(fields['Key'])
            if row is None:
                return 404, {}
            return 200, {**row, 'At': self.revision}
        if call == 'range':
            return 200, self._range(fields)
        if call == 'watch':
            return 200, await self._watch(fields)
        body = json.loads(request.body or b'{}')
        if call == 'txn':
            return self._transact(body)
        if call == 'lease':
            self.next_lease += 1
            ttl_s = body['TtlMs'] / 1000
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'LeaseId': self.next_lease, 'TtlMs': body['TtlMs']}
        return self._change_lease(*call.split('/'))

    def _range(self, fields):
        keys = sorted(
            key
            for key in self.rows
            if key.startswith(fields.get('Prefix', ''))
            and key > fields.get('After', '')
        )
        return {
            'Items': [self.rows[key] for key in keys[:PAGE_ITEMS]],
            'HasMore': len(keys) > PAGE_ITEMS,
            'At': self.revision,
        }

    async def _watch(self, fields):
        after = int(fields['After'])
        wait_s = min(int(fields['WaitMs']), MAX_WAIT_MS) / 1000
        end_s = time.monotonic() + wait_s
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if event['Revision'] > after
                and event['Key'].startswith(fields.get('Prefix', ''))
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'At': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get('Precondition', ()):
            known = self.rows.get(row['Key'])
            if (known['Revision'] if known else 0) != row['Revision']:
                items = [
                    self.rows[wanted['Key']]
                    for wanted in body['Precondition']
                    if wanted['Key'] in self.rows
                ]
                return 412, {'Items': items}
        puts = body.get('PutItems', ())
        if any(
            p.get('LeaseId') and p['LeaseId'] not in self.leases for p in puts
        ):
            return 404, {}
        for put in puts:
            content = base64.b64decode(put['Value'])
            self.put(put['Key'], content, put.get('LeaseId', 0))
        for key in body.get('Remove', ()):
            self.remove(key)
        return 200, {'Revision': self.revision}

    def _change_lease(self, name, number):
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == 'lease-end':
            self.end_lease(lease)
            return 200, {}
        ttl_s, _end_s = self.leases[lease]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'TtlMs': round(ttl_s * 1000)}


async def main():
    store = Store()
    expiring = asyncio.create_task(store.expire())
    await wire.serve(sys.argv[1], store.answer)
    expiring.cancel()


if __name__ == '__main__':
    asyncio.run(main())
