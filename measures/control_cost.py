"""Cost of control: processor, memory and bytes a node, and their slopes."""

import contextlib
import pathlib
import tempfile
import threading
import time
from collections import abc

import attrs

from camphorstair_core import vms, watcher_selection
from camphorstair_runtime import following, list_following
from camphorstair_standins import fleet, loopback, sites
from measures import control_slopes, reports, statuses

ENTRY_COUNTS = (3, 9, 18)
WINDOW_S = 12.0
SETTLE_S = 4.0
MIB = 1_048_576
US_IN_S = 1_000_000
KIB = 1024
PERCENT = 100
DAY_S = 86400
LETTER_DATA_CENTRES = 8
LETTER_NODES = 370
LETTER_ENDPOINTS = 600
LETTER_ORGANISATIONS = 5800
LETTER_CHANGES = 400
LETTER_RESTARTS = 361
ANNOUNCEMENTS = 2
# Segments and acknowledgements of an exchange on an open connection.
HEADER_BYTES = 160
# Three exchanges begun and three answered every two seconds.
HEARTBEATS_PER_S = 3
# An entry's tables are brought up to date with each of them.
REFRESHES_PER_S = 3

_PATH = '/v1/chat/completions'
_DRAFT = b'{"model":"redacteur-8b","stream":true,"messages":[]}'


@attrs.define
class Usage:
    """What a process used in a window."""

    processor_percent: float
    memory_mib: float
    bytes_per_s: float


def measure(seed: int) -> reports.Report:
    """Measure at rest and with load, and derive the size of the letter.

    :param seed: Not used: the load is the same each time.
    """
    figures: dict[str, float] = {}
    rest = [_measure_entries(count) for count in ENTRY_COUNTS]
    for count, usage in zip(ENTRY_COUNTS, rest, strict=True):
        _add(figures, f'entry_rest_{count}_nodes', usage)
    _measure_site(figures)
    _add_slopes(figures)
    _add_letter(figures, rest)
    targets = [
        reports.Target('letter_processor_percent', at_most=2),
        reports.Target('letter_memory_mib', at_most=32),
        reports.Target('letter_node_bytes_per_s', at_most=3 * KIB),
        reports.Target('letter_watcher_bytes_per_s', at_most=3 * KIB),
    ]
    return reports.Report('control_cost', seed, figures, targets=targets)


def _measure_entries(count: int) -> Usage:
    """Return the largest usage of entries at rest without endpoints."""
    places = ('levis-nord', 'levis-sud', 'charny')
    entries = count // len(places)
    site = sites.Site('qc-est', places, entries, {}, sites.LEVIS_RULES)
    with _running(site) as running:
        return _largest(running, vms.VmRole.entry)


def _measure_site(figures: dict[str, float]) -> None:
    """Measure the whole site of today, at rest and with load."""
    with _running(sites.LEVIS) as running:
        for role in vms.VmRole:
            _add(figures, f'{role.value}_rest_site', _largest(running, role))
        with _load(running):
            for loaded in vms.VmRole:
                usage = _largest(running, loaded)
                _add(figures, f'{loaded.value}_load_site', usage)


@contextlib.contextmanager
def _running(site: sites.Site) -> abc.Iterator[fleet.Fleet]:
    with tempfile.TemporaryDirectory() as directory:
        running = fleet.Fleet(pathlib.Path(directory), site)
        try:
            running.start()
            time.sleep(SETTLE_S)
            yield running
        finally:
            running.processes.stop()


@contextlib.contextmanager
def _load(running: fleet.Fleet) -> abc.Iterator[None]:
    """Keep one caller busy at each entry."""
    ended = threading.Event()
    headers = {'authorization': f'Bearer {running.token("gravier")}'}

    def call(address: str) -> None:
        while not ended.is_set():
            loopback.http_call(address, _PATH, _DRAFT, headers)

    threads = [
        threading.Thread(target=call, args=(vm.callers_address,))
        for vm in running.entries
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        ended.set()
    for stopped in threads:
        stopped.join()


def _largest(running: fleet.Fleet, role: vms.VmRole) -> Usage:
    """Return the largest usage of the processes of a role in a window."""
    listed = [vm for vm in running.listed if vm.role is role]
    before = [statuses.read(vm) for vm in listed]
    time.sleep(WINDOW_S)
    after = [statuses.read(vm) for vm in listed]
    pairs = list(zip(before, after, strict=True))
    processor_s = max(new.processor_s - old.processor_s for old, new in pairs)
    control = max(new.control_bytes - old.control_bytes for old, new in pairs)
    return Usage(
        processor_s / WINDOW_S * PERCENT,
        max(status.memory_bytes for status in after) / MIB,
        control / WINDOW_S,
    )


def _add(figures: dict[str, float], name: str, usage: Usage) -> None:
    figures[f'{name}_processor_percent'] = usage.processor_percent
    figures[f'{name}_memory_mib'] = usage.memory_mib
    figures[f'{name}_bytes_per_s'] = usage.bytes_per_s


def _add_slopes(figures: dict[str, float]) -> None:
    steps = (
        ('heartbeat_round', control_slopes.heartbeat_round, 'NODES'),
        ('vm_list', control_slopes.vm_table, 'NODES'),
        ('endpoint_table', control_slopes.endpoint_table, 'ENDPOINTS'),
        ('rules', control_slopes.organisations, 'ORGANISATIONS'),
    )
    for name, step, sizes in steps:
        costs = [step(size) for size in getattr(control_slopes, sizes)]
        for cost in costs:
            figures[f'{name}_{cost.size}_us'] = cost.processor_us
        for field, unit in (('processor_us', 'us'), ('memory_kib', 'kib')):
            value = control_slopes.slope(costs, field)
            figures[f'{name}_slope_{unit}'] = value
    figures['exchange_us'] = control_slopes.exchange_us()
    figures['heartbeat_exchange_bytes'] = control_slopes.heartbeat_bytes()
    figures['compare_exchange_bytes'] = control_slopes.compare_bytes()
    figures['vm_change_bytes'] = control_slopes.vm_change_bytes()


def _add_letter(figures: dict[str, float], rest: list[Usage]) -> None:
    """Derive the cost of an entry at the size of the letter.

    A watcher answers the followers of its data centre and reads the VM list;
    another entry only follows.
    """
    base = rest[1]
    vm_count = LETTER_NODES + LETTER_ENDPOINTS
    added_kib = _letter_kib(figures)
    figures['letter_memory_mib'] = base.memory_mib + added_kib / KIB
    followers = vm_count / LETTER_DATA_CENTRES
    near = (1 - watcher_selection.FAR_SHARE) / following.FOLLOW_INTERVAL_S
    far = watcher_selection.FAR_SHARE / following.FOLLOW_INTERVAL_S
    asked = followers * near / watcher_selection.WATCHERS
    asked_far = far * vm_count / LETTER_NODES
    _add_bytes(figures, 'letter_node', 1 + asked_far)
    _add_bytes(figures, 'letter_watcher', 1 + asked_far + asked)
    list_bytes = vm_count * list_following.BYTES_PER_VM
    read = list_bytes / list_following.read_interval_s(vm_count)
    for suffix in ('payload_bytes_per_s', 'bytes_per_s'):
        figures[f'letter_watcher_{suffix}'] += read
    calls = 2 * (1 + asked_far + asked) + HEARTBEATS_PER_S
    added_us = calls * figures['exchange_us'] + _letter_us(figures)
    figures['letter_processor_percent'] = (
        base.processor_percent + added_us / US_IN_S * PERCENT
    )


def _add_bytes(
    figures: dict[str, float],
    name: str,
    compares_per_s: float,
) -> None:
    """Add the bytes a second of a node, without and with headers."""
    heartbeat = figures['heartbeat_exchange_bytes']
    announced = heartbeat * ANNOUNCEMENTS + figures['vm_change_bytes']
    daily = LETTER_RESTARTS * announced + LETTER_CHANGES * KIB
    payload = compares_per_s * figures['compare_exchange_bytes']
    payload += HEARTBEATS_PER_S * heartbeat + daily / DAY_S
    exchanges = 2 * compares_per_s + HEARTBEATS_PER_S
    figures[f'{name}_payload_bytes_per_s'] = payload
    figures[f'{name}_bytes_per_s'] = payload + exchanges * HEADER_BYTES


def _letter_us(figures: dict[str, float]) -> float:
    """Return the processor time a second that grows with tables."""
    changes = LETTER_CHANGES + LETTER_RESTARTS * ANNOUNCEMENTS
    rules_us = figures['rules_slope_us'] * LETTER_ORGANISATIONS
    refresh_us = figures['endpoint_table_slope_us'] * LETTER_ENDPOINTS
    round_us = figures['heartbeat_round_slope_us'] * LETTER_NODES
    return rules_us * changes / DAY_S + refresh_us * REFRESHES_PER_S + round_us


def _letter_kib(figures: dict[str, float]) -> float:
    vm_count = LETTER_NODES + LETTER_ENDPOINTS
    return (
        figures['vm_list_slope_kib'] * vm_count
        + figures['endpoint_table_slope_kib'] * LETTER_ENDPOINTS
        + figures['rules_slope_kib'] * LETTER_ORGANISATIONS
    )
