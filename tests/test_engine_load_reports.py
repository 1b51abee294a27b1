"""Tests of the engine loads that agents send and entries record."""

import socket

import attrs
import curio
import fleet_bench
import msgspec
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import (
    engine_calls,
    instruments,
    sensing,
    state,
)
from camphorstair_core.fleet import membership
from camphorstair_fleet import internal_messages
from camphorstair_platform import boot
from camphorstair_runtime import (
    http_messages,
    http_server,
    listening,
    settings,
)
from camphorstair_standins import loopback


@pytest.mark.parametrize('kv_used', [7, None])
def test_entry_records_reports_of_new_and_older_agents(
    kv_used: int | None,
) -> None:
    """During an upgrade the entries receive reports of both versions."""

    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'engine')
        endpoint = running.entry.endpoints.endpoints['i-1']
        message = {
            'address': endpoint.registration.address,
            'running': 3,
            'waiting': 1,
            'pace': 1,
            'is_open': True,
        }
        if kv_used is not None:
            message['kv_used'] = kv_used
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(
                msgspec.msgpack.encode(message),
                (running.told.address, running.told.internal_port),
            )
        load = running.entry.candidate(endpoint).load
        await running.wait_until(lambda: load.reported == 4)
        assert load.kv_reported == (kv_used or 0)
        assert bool(load.kv_reported_s) is (kv_used is not None)

    fleet_bench.FleetBench().run(body)


def test_memory_in_use_is_sent_only_along_with_other_changes() -> None:
    """It changes with each token, and would multiply the messages."""
    reports: list[int] = []

    async def engine(
        _request: http_messages.Request, responder: http_server.Responder
    ) -> None:
        report = {'Running': 2, 'Waiting': 0, 'KvUsed': 100 + len(reports)}
        reports.append(report['KvUsed'])
        await responder.respond(
            http_messages.Response(200, [], msgspec.json.encode(report))
        )

    received = curio.run(_received_reports, engine, 1.0)
    at_most = 1 + 1.0 / sensing.MAX_SILENCE_S
    assert 2 <= len(received) <= at_most
    assert len(reports) > 2 * len(received)
    assert received[0].kv_used == 100
    assert all(report.kv_used in reports for report in received)
    assert received[-1].kv_used > 100 + len(received)


async def _received_reports(
    engine: http_server.ResponderHandler, limit_s: float
) -> list[internal_messages.EngineLoad]:
    """Return what an agent beside an engine sends to an entry."""
    addresses = [loopback.free_address() for _ in range(2)]
    told = attrs.evolve(
        boot.decode(fleet_bench.boot_settings('127.0.0.1:1')),
        engine_address=addresses[0],
    )
    entry = membership.Member('front-1', 'levis-nord', '', addresses[1])
    reporter = sensing.LoadReporter(
        state.FleetAgent(
            told,
            instruments.create(metrics_api.NoOpMeter('test')),
            selected=[entry],
        ),
        engine_calls.EngineCalls(addresses[0]),
    )
    received = []
    async with curio.TaskGroup(wait=any) as group:
        host, port = settings.split_address(addresses[0])
        serve = http_server.Server(engine).serve
        await group.spawn(listening.serve, host, port, serve)
        await curio.sleep(0.02)
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            sock.bind(settings.split_address(addresses[1]))
            await group.spawn(reporter.run)
            async with curio.ignore_after(limit_s):
                while True:
                    content, _sender = await sock.recvfrom(2048)
                    received.append(
                        internal_messages.decode(
                            content, internal_messages.EngineLoad
                        )
                    )
        await group.cancel_remaining()
    return received
