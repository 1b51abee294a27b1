"""The processes of a soak and what surrounds them."""

import contextlib
import http
import os
import pathlib
import signal
import subprocess
import sys
import time

import attrs
import curio
import msgspec

from camphorstair_platform import boot
from camphorstair_runtime import (
    http_client,
    http_messages,
    http_server,
    listening,
    settings,
)
from camphorstair_standins import loopback, platform_store
from soak import callers, endpoints, proxy, witness

SERVICE = 'plain'
DATA_CENTRE = 'levis-nord'
GRACE_S = 8.0
RESTART_S = 0.3
# A process has imported its modules and handles signals after this time.
START_LIMIT_S = 2.0
POLL_S = 0.02


@attrs.define(eq=False)
class Entry:
    """An entry's process with its own way to the store.

    :ivar address: ``IP:port`` for callers.
    :ivar ready_address: ``IP:port`` for the question whether it is ready.
    :ivar settings_path: Its settings file.
    :ivar store: The way to the store.
    :ivar process: The process that runs now.
    :ivar started_s: When it was started.
    :ivar stopping: Whether a fault ends it just now.
    """

    address: str
    ready_address: str
    settings_path: pathlib.Path
    store: proxy.Proxy
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0
    stopping: bool = False

    def start(self) -> None:
        """Start the process."""
        self.stopping = False
        self.started_s = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'camphorstair.fleet.serving'],
            env={**os.environ, boot.PATH_VARIABLE: str(self.settings_path)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def starting(self) -> bool:
        """Tell whether the process may not handle signals yet."""
        return time.monotonic() < self.started_s + START_LIMIT_S

    async def ready(self) -> None:
        """Return once the process says that it is ready."""
        request = http_messages.Request('GET', '/camphorstair/ready', [], b'')
        status = 0
        while status != http.HTTPStatus.OK:
            await curio.sleep(POLL_S)
            with contextlib.suppress(http_client.HttpError):
                answer = await http_client.fetch(self.ready_address, request)
                status = answer.status

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self) -> int:
        """Return the exit code once the process has ended."""
        while self.process is not None and self.process.poll() is None:
            await curio.sleep(POLL_S)
        return self.process.returncode if self.process else 0


@attrs.define(eq=False)
class Fleet:
    """All that runs in a soak.

    :ivar directory: Where settings files lie.
    :ivar group: The tasks of the stand-ins.
    :ivar ways: The ways to the endpoints that are in service.
    :ivar version: Version of the configuration.
    :ivar keys: The keys that are in force.
    """

    directory: pathlib.Path
    group: curio.TaskGroup
    seen: witness.Witness
    began_s: float = attrs.field(factory=time.monotonic)
    store: platform_store.PlatformStore = attrs.field(
        factory=platform_store.PlatformStore,
    )
    store_address: str = attrs.field(factory=loopback.free_address)
    entries: list[Entry] = attrs.field(factory=list)
    ways: dict[str, proxy.Proxy] = attrs.field(factory=dict)
    version: int = 0
    keys: set[str] = attrs.field(factory=set)
    _named: int = 0

    def elapsed_s(self) -> float:
        """Return the time from the start of the soak."""
        return time.monotonic() - self.began_s

    def entry_at(self, target: int) -> Entry:
        """Return the entry that a fault strikes."""
        return self.entries[target % len(self.entries)]

    def endpoint_at(self, target: int) -> str:
        """Return the endpoint in service that a fault strikes."""
        names = sorted(self.ways)
        return names[target % len(names)]

    async def start(self, count: int, keys: list[str]) -> None:
        """Start the store, some endpoints and as many entries."""
        await self._listen(self.store_address, self.store.handle)
        self.keys = set(keys)
        self.configure()
        for _ in range(count):
            await self.add_endpoint()
        for number in range(count):
            entry = await self._prepare_entry(number)
            entry.start()
            self.entries.append(entry)
        for started in self.entries:
            await started.ready()
        self.began_s = time.monotonic()
        await self.group.spawn(self._keep)

    def end(self) -> None:
        """End the processes that were started here, by their ids."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
            if entry.process is not None:
                entry.process.wait()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        raw = {
            'Version': self.version,
            'Routes': [
                _route('draft', 'streaming'),
                _route('book', 'non_idempotent'),
                _route('look', 'idempotent'),
            ],
            'Services': [{'Name': SERVICE, 'MaxConnections': 200}],
            'Tenants': [
                {'Name': f'org-{key}', 'ApiKeys': [key]}
                for key in sorted(self.keys)
            ],
        }
        self.store.put('op/config', msgspec.json.encode(raw))

    async def add_endpoint(self) -> str:
        """Start an endpoint and register it."""
        self._named += 1
        name = f'i-{self._named}'
        server = loopback.free_address()
        endpoint = endpoints.Endpoint(name, self.seen, self.elapsed_s)
        await self._listen(server, endpoint.handle)
        way = proxy.Proxy(loopback.free_address(), server)
        await self.group.spawn(way.run)
        self.ways[name] = way
        self.register(name, 'ready')
        return name

    def register(self, name: str, state: str) -> None:
        """Write an endpoint's registration."""
        raw = {
            'Service': SERVICE,
            'Address': self.ways[name].address,
            'Zone': DATA_CENTRE,
            'Slots': 8,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
        }
        self.store.put(f'servers/{name}', msgspec.json.encode(raw))

    async def _keep(self) -> None:
        """Start processes that ended by themselves anew, as the platform does."""
        while True:
            await curio.sleep(RESTART_S)
            for entry in self.entries:
                self._revive(entry)

    def _revive(self, entry: Entry) -> None:
        code = entry.process.poll() if entry.process else None
        if code is None or entry.stopping:
            return
        told = f'{entry.address} ended by itself, exit code {code}'
        early = ' while it started' if entry.starting() else ''
        self.seen.faults.append(told + early)
        entry.start()

    async def _prepare_entry(self, number: int) -> Entry:
        # Each has an address of its own, as the metrics port is fixed.
        host = f'127.0.0.{number + 2}'
        way = proxy.Proxy(loopback.free_address(), self.store_address)
        await self.group.spawn(way.run)
        ports = [_port() for _ in range(4)]
        raw = {
            'NodeName': f'front-{number}',
            'Ip': host,
            'Zone': DATA_CENTRE,
            'Region': 'qc-est',
            'Listen': {
                'Front': f'{host}:{ports[0]}',
                'Ready': f'{host}:{ports[1]}',
                'Directory': f'{host}:{ports[2]}',
            },
            'InternalPorts': [ports[3], 0],
            'Bounds': {
                'RevokeMs': witness.REVOKE_S * 1000,
                'RetryBudgetRatio': 0.2,
                'RetryWindowS': 10,
                'RetrySlack': 88,
                'ColdOver': 1.5,
                'ColdSlack': 5,
                'GraceS': GRACE_S,
            },
            'Platform': {'Address': way.address, 'TtlMinMs': 1000},
        }
        path = self.directory / f'front-{number}.json'
        path.write_bytes(msgspec.json.encode(raw))
        return Entry(f'{host}:{ports[0]}', f'{host}:{ports[1]}', path, way)

    async def _listen(
        self,
        address: str,
        handler: http_server.ResponderHandler,
    ) -> None:
        host, port = settings.split_address(address)
        server = http_server.Server(handler)
        await self.group.spawn(listening.serve, host, port, server.serve)


def _port() -> int:
    return settings.split_address(loopback.free_address())[1]


def _route(name: str, kind: str) -> dict[str, object]:
    return {
        'Name': name,
        'Host': callers.HOST,
        'Prefix': f'/{name}/',
        'RouteKind': kind,
        'TimeoutMs': 3000,
        'TargetLatencyMs': 400,
        'Priority': 1,
        'Service': SERVICE,
        'MaxAttempts': 2,
        'Resumable': kind == 'streaming',
    }
