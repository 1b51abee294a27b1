"""Stand-ins for a small deployment: a store, plain runners, callers, entries.

The entries are the project's own program, started as the deploy file says.
Everything else runs in the process of the test, on loopback addresses. Only the
standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
READ_BYTES = 65536
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 8,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'MaxSkewMs': 5000,
    'RevokeFailClosed': True,
    'RevokeMs': 5000,
    'RetryBudgetRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 88,
    'ColdOver': 1.5,
    'ColdSlack': 5,
    'EvacMs': 5000,
    'RecoverS': 12,
    'PassMs': 120,
    'RetryAfterS': 0,
    'stall_ms': 1500,
    'FencingRequired': False,
    'ttl_max_s': 5,
}
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 4194304,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self.start_s = time.monotonic()

    def note(self, text):
        now_s = time.monotonic() - self.start_s
        os.write(self.file, f'{now_s:8.3f} {text}\n'.encode())


class Closed(Exception):
    """The connection ended or broke."""


async def read_head(reader):
    """Return the first line and the headers of a message, names lower case."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(repr(error)) from error
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    pairs = [line.split(':', 1) for line in lines]
    return first, {name.lower(): text.strip() for name, text in pairs}


async def read_body(reader, headers):
    """Return a body with a length, in chunks, or up to the connection's end."""
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = b''
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    return body
        return await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(repr(error)) from error


def message(first, headers, body=b''):
    lines = [first, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's store, as PROTOCOL.md describes it.

    ``turned_away`` holds the doors whose calls are answered 503, ``cut_off``
    those that are cut off. Each entry is told a door of its own, a port of the
    store.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.era = 1
        self.rows = {}
        self.leases = {}
        self.history = []
        self.oldest = 1
        self.next_lease = 1000
        self.turned_away = set()
        self.cut_off = set()
        self.channels = {}
        self.away = False
        self.changed = asyncio.Event()
        self.servers = []

    async def open_door(self, name):
        """Return ``IP:port`` at which one machine reaches the store."""

        async def serve(reader, writer):
            await self._serve(name, reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def put(self, key, content, lease=0):
        self.revision += 1
        created = (
            self.rows[key]['CreatedAt'] if key in self.rows else self.revision
        )
        self.rows[key] = {
            'Key': key,
            'Value': base64.b64encode(content).decode(),
            'Revision': self.revision,
            'CreatedAt': created,
            'LeaseId': lease,
        }
        self._note_change(self.rows[key])
        return self.revision

    def remove(self, key):
        if self.rows.pop(key, None) is not None:
            self.revision += 1
            self._note_change(
                {'Key': key, 'Revision': self.revision, 'Deleted': True}
            )

    def copy(self):
        """Return a copy of the content, to come back from later."""
        return json.dumps([self.revision, self.rows, self.leases])

    def come_back(self, copied):
        """Come back from a copy: a new era, without what was written since."""
        self.revision, self.rows, leases = json.loads(copied)
        now_s = time.monotonic()
        self.leases = {
            int(lease): (ttl_s, now_s + ttl_s)
            for lease, (ttl_s, _end_s) in leases.items()
        }
        self.history = []
        self.oldest = self.revision
        self.era += 1

    def _note_change(self, event):
        now_s = time.monotonic()
        self.history.append((now_s, event))
        while self.history and self.history[0][0] < now_s - HISTORY_S:
            self.oldest = self.history.pop(0)[1]['Revision']
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now_s = time.monotonic()
        for lease, (_ttl_s, end_s) in list(self.leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, r in self.rows.items() if r['LeaseId'] == lease]:
            self.remove(key)

    def cut(self, door):
        """Cut a machine off: its channels are reset, new ones are as well."""
        self.cut_off.add(door)
        for writer in list(self.channels.get(door, ())):
            writer.transport.abort()

    async def _serve(self, door, reader, writer):
        if door in self.cut_off:
            writer.transport.abort()
            return
        self.channels.setdefault(door, set()).add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _version = first.split(' ')
                if self.away:
                    break
                if door in self.turned_away:
                    status, answer = 503, {}
                else:
                    status, answer = await self._answer(method, target, body)
                if self.away:
                    break
                writer.write(
                    message(
                        f'HTTP/1.1 {status} -',
                        [
                            ('Content-Type', 'application/json'),
                            ('Store-Era', self.era),
                        ],
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            self.channels[door].discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        path, _mark, query = target.partition('?')
        call = path.removeprefix('/camphorstair/kv-')
        given = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        sent = json.loads(body) if body else {}
        self._expire()
        if call == 'watch':
            return await self._watch(given)
        if call == 'key':
            row = self.rows.get(given['Key'])
            return (200, {**row, 'At': self.revision}) if row else (404, {})
        if call == 'range':
            return 200, self._range(given)
        if call == 'lease':
            self.next_lease += 1
            ttl_s = sent['TtlMs'] / 1000
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'LeaseId': self.next_lease, 'TtlMs': sent['TtlMs']}
        if call == 'txn':
            return self._transact(sent)
        name, _slash, lease = call.partition('/')
        lease = int(lease)
        if lease not in self.leases:
            return 404, {}
        if name == 'keep':
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'TtlMs': round(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _range(self, given):
        keys = sorted(
            key
            for key in self.rows
            if key.startswith(given['Prefix']) and key > given.get('After', '')
        )
        items, size = [], 0
        for key in keys:
            size += len(self.rows[key]['Value'])
            if items and (len(items) >= 500 or size > 1 << 20):
                break
            items.append(self.rows[key])
        more = len(items) < len(keys)
        return {'Items': items, 'HasMore': more, 'At': self.revision}

    async def _watch(self, given):
        after = int(given['After'])
        end_s = time.monotonic() + int(given['WaitMs']) / 1000
        while not self.away:
            if after > self.revision or after < self.oldest:
                return 410, {}
            self._expire()
            events = [
                event
                for _at, event in self.history
                if event['Revision'] > after
                and event['Key'].startswith(given['Prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'At': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left_s, 0.1))
            except TimeoutError:
                pass
        return 503, {}

    def _transact(self, sent):
        for row in sent.get('Precondition', []):
            held = self.rows.get(row['Key'])
            if (held['Revision'] if held else 0) != row['Revision']:
                return 412, {'Items': [held] if held else []}
        for put in sent.get('PutItems', []):
            if put.get('LeaseId') and put['LeaseId'] not in self.leases:
                return 404, {}
        for put in sent.get('PutItems', []):
            content = base64.b64decode(put['Value'])
            self.put(put['Key'], content, put.get('LeaseId', 0))
        for key in sent.get('Remove', []):
            self.remove(key)
        return 200, {'Revision': self.revision}


class Runner:
    """A plain service's runner; it registers itself and runs requests."""

    def __init__(self, store, record, service, *, slots=6, work_s=0.02):
        self.store = store
        self.record = record
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.name = f'i-{random.getrandbits(32):08x}'
        self.address = ''
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.ran = []

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        self.register()
        asyncio.ensure_future(self._beat())
        return self

    def register(self):
        self.sequence += 1
        self.store.put(
            'servers/' + self.name,
            json.dumps(
                {
                    'Service': self.service,
                    'Address': self.address,
                    'Zone': 'z1',
                    'Version': 'v1',
                    'Slots': self.slots,
                    'State': 'ready',
                    'ColdRemainingMs': 0,
                    'Sequence': self.sequence,
                    'born': self.born,
                }
            ).encode(),
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.leaving:
                return
            if not self.store.away:
                self.register()

    def leave(self):
        """Remove the entry without a word of draining; serve on."""
        self.leaving = True
        self.store.remove('servers/' + self.name)
        self.record.note(f'ack: {self.name} is gone from the store')
        return time.monotonic()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(await self._answer(first, headers, body))
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, first, headers, body):
        attempt = headers.get('x-camphorstair-attempt-id', '')
        if headers.get('x-camphorstair-expect-instance') != self.name:
            return message('HTTP/1.1 421 -', [])
        tenant = headers.get('x-camphorstair-tenant', '-')
        self.record.note(
            f'run {attempt} at {self.service} for tenant {tenant} {len(body)} B'
        )
        self.ran.append((time.monotonic(), attempt, tenant))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return message(
            'HTTP/1.1 200 OK',
            [
                ('X-Camphorstair-Attempt-Id', attempt),
                ('X-Camphorstair-Server-Seal', f'seal.{self.name}.{attempt}'),
                (
                    'X-Camphorstair-Server-Load',
                    f'{self.running},0,{self.slots}',
                ),
            ],
            b'done by ' + self.service.encode(),
        )


async def request(
    address,
    path,
    *,
    key='',
    host='a.example',
    method='POST',
    body=b'',
    limit_s=4.0,
    attempt='',
):
    """Send a request on a new channel; return its status, 0 if none came."""
    headers = [
        ('Host', host),
        ('X-Camphorstair-Attempt-Id', attempt),
        ('X-Camphorstair-Deadline-Ms', round(limit_s * 1000)),
    ]
    if key:
        headers.append(('Authorization', f'Token {key}'))
    return await call(
        address,
        message(f'{method} {path} HTTP/1.1', headers, body),
        limit_s + 0.5,
    )


async def call(address, content, limit_s):
    """Return the status and the body of an answer; 0 if there is none."""
    host, port = address.split(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(content)
            await writer.drain()
            first, headers = await read_head(reader)
            return int(first.split(' ')[1]), await read_body(reader, headers)
    except (Closed, OSError, TimeoutError) as error:
        return 0, repr(error).encode()
    finally:
        if writer is not None:
            writer.close()


def free_host():
    """Return a loopback IP at which no metrics page is served yet."""
    while True:
        host = '.'.join(
            ['127', *(str(random.randint(1, 250)) for _ in range(3))]
        )
        with socket.socket() as probe:
            try:
                probe.bind((host, 9464))
            except OSError:
                continue
        return host


def free_ports(host, count):
    """Return consecutive free ports of a loopback IP, the first of them."""
    while True:
        first = random.randint(12000, 28000)
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return first


class Entry:
    """An entry process on a loopback IP of its own."""

    role = 'entry'

    def __init__(self, site, name, zone='z1', **changes):
        self.site = site
        self.name = name
        self.host = changes.pop('host', None) or free_host()
        port = free_ports(self.host, 20)
        self.callers = f'{self.host}:{port}'
        self.ready_address = f'{self.host}:{port + 1}'
        self.directory = f'{self.host}:{port + 2}'
        self.settings = {
            'NodeName': name,
            'Role': 'entry',
            'MachineClass': 'front',
            'ServedRoles': ['front', 'directory'],
            'Ip': self.host,
            'Zone': zone,
            'Region': 'r1',
            'Zones': {'z1': 'r1', 'z2': 'r1', 'z3': 'r1'},
            'Listen': {
                'Front': self.callers,
                'Ready': self.ready_address,
                'Directory': self.directory,
            },
            'InternalPorts': [port + 4, port + 19],
            'SeedAddrs': [],
            'Bootstrap': True,
            'FailureCounted': False,
            'Limits': {
                'CpuShare': 0.537,
                'CpuCores': 2,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
            },
            'DataPath': None,
            'DiscoverySource': 'platform',
            'EntryMode': 'directory',
            'HeartbeatMs': 1200,
            'ActiveContracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'tenants',
                'places',
                'platform',
            ],
            'FaultTolerance': {'Machines': 2, 'Zones': 1, 'Regions': 0},
            'Bounds': dict(BOUNDS),
            'Platform': {
                'Address': '',
                'form': 'kv',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': 20,
                'ValueBytes': 1048576,
                'TtlMinMs': 1000,
            },
        }
        self.settings.update(changes)
        self.process = None
        self.starts = 0

    async def start(self):
        """Start the process with the command of the deploy file."""
        if not self.settings['Platform']['Address']:
            door = await self.site.store.open_door(self.name)
            self.settings['Platform']['Address'] = door
        self._spawn()
        return self

    def _spawn(self):
        path = self.site.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings), encoding='utf-8')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles'][self.role]['run'].split()
        command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CAMPHORSTAIR_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        self.starts += 1
        log = os.open(
            self.site.folder / f'{self.name}.{self.starts}.log',
            os.O_WRONLY | os.O_CREAT,
            0o644,
        )
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        os.close(log)
        self.site.record.note(f'start of {self.name}')

    async def wait_ready(self, limit_s=20.0):
        end_s = time.monotonic() + limit_s
        ask = message('GET /camphorstair/ready HTTP/1.1', [('Host', 'x')])
        while time.monotonic() < end_s:
            if (await call(self.ready_address, ask, 1.0))[0] == 200:
                self.site.record.note(f'{self.name} is ready')
                return
            await asyncio.sleep(0.02)
        raise Unusable(f'{self.name} is not ready in {limit_s} s')

    async def restart(self, number=signal.SIGKILL, pause_s=0.2):
        """End the process and start it again, as the platform does."""
        self.site.record.note(f'signal {int(number)} to {self.name}')
        self.process.send_signal(number)
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(pause_s)
        await self.start()


class Agent(Entry):
    """An agent process on the loopback IP of its rank."""

    role = 'agent'

    def __init__(self, site, name, rank, first_port):
        super().__init__(
            site,
            name,
            host=rank.host,
            Role='agent',
            MachineClass='side',
            ServedRoles=['side'],
            Listen={},
            app=rank.address,
            Service=rank.service,
            InternalPorts=[first_port, first_port + 15],
        )
        self.settings['Limits'].update(
            CpuShare=0.645, CpuCores=1, MemoryMb=168, MaxFds=1124, LinkMbps=10.0
        )


class Rank(Runner):
    """A model runner, one rank of a group, whose answers are event streams."""

    group: typing.ClassVar = {'Name': 'g1', 'epoch': 1, 'State': 'open'}
    size = 1
    # Slowdown factors of the ranks of the group.
    paces: typing.ClassVar = {}
    events = 40
    event_s = 0.03

    def __init__(self, store, record, service, rank, **changes):
        super().__init__(store, record, service, **changes)
        self.rank = rank
        self.host = free_host()
        self.finished = set()

    async def start(self):
        port = free_ports(self.host, 1)
        self.address = f'{self.host}:{port}'
        await asyncio.start_server(self._serve, self.host, port)
        self.register()
        asyncio.ensure_future(self._beat())
        return self

    def register(self):
        self.sequence += 1
        self.store.put(
            'servers/' + self.name,
            json.dumps(
                {
                    'Service': self.service,
                    'Address': self.address,
                    'Zone': 'z1',
                    'Version': 'v1',
                    'Slots': self.slots,
                    'State': 'ready',
                    'ColdRemainingMs': 0,
                    'Phase': 'both',
                    'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
                    'group': {**self.group, 'rank': self.rank},
                    'size': self.size,
                    'Sequence': self.sequence,
                    'born': self.born,
                }
            ).encode(),
        )

    def report(self):
        return {
            'Phase': 'both',
            'Busy': False,
            'Sequence': 0,
            'Handles': 0,
            'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
            'Waiting': 0,
            'Running': self.running,
            'KvUsed': 0,
            'KvTotal': 186000,
            'pace': self.paces.get(self.rank, 1.0),
            'group': {**self.group, 'rank': self.rank},
            'size': self.size,
            'step': 1,
            'Map': 0,
            'Prepared': 0,
            'Armed': None,
            'held': None,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                if '/camphorstair/report' in first:
                    content = json.dumps(self.report()).encode()
                    writer.write(
                        message(
                            'HTTP/1.1 200 OK',
                            [('Content-Type', 'application/json')],
                            content,
                        )
                    )
                elif headers.get('x-camphorstair-expect-instance') != self.name:
                    writer.write(message('HTTP/1.1 421 -', []))
                else:
                    await self._stream(headers, writer)
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _stream(self, headers, writer):
        """Send all events; all ranks go as slowly as the slowest one."""
        attempt = headers.get('x-camphorstair-attempt-id', '')
        self.ran.append((time.monotonic(), attempt, ''))
        self.record.note(f'run {attempt} at rank {self.rank}')
        self.running += 1
        try:
            writer.write(
                (
                    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                    f'X-Camphorstair-Attempt-Id: {attempt}\r\n'
                    f'X-Camphorstair-Server-Seal: seal.{attempt}\r\n'
                    'Transfer-Encoding: chunked\r\n\r\n'
                ).encode()
            )
            for number in range(1, self.events + 1):
                slowest = max([1.0, *self.paces.values()])
                await asyncio.sleep(self.event_s * slowest)
                event = b'id: %d\ndata: piece %d\n\n' % (number, number)
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            self.finished.add(attempt)
        except ConnectionError as error:
            self.record.note(
                f'the channel of {attempt} was closed at rank {self.rank}'
                f' after event {number}: {error!r}'
            )
            raise
        finally:
            self.running -= 1


class Unusable(Exception):
    """The case could not run."""


class Site:
    """The store, the runners and the entries of one test."""

    def __init__(self, record_path):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.entries = []

    async def add_entry(self, name, **changes):
        entry = await Entry(self, name, **changes).start()
        self.entries.append(entry)
        return entry

    def configure(self, version, routes, services, tenants=None):
        """Write a configuration; return its size and the time of its ack."""
        content = {
            'Version': version,
            'Routes': routes,
            'Limits': LIMITS,
            'Services': [
                {
                    'Name': name,
                    'HealthPath': '/health',
                    'MaxConnections': 96,
                    'ColdStartS': 0.0,
                    'ColdPerS': 0.0,
                }
                for name in services
            ],
        }
        if tenants is not None:
            content['Tenants'] = tenants
        encoded = json.dumps(content).encode()
        self.store.put('op/config', encoded)
        self.record.note(f'ack of version {version}, {len(encoded)} B')
        return len(encoded), time.monotonic()

    def close(self):
        """End the processes; keep their logs only if KEEP_LOGS is set."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
        for entry in self.entries:
            if entry.process is not None:
                entry.process.wait()
        if os.environ.get('KEEP_LOGS'):
            print(f'logs: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, **changes):
    return {
        'Name': name,
        'Host': 'a.example',
        'Prefix': prefix,
        'RouteKind': 'non_idempotent',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 400,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 1,
        'Public': False,
        **changes,
    }


def run(play, folder):
    """Play a test; exit with 0 if the rule held, 1 if not, 2 if it failed."""

    async def play_all():
        site = Site(pathlib.Path(folder) / 'record.txt')
        try:
            broken = await play(site)
        finally:
            site.close()
        verdict = 'the rule was broken' if broken else 'the rule held'
        site.record.note(verdict)
        print(verdict)
        return 1 if broken else 0

    try:
        code = asyncio.run(asyncio.wait_for(play_all(), 115))
    except Exception as error:  # noqa: BLE001, whatever it is, exit with 2
        print(f'the case could not run: {error!r}')
        code = 2
    sys.stdout.flush()
    os._exit(code)
