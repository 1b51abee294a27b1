"""Starts a small site: the project's programs and the stand-ins around them.

Every program is a process of its own and runs with the command of the deploy
file. Each machine has a loopback address of its own.
"""

import asyncio
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
from urllib import parse

import wire

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
STANDINS = pathlib.Path(__file__).resolve().parent
ZONES = ('levis-nord', 'levis-sud', 'charny')
HOST = 'yards.example'
START_LIMIT_S = 25.0
# Bounds of the small deployments' sheets.
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
CONTRACTS = [
    'base',
    'drain',
    'config',
    'cost',
    'retry',
    'recover',
    'engine',
    'stream',
    'tenants',
    'places',
    'platform',
    'experts',
]
PORTS = {'Front': 8227, 'Ready': 8220, 'Directory': 8224}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def note(self, text):
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


def route(name, kind, service, **fields):
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': f'/{name}/',
        'RouteKind': kind,
        'TimeoutMs': 2000,
        'TargetLatencyMs': 300,
        'Priority': 2,
        'Service': service,
        'MaxAttempts': 1 if kind == 'non_idempotent' else 2,
        'Public': False,
        'SessionAffinity': False,
        'Resumable': False,
        **fields,
    }


def service(name, **fields):
    return {
        'Name': name,
        'HealthPath': '/health',
        'MaxConnections': 96,
        'Protocol': 'h1',
        'TlsConfig': False,
        'ColdStartS': 0.0,
        'ColdPerS': 0.0,
        **fields,
    }


def configuration(version, routes, services, tenants):
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [
            {'Name': name, 'ApiKeys': keys, 'Priority': 1}
            for name, keys in tenants.items()
        ],
    }


class Site:
    """The processes of one run."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = []
        self._network = (
            f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        )
        self._hosts = 0
        self._logs = 0
        self.store = ''
        self.entries = {}

    def address(self):
        """Return the address of another machine."""
        self._hosts += 1
        return f'{self._network}.{self._hosts}'

    def free(self, host):
        """Return ``IP:port`` with a free port."""
        with socket.socket() as sock:
            sock.bind((host, 0))
            return f'{host}:{sock.getsockname()[1]}'

    def start(self, command, **variables):
        """Start a process; its output goes to a file of the temporary folder."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self._logs += 1
        output = (self.folder / f'{self._logs}.log').open('wb')
        process = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            env={**environment, **variables},
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()
        self.processes.append(process)
        return process

    def start_standin(self, name, *arguments):
        return self.start(
            [sys.executable, str(STANDINS / f'{name}.py'), *arguments]
        )

    async def start_store(self):
        self.store = self.free(self.address())
        self.start_standin('store', self.store)
        await self._wait_listening(self.store)

    async def put(self, key, content):
        """Write a key as the operator or a runner does."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        name = parse.quote(key, safe='')
        await wire.call(self.store, 'PUT', f'/admin/{name}', (), content)

    async def remove(self, key):
        """Remove a key as the operator or a runner does."""
        name = parse.quote(key, safe='')
        await wire.call(self.store, 'DELETE', f'/admin/{name}')

    async def turn_away(self, hosts):
        content = json.dumps(list(hosts)).encode()
        await wire.call(self.store, 'POST', '/admin/turn-away', (), content)

    def settings(self, name, host, zone, **fields):
        return {
            'NodeName': name,
            'Role': 'entry',
            'MachineClass': 'front',
            'ServedRoles': ['front', 'directory'],
            'Ip': host,
            'Zone': zone,
            'Region': 'qc-est',
            'Zones': dict.fromkeys(ZONES, 'qc-est'),
            'Listen': {part: f'{host}:{port}' for part, port in PORTS.items()},
            'InternalPorts': [7340, 7355],
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
            'ActiveContracts': CONTRACTS,
            'FaultTolerance': {'Machines': 2, 'Zones': 1, 'Regions': 0},
            'Bounds': BOUNDS,
            'Platform': {
                'Address': self.store,
                'form': 'kv',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': 20,
                'ValueBytes': 1048576,
                'TtlMinMs': 1000,
            },
            **fields,
        }

    def start_role(self, role, settings):
        """Start a program with its command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
        path = self.folder / f'{settings["NodeName"]}.json'
        path.write_text(json.dumps(settings))
        return self.start(
            deploy['roles'][role]['run'].split(),
            CAMPHORSTAIR_BOOT=str(path),
            PYTHONPATH=str(REPOSITORY / 'target' / 'deps'),
        )

    def start_entry(self, name, zone, host='', **fields):
        host = host or self.address()
        self.entries[name] = f'{host}:{PORTS["Front"]}'
        process = self.start_role(
            'entry', self.settings(name, host, zone, **fields)
        )
        self.record.note(f'started entry {name} at {host}')
        return process

    async def ready(self, name):
        host = self.entries[name].partition(':')[0]
        address = f'{host}:{PORTS["Ready"]}'
        try:
            answer = await wire.call(
                address, 'GET', '/camphorstair/ready', limit_s=1.0
            )
        except (OSError, wire.Broken, TimeoutError):
            return False
        return answer.first == '200'

    async def wait_ready(self, *names):
        end_s = time.monotonic() + START_LIMIT_S
        for name in names or self.entries:
            while not await self.ready(name):
                if time.monotonic() > end_s:
                    raise CannotRun(f'{name} is not ready')
                await asyncio.sleep(0.1)
            self.record.note(f'{name} is ready')

    async def _wait_listening(self, address):
        end_s = time.monotonic() + START_LIMIT_S
        host, _colon, port = address.rpartition(':')
        while time.monotonic() < end_s:
            try:
                _reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise CannotRun(f'nothing listens at {address}')

    wait_listening = _wait_listening

    def close(self):
        """End all processes of this run and remove its folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, body):
    """Run a case; end with 1 if the rule was broken, 0 if not, 2 on failure.

    ``body(site, trouble)`` returns whether the rule was broken.
    """
    site = Site(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(asyncio.wait_for(body(site, trouble), timeout=110))
    except (CannotRun, OSError, TimeoutError, wire.Broken) as error:
        site.record.note(f'the case could not run: {error!r}')
        sys.exit(2)
    finally:
        site.close()
    site.record.note('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
