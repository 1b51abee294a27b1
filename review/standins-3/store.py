"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import copy
import json
import time
import urllib.parse

import http_io

PREFIX = '/camphorstair/kv-'
PAGE_ITEMS = 500


class Store:
    """Keys, leases and history of one store."""

    def __init__(self, host, port, clock=time.monotonic):
        """Start empty, in era 1."""
        self.clock = clock
        self.revision = 1
        self.rows = {}
        self.history = []
        self.leases = {}
        self.ttls = {}
        self.next_lease = 100
        self.era = 1
        self.news = asyncio.Event()
        self.server = http_io.Server(host, port, self.handle)

    # What the operator and the servers do.

    def put(self, key, content, lease=0):
        """Write a key."""
        self.revision += 1
        before = self.rows.get(key)
        created = before['CreatedAt'] if before else self.revision
        row = {
            'Key': key,
            'Value': base64.b64encode(content).decode(),
            'Revision': self.revision,
            'CreatedAt': created,
            'LeaseId': lease,
        }
        self.rows[key] = row
        self._note(dict(row))

    def remove(self, key):
        """Remove a key if it exists."""
        if self.rows.pop(key, None) is None:
            return
        self.revision += 1
        self._note({'Key': key, 'Revision': self.revision, 'Deleted': True})

    # The drill: a copy is taken, and later the store comes back from it.

    def take_copy(self):
        """Return a copy of all that the store holds."""
        return copy.deepcopy(
            (self.revision, self.rows, self.history, self.leases, self.ttls)
        )

    async def go_away(self):
        """Stop answering: connections are reset, new ones are refused."""
        await self.server.stop()

    async def come_back(self, taken=None):
        """Answer again, from a copy if one is given; then a new era begins."""
        if taken is not None:
            content = copy.deepcopy(taken)
            self.revision, self.rows, self.history = content[:3]
            self.leases, self.ttls = content[3:]
            self.era += 1
            self._wake()
        await self.server.start()

    # Calls.

    async def handle(self, request, writer):
        """Carry out and answer one call."""
        path, _mark, query = request.target.partition('?')
        if not path.startswith(PREFIX):
            writer.write(http_io.answer(404, []))
            return True
        call = path[len(PREFIX) :]
        fields = {
            name: found[0]
            for name, found in urllib.parse.parse_qs(
                query, keep_blank_values=True
            ).items()
        }
        self.expire()
        if call == 'watch':
            status, body = await self._watch(fields)
        else:
            raw = json.loads(request.body) if request.body else {}
            status, body = self._answer(call, fields, raw)
        headers = [
            ('Content-Type', 'application/json'),
            ('Store-Era', str(self.era)),
        ]
        writer.write(http_io.answer(status, headers, json.dumps(body).encode()))
        return True

    def _answer(self, call, fields, raw):
        if call == 'key':
            row = self.rows.get(fields['Key'])
            if row is None:
                return 404, {'At': self.revision}
            return 200, {**row, 'At': self.revision}
        if call == 'range':
            keys = sorted(
                key
                for key in self.rows
                if key.startswith(fields['Prefix'])
                and key > fields.get('After', '')
            )
            return 200, {
                'Items': [self.rows[key] for key in keys[:PAGE_ITEMS]],
                'HasMore': len(keys) > PAGE_ITEMS,
                'At': self.revision,
            }
        if call == 'lease':
            self.next_lease += 1
            ttl_s = max(1000, raw['TtlMs']) / 1000
            self.ttls[self.next_lease] = ttl_s
            self.leases[self.next_lease] = self.clock() + ttl_s
            return 200, {
                'LeaseId': self.next_lease,
                'TtlMs': round(ttl_s * 1000),
            }
        if call == 'txn':
            return self._transact(raw)
        name, _slash, number = call.partition('/')
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == 'keep':
            self.leases[lease] = self.clock() + self.ttls[lease]
        else:
            self._end_lease(lease)
        return 200, {}

    def _transact(self, raw):
        for condition in raw.get('Precondition', []):
            row = self.rows.get(condition['Key'])
            if (row['Revision'] if row else 0) != condition['Revision']:
                return 412, {'Items': [row] if row else []}
        puts = raw.get('PutItems', [])
        named = {put['LeaseId'] for put in puts if put.get('LeaseId')}
        if named - set(self.leases):
            return 404, {}
        for put in puts:
            if put['Key'].startswith(('op/', 'servers/')):
                return 403, {}
        for put in puts:
            content = base64.b64decode(put['Value'])
            self.put(put['Key'], content, put.get('LeaseId', 0))
        for key in raw.get('Remove', []):
            self.remove(key)
        return 200, {'Revision': self.revision}

    async def _watch(self, fields):
        after = int(fields['After'])
        deadline_s = self.clock() + int(fields['WaitMs']) / 1000
        era = self.era
        while True:
            self.expire()
            if era != self.era or after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event['Revision'] > after
                and event['Key'].startswith(fields['Prefix'])
            ]
            left_s = deadline_s - self.clock()
            if events or left_s <= 0:
                return 200, {'events': events, 'At': self.revision}
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), min(left_s, 0.1))
            except TimeoutError:
                continue

    def expire(self):
        """Remove the leases that have run out, and their keys."""
        now_s = self.clock()
        for lease, end_s in list(self.leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, row in list(self.rows.items()):
            if row['LeaseId'] == lease:
                self.remove(key)

    def _note(self, event):
        self.history.append(event)
        self._wake()

    def _wake(self):
        self.news.set()
