"""The processes of a soak test and the fake services around them."""

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
from soak import endpoints as fake_endpoints
from soak import proxy, recording

SERVICE = 'plain'
SLOTS = 8
ROUTES = (
    ('draft', 'streaming'),
    ('book', 'non_idempotent'),
    ('look', 'idempotent'),
)
RESTART_S = 0.3
# By this time after its start, a process has imported its modules and handles
# signals.
START_LIMIT_S = 2.0
POLL_S = 0.02


@attrs.define(eq=False)
class Entry:
    """An entry process with its own proxy to the store.

    :ivar address: ``IP:port`` for callers.
    :ivar ready_address: ``IP:port`` of the readiness check.
    :ivar settings_path: Path of the settings file.
    :ivar store: Proxy through which the entry reaches the store.
    :ivar process: The process started last, or None.
    :ivar started_s: Start time of the process, by ``time.monotonic``.
    :ivar stopping: Whether a fault has stopped the process and will start it
        again, so that the supervisor must not.
    """

    address: str
    ready_address: str
    settings_path: pathlib.Path
    store: proxy.Proxy
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0
    stopping: bool = False

    def start(self) -> None:
        """Start the entry process; also used to restart it."""
        self.stopping = False
        self.started_s = time.monotonic()
        self.process = processes.start_entry(self.settings_path)

    def starting(self) -> bool:
        """Return whether the process may still be unable to handle signals."""
        return time.monotonic() < self.started_s + START_LIMIT_S

    async def ready(self) -> None:
        """Poll the readiness check until it succeeds."""
        request = http_messages.Request('GET', '/camphorstair/ready', [], b'')
        status = 0
        while status != http.HTTPStatus.OK:
            await curio.sleep(POLL_S)
            with contextlib.suppress(http_client.HttpError):
                answer = await http_client.fetch(self.ready_address, request)
                status = answer.status

    async def reload(self) -> None:
        """Send SIGHUP, but not while the interpreter is starting.

        No code of the entry can run before the interpreter has started, so
        nothing can keep the signal's default action from ending the process.
        """
        with contextlib.suppress(curio.TaskTimeout):
            async with curio.timeout_after(START_LIMIT_S):
                await self._changes_action(signal.SIGHUP)
        self.send_signal(signal.SIGHUP)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the process to exit and return its exit code.

        Return 0 if no process was ever started.
        """
        while self.process is not None and self.process.poll() is None:
            await curio.sleep(POLL_S)
        return self.process.returncode if self.process else 0

    async def _changes_action(self, number: signal.Signals) -> None:
        """Wait until the process ignores or catches a signal, or has ended."""
        while self.process is not None and self.process.poll() is None:
            if processes.changes_action(self.process.pid, number):
                return
            await curio.sleep(POLL_S)


@attrs.define(eq=False)
class Fleet:
    """Entries, fake endpoints and the fake store of one run.

    :ivar directory: Directory of the settings files.
    :ivar group: Runs the tasks of the fake services and of the callers.
    :ivar seen: Records requests and broken promises.
    :ivar began_s: Start time of the run, by ``time.monotonic``.
    :ivar store: The fake store.
    :ivar store_address: ``IP:port`` of the store.
    :ivar entries: The entries, by their number.
    :ivar endpoints: All endpoints so far, by name.
    :ivar replaced: Names of the endpoints that were replaced.
    :ivar endpoint_proxies: Proxies to the endpoints in service, by
        endpoint name.
    :ivar version: Version of the configuration written last.
    :ivar keys: API keys that the configuration accepts.
    :ivar over: Whether the run is over and no entry is started again.
    """

    directory: pathlib.Path
    group: curio.TaskGroup
    seen: recording.Recording
    began_s: float = attrs.field(factory=time.monotonic)
    store: stores.PlatformStore = attrs.field(
        factory=stores.PlatformStore,
    )
    store_address: str = attrs.field(factory=loopback.free_address)
    entries: list[Entry] = attrs.field(factory=list)
    endpoints: dict[str, fake_endpoints.Endpoint] = attrs.field(factory=dict)
    replaced: set[str] = attrs.field(factory=set)
    endpoint_proxies: dict[str, proxy.Proxy] = attrs.field(factory=dict)
    version: int = 0
    keys: set[str] = attrs.field(factory=set)
    over: bool = False
    _endpoint_count: int = 0

    def elapsed_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self.began_s

    async def sleep_until(self, at_s: float) -> None:
        """Sleep until a time from the start of the run."""
        await curio.sleep(max(0, at_s - self.elapsed_s()))

    def entry_at(self, target: int) -> Entry:
        """Return the entry that a fault affects.

        :param target: Target of the fault; used modulo the number of entries.
        """
        return self.entries[target % len(self.entries)]

    def endpoint_at(self, target: int) -> str:
        """Return the name of the endpoint in service that a fault affects.

        :param target: Target of the fault; used modulo the number of endpoints.
        """
        names = sorted(self.endpoint_proxies)
        return names[target % len(names)]

    async def start(self, count: int, keys: list[str]) -> None:
        """Start the store, endpoints and entries; wait until all are ready.

        :param count: Number of endpoints, and of entries.
        :param keys: API keys to accept at first.
        """
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
        await self.group.spawn(self._supervise)

    def end(self) -> None:
        """Kill the entry processes that this fleet started, by their ids.

        Waits for each of them to end.
        """
        self.over = True
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(signal.SIGKILL)
            if entry.process is not None:
                entry.process.wait()

    def configure(self) -> None:
        """Write the next version of the configuration to the store."""
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
        """Start an endpoint behind a proxy, register it and return its name."""
        self._endpoint_count += 1
        name = f'i-{self._endpoint_count}'
        server = loopback.free_address()
        endpoint = fake_endpoints.Endpoint(name, self.seen, self.elapsed_s)
        self.endpoints[name] = endpoint
        await self._listen(server, endpoint.handle)
        server_proxy = proxy.Proxy(loopback.free_address(), server)
        await self.group.spawn(server_proxy.run)
        self.endpoint_proxies[name] = server_proxy
        self.register(name, 'ready')
        return name

    def register(self, name: str, state: str) -> None:
        """Write the registration of an endpoint to the store.

        :param name: Name of the endpoint.
        :param state: State to register, such as ``ready``.
        """
        content = documents.registration(
            SERVICE,
            self.endpoint_proxies[name].address,
            Slots=SLOTS,
            State=state,
        )
        self.store.put(documents.registration_key(name), content)

    async def _supervise(self) -> None:
        """Restart entries that exited by themselves, as the platform does."""
        while True:
            await curio.sleep(RESTART_S)
            for entry in self.entries:
                self._restart_if_exited(entry)

    def _restart_if_exited(self, entry: Entry) -> None:
        code = entry.process.poll() if entry.process else None
        if code is None or entry.stopping or self.over:
            return
        told = f'{entry.address} ended by itself, exit code {code}'
        during_start = ' while it started' if entry.starting() else ''
        self.seen.faults.append(told + during_start)
        entry.start()

    async def _prepare_entry(self, number: int) -> Entry:
        # Each entry has its own loopback IP because the metrics port is fixed.
        host = f'127.0.0.{number + 2}'
        store_proxy = proxy.Proxy(loopback.free_address(), self.store_address)
        await self.group.spawn(store_proxy.run)
        ports = (_port(), _port(), _port(), _port())
        path = self.directory / f'front-{number}.json'
        path.write_bytes(
            documents.boot_settings(
                store_proxy.address, f'front-{number}', host, ports
            )
        )
        callers, ready = (f'{host}:{port}' for port in ports[:2])
        return Entry(callers, ready, path, store_proxy)

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
