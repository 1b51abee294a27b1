"""Ranks of one group at an entry, and reports of how slow they are."""

import fleet_bench

from camphorstair_core.fleet import placement
from camphorstair_platform_standins import scripted
from camphorstair_runtime import clocks
from camphorstair_standins import loopback

SLOTS = 4


async def add(
    running: fleet_bench.FleetBench,
    name: str,
    rank: int,
    script: scripted.Script,
    slots: int = SLOTS,
) -> scripted.ScriptedEndpoint:
    """Start one rank of an open (working) group of two ranks."""
    endpoint = await running.add_endpoint(name, 'engine', script)
    listed = running.entry.endpoints.endpoints
    address = listed[name].registration.address
    await _register(running, name, rank, address, slots)
    return endpoint


async def add_raw(
    running: fleet_bench.FleetBench,
    name: str,
    rank: int,
    serve: fleet_bench.ServeConnection,
) -> None:
    """Start a rank whose connections are served without HTTP."""
    address = loopback.free_address()
    await running.listen_raw(address, serve)
    await _register(running, name, rank, address, SLOTS)


async def _register(
    running: fleet_bench.FleetBench,
    name: str,
    rank: int,
    address: str,
    slots: int,
) -> None:
    running.register(
        name,
        'engine',
        address,
        group={'Name': 'g', 'epoch': 1, 'rank': rank, 'State': 'open'},
        size=2,
        Slots=slots,
    )
    listed = running.entry.endpoints.endpoints
    await running.wait_until(
        lambda: name in listed and listed[name].registration.membership
    )


def report_pace(
    running: fleet_bench.FleetBench, name: str, pace: float
) -> None:
    """Apply an engine report with a pace to an endpoint's load."""
    load = running.entry.candidates[name].load
    placement.record_report(load, load.running, 0, clocks.monotonic_s())
    load.pace = pace


def running_at(running: fleet_bench.FleetBench, name: str) -> int:
    """Return how many requests the entry counts at an endpoint."""
    load = running.entry.candidates[name].load
    return load.running
