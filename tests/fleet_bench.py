"""A fleet's entry in this process, with a stand-in store and endpoints."""

import typing
from collections import abc

import attrs
import curio
import msgspec
from opentelemetry import metrics as metrics_api

from camphorstair.fleet import serving, state
from camphorstair_platform import boot
from camphorstair_runtime import (
    http_client,
    http_messages,
    http_server,
    listening,
    settings,
)
from camphorstair_standins import loopback, platform_runner, platform_store

HOST = 'booking.example'
KEY = 'k1'
WAIT_LIMIT_S = 10.0

Body = abc.Callable[['FleetBench'], abc.Awaitable[None]]


def route(name: str, kind: str, service: str, **other: object) -> dict:
    """Return a route as operators write it."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': f'/{name}/',
        'RouteKind': kind,
        'TimeoutMs': 3000,
        'TargetLatencyMs': 400,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'Resumable': kind == 'streaming',
        **other,
    }


def configuration(version: int = 1, **other: object) -> dict:
    """Return a configuration as operators write it.

    :param other: Further fields; None leaves one out.
    """
    raw = {
        'Version': version,
        'Routes': [
            route('draft', 'streaming', 'engine'),
            route('book', 'non_idempotent', 'plain', MaxAttempts=1),
            route('look', 'idempotent', 'plain'),
        ],
        'Services': [
            {'Name': 'plain', 'MaxConnections': 50},
            {'Name': 'engine', 'MaxConnections': 50, 'EngineProfile': {}},
        ],
        'Tenants': [{'Name': 'gravier', 'ApiKeys': [KEY], 'Priority': 1}],
        **other,
    }
    return {name: field for name, field in raw.items() if field is not None}


def boot_settings(store: str, **other: object) -> bytes:
    """Return a settings file as the platform writes it."""
    raw = {
        'NodeName': 'front-1',
        'Ip': '127.0.0.1',
        'Zone': 'levis-nord',
        'Region': 'qc-est',
        'Listen': {
            'Front': loopback.free_address(),
            'Ready': loopback.free_address(),
            'Directory': loopback.free_address(),
        },
        'InternalPorts': [int(loopback.free_address().split(':')[1]), 0],
        'Bounds': {
            'RevokeMs': 5000,
            'RetryBudgetRatio': 0.2,
            'RetryWindowS': 10,
            'RetrySlack': 88,
            'ColdOver': 1.5,
            'ColdSlack': 5,
            'GraceS': 8,
        },
        'Platform': {'Address': store, 'TtlMinMs': 1000},
        **other,
    }
    return msgspec.json.encode(raw)


@attrs.define(eq=False)
class FleetBench:
    """A running entry and what surrounds it.

    :ivar store: The platform's store.
    :ivar runners: The endpoints by name.
    :ivar told: The entry's settings.
    :ivar process: The entry.
    """

    store: platform_store.PlatformStore = attrs.field(
        factory=platform_store.PlatformStore,
    )
    runners: dict[str, platform_runner.Runner] = attrs.field(factory=dict)
    told: boot.BootSettings = attrs.field(init=False)
    process: serving.Process = attrs.field(init=False)
    _group: curio.TaskGroup = attrs.field(init=False)

    @property
    def entry(self) -> state.FleetEntry:
        """The entry's state."""
        return self.process.entry

    def run(self, body: Body) -> None:
        """Run a test body beside the entry."""
        curio.run(self._run, body)

    async def add_runner(
        self,
        name: str,
        service: str,
        *scripts: platform_runner.Script,
    ) -> platform_runner.Runner:
        """Start an endpoint and register it."""
        runner = platform_runner.Runner(name)
        if scripts:
            runner.scripts = list(scripts)
        address = loopback.free_address()
        await self.listen(address, runner.handle)
        self.runners[name] = runner
        self.register(name, service, address)
        await self.until(lambda: name in self.entry.endpoints.endpoints)
        return runner

    def register(
        self,
        name: str,
        service: str,
        address: str,
        **other: object,
    ) -> None:
        """Write an endpoint's registration."""
        raw = {
            'Service': service,
            'Address': address,
            'Zone': 'levis-nord',
            'Slots': 4,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Sequence': 1,
            **other,
        }
        self.store.put(f'servers/{name}', msgspec.json.encode(raw))

    def configure(self, version: int = 1, **other: object) -> None:
        """Write a configuration."""
        content = msgspec.json.encode(configuration(version, **other))
        self.store.put('op/config', content)

    async def call(
        self,
        path: str,
        attempt: str = 'a1',
        *,
        method: str = 'POST',
        body: bytes = b'body',
        key: str = KEY,
        **headers: str,
    ) -> http_messages.Response:
        """Send a request as a caller does and return the whole answer."""
        exchange = await self.open(
            path, attempt, method=method, body=body, key=key, **headers
        )
        try:
            content = await exchange.read_all()
        finally:
            await exchange.close()
        return http_messages.Response(
            exchange.status, exchange.headers, content
        )

    async def open(
        self,
        path: str,
        attempt: str = 'a1',
        *,
        method: str = 'POST',
        body: bytes = b'body',
        key: str = KEY,
        **headers: str,
    ) -> http_client.Exchange:
        """Send a request as a caller does and read the answer's head."""
        sent = [
            ('x-camphorstair-attempt-id', attempt),
            ('x-camphorstair-deadline-ms', '4000'),
        ]
        if key:
            sent.append(('authorization', f'Token {key}'))
        sent.extend(
            (name.replace('_', '-'), value) for name, value in headers.items()
        )
        request = http_messages.Request(method, path, sent, body)
        exchange = await http_client.connect(self.told.callers_address)
        await http_client.send(exchange, HOST, request)
        await http_client.read_head(exchange, request)
        return exchange

    async def until(self, condition: abc.Callable[[], typing.Any]) -> None:
        """Wait until a condition holds."""
        async with curio.timeout_after(WAIT_LIMIT_S):
            while not condition():
                await curio.sleep(0.005)

    async def listen(
        self,
        address: str,
        handler: http_server.ResponderHandler,
    ) -> None:
        """Serve a stand-in on an address."""
        server = http_server.Server(handler)
        host, port = settings.split_address(address)
        await self._group.spawn(listening.serve, host, port, server.serve)
        await curio.sleep(0.01)

    async def _run(self, body: Body) -> None:
        async with curio.TaskGroup(wait=any) as group:
            self._group = group
            address = loopback.free_address()
            await self.listen(address, self.store.handle)
            self.configure()
            self.told = boot.decode(boot_settings(address))
            meter = metrics_api.NoOpMeter('test')
            self.process = serving.build(self.told, meter)
            await group.spawn(serving.serve, self.process)
            await self.until(lambda: self.entry.ready())
            test = await group.spawn(body, self)
            await test.wait()
            await group.cancel_remaining()
        if test.exception is not None:
            raise test.exception
