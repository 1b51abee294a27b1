"""The processes of a soak and what surrounds them."""

import contextlib
import http
import pathlib
import signal
import subprocess
import time

import attrs
import curio

from camphorstair_platform_standins import documents, processes, stores
from camphorstair_runtime import (
    http_client,
    http_messages,
    http_server,
    listening,
    settings,
)
from camphorstair_standins import loopback
from soak import endpoints, proxy, witness

SERVICE = 'plain'
SLOTS = 8
ROUTES = (
    ('draft', 'streaming'),
    ('book', 'non_idempotent'),
    ('look', 'idempotent'),
)
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
        self.process = processes.start_entry(self.settings_path)

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
    store: stores.PlatformStore = attrs.field(
        factory=stores.PlatformStore,
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
        content = documents.configuration(
            self.version,
            [documents.route(name, kind, SERVICE) for name, kind in ROUTES],
            [documents.service(SERVICE)],
            [
                documents.organisation(f'org-{key}', key)
                for key in sorted(self.keys)
            ],
        )
        self.store.put(documents.CONFIGURATION_KEY, content)

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
        content = documents.registration(
            SERVICE, self.ways[name].address, Slots=SLOTS, State=state
        )
        self.store.put(documents.registration_key(name), content)

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
        ports = (_port(), _port(), _port(), _port())
        path = self.directory / f'front-{number}.json'
        path.write_bytes(
            documents.boot_settings(way.address, f'front-{number}', host, ports)
        )
        callers, ready = (f'{host}:{port}' for port in ports[:2])
        return Entry(callers, ready, path, way)

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
