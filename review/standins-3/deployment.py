"""A small deployment on loopback addresses: entries, servers and clients."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib

import http_io

ROOT = pathlib.Path(__file__).resolve().parents[2]
TENANT = 'x-camphorstair-tenant'
ATTEMPT = 'x-camphorstair-attempt-id'
EXPECT = 'x-camphorstair-expect-instance'
HOST = 'yard.example'
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


def network():
    """Return the first three bytes of a loopback network for one run."""
    return f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'


def free_port(host):
    """Return a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        """Begin an empty record."""
        self.began_s = time.monotonic()
        self.stream = open(path, 'w')  # noqa: SIM115

    def now(self):
        """Return the time from the start of the run."""
        return time.monotonic() - self.began_s

    def line(self, text):
        """Write a line with the time from the start."""
        self.stream.write(f'{self.now():8.3f} {text}\n')
        self.stream.flush()


class Program:
    """One of the project's programs, started as the deploy file says."""

    def __init__(self, role, name, settings, folder):
        """Write its settings file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = shlex.split(deploy['roles'][role]['run'])
        self.name = name
        self.settings = settings
        self.path = pathlib.Path(folder) / f'{name}.json'
        self.path.write_text(json.dumps(settings))
        self.log = pathlib.Path(folder) / f'{name}.log'
        self.process = None
        self.over = False

    def start(self):
        """Start the process, unless the case has ended."""
        if self.over:
            return
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self.process = subprocess.Popen(
            self.command,
            cwd=ROOT,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'CAMPHORSTAIR_BOOT': str(self.path),
            },
            stdout=open(self.log, 'ab'),  # noqa: SIM115
            stderr=subprocess.STDOUT,
        )

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process for good and wait for its end."""
        self.over = True
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()


def entry_settings(name, host, ports, store, zone='levis-nord', **changes):
    """Return the settings of an entry, with the fields of DEPLOY.md."""
    return {
        'NodeName': name,
        'Role': 'entry',
        'MachineClass': 'front',
        'ServedRoles': ['front', 'directory'],
        'Ip': host,
        'Zone': zone,
        'Region': 'qc-est',
        'Zones': {
            'levis-nord': 'qc-est',
            'levis-sud': 'qc-est',
            'charny': 'qc-est',
        },
        'Listen': {
            'Front': f'{host}:{ports[0]}',
            'Ready': f'{host}:{ports[1]}',
            'Directory': f'{host}:{ports[2]}',
        },
        'InternalPorts': [ports[3], ports[3] + 15],
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
            'engine',
            'stream',
            'tenants',
            'places',
            'platform',
            'experts',
        ],
        'FaultTolerance': {'Machines': 2, 'Zones': 1, 'Regions': 0},
        'Bounds': BOUNDS,
        'Platform': {
            'Address': store,
            'form': 'kv',
            'WritesPerS': 400,
            'ReadsPerS': 2000,
            'HistoryS': 20,
            'ValueBytes': 1048576,
            'TtlMinMs': 1000,
        },
        **changes,
    }


class Runner:
    """A plain service's server that records what it runs."""

    def __init__(self, host, port, name, record, work_s=0.02):
        """Store the address and the name under which it is registered."""
        self.address = (host, port)
        self.name = name
        self.record = record
        self.work_s = work_s
        self.ran = []
        self.server = http_io.Server(host, port, self.handle)

    def registration(self, service, **changes):
        """Return what it registers in the store."""
        return json.dumps(
            {
                'Service': service,
                'Address': f'{self.address[0]}:{self.address[1]}',
                'Zone': 'levis-nord',
                'Version': '1',
                'Slots': 6,
                'State': 'ready',
                'ColdRemainingMs': 0,
                'Sequence': 1,
                'born': 1700000000000,
                **changes,
            }
        ).encode()

    async def handle(self, request, writer):
        """Run one request."""
        attempt = request.header(ATTEMPT)
        headers = [('X-Camphorstair-Attempt-Id', attempt)]
        expected = request.header(EXPECT)
        if expected and expected != self.name:
            writer.write(http_io.answer(421, headers))
            return True
        self.ran.append((self.record.now(), attempt))
        self.record.line(
            f'ran       {attempt} at {self.name},'
            f' tenant {request.header(TENANT)}'
        )
        await asyncio.sleep(self.work_s)
        headers.append(('X-Camphorstair-Server-Seal', f'{self.name}.{attempt}'))
        writer.write(http_io.answer(200, headers, b'done ' + attempt.encode()))
        return True


def route(name, service, kind='idempotent', **changes):
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': f'/{name}/',
        'Service': service,
        'RouteKind': kind,
        'TimeoutMs': 2000,
        'TargetLatencyMs': 400,
        'Priority': 2,
        'MaxAttempts': 2 if kind == 'idempotent' else 1,
        **changes,
    }


def configuration(version, routes, services, keys):
    """Return a configuration; ``keys`` has the keys of each tenant."""
    return json.dumps(
        {
            'Version': version,
            'Routes': routes,
            'Services': [
                {'Name': name, 'MaxConnections': 96} for name in services
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 4194304,
                'HeaderTimeoutMs': 5000,
                'IdleTimeoutMs': 10000,
            },
            'Tenants': [
                {'Name': tenant, 'ApiKeys': list(held)}
                for tenant, held in keys.items()
            ],
        }
    ).encode()


async def wait_ready(address, limit_s=20.0):
    """Return whether an entry says that it is ready, within a limit."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        told = await http_io.call(
            address, 'GET', '/camphorstair/ready', [('Host', 'x')], limit_s=1.0
        )
        if told.status == 200:
            return True
        await asyncio.sleep(0.05)
    return False


async def _until_stopped(scenario):
    """Run a scenario; a signal to the script cancels it, so that it cleans up."""
    loop = asyncio.get_running_loop()
    playing = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, playing.cancel)
    return await scenario()


def run(scenario):
    """Run a scenario; exit with its result, or 2 if it could not run."""
    try:
        code = asyncio.run(_until_stopped(scenario))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        print(f'the case could not run: {error!r}')
        code = 2
    sys.exit(code)
