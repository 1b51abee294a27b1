"""Processor time, memory and bytes that the control plane costs each node.

Small sites are measured with real processes. Their cost is extrapolated to the
target size (the ``letter_`` figures) with the slopes of ``control_slopes``.
"""

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
TARGET_DATA_CENTRES = 8
TARGET_NODES = 370
TARGET_ENDPOINTS = 600
TARGET_ORGANISATIONS = 5800
TARGET_CHANGES = 400
TARGET_RESTARTS = 361
ANNOUNCEMENTS_PER_RESTART = 2
# Headers of the segments and acknowledgements of one exchange on an open
# connection.
HEADER_BYTES = 160
# A node starts three heartbeats and answers three every two seconds.
HEARTBEATS_PER_S = 3
# An entry refreshes its tables with each heartbeat.
REFRESHES_PER_S = 3

_PATH = '/v1/chat/completions'
_REQUEST_BODY = b'{"model":"redacteur-8b","stream":true,"messages":[]}'


@attrs.define
class Usage:
    """What a process used in a time window.

    :ivar processor_percent: Processor time, in percent of one core.
    :ivar memory_mib: Memory at the end of the window.
    :ivar bytes_per_s: Bytes of the control plane, sent and received.
    """

    processor_percent: float
    memory_mib: float
    bytes_per_s: float


def measure(seed: int) -> reports.Report:
    """Measure idle and loaded sites, and extrapolate to the target size.

    :param seed: Not used: the load is the same each time.
    """
    figures: dict[str, float] = {}
    idle = [_measure_entries(count) for count in ENTRY_COUNTS]
    for count, usage in zip(ENTRY_COUNTS, idle, strict=True):
        _add_usage(figures, f'entry_rest_{count}_nodes', usage)
    _measure_site(figures)
    _add_slopes(figures)
    _add_target_size(figures, idle)
    targets = [
        reports.Target('letter_processor_percent', at_most=2),
        reports.Target('letter_memory_mib', at_most=32),
        reports.Target('letter_node_bytes_per_s', at_most=3 * KIB),
        reports.Target('letter_watcher_bytes_per_s', at_most=3 * KIB),
    ]
    return reports.Report('control_cost', seed, figures, targets=targets)


def _measure_entries(count: int) -> Usage:
    """Return the largest usage of an entry, idle and without endpoints."""
    data_centres = ('levis-nord', 'levis-sud', 'charny')
    entries = count // len(data_centres)
    site = sites.Site('qc-est', data_centres, entries, {}, sites.LEVIS_RULES)
    with _run_site(site) as running:
        return _largest_usage(running, vms.VmRole.entry)


def _measure_site(figures: dict[str, float]) -> None:
    """Measure each role in ``sites.LEVIS``, idle and with load."""
    with _run_site(sites.LEVIS) as running:
        for role in vms.VmRole:
            _add_usage(
                figures,
                f'{role.value}_rest_site',
                _largest_usage(running, role),
            )
        with _generate_load(running):
            for loaded_role in vms.VmRole:
                usage = _largest_usage(running, loaded_role)
                _add_usage(figures, f'{loaded_role.value}_load_site', usage)


@contextlib.contextmanager
def _run_site(site: sites.Site) -> abc.Iterator[fleet.Fleet]:
    """Run the processes of a site within the context."""
    with tempfile.TemporaryDirectory() as directory:
        running = fleet.Fleet(pathlib.Path(directory), site)
        try:
            running.start()
            time.sleep(SETTLE_S)
            yield running
        finally:
            running.processes.stop()


@contextlib.contextmanager
def _generate_load(running: fleet.Fleet) -> abc.Iterator[None]:
    """Run one caller at each entry, which sends requests back to back."""
    ended = threading.Event()
    headers = {'authorization': f'Bearer {running.token("gravier")}'}

    def call(address: str) -> None:
        while not ended.is_set():
            loopback.http_call(address, _PATH, _REQUEST_BODY, headers)

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


def _largest_usage(running: fleet.Fleet, role: vms.VmRole) -> Usage:
    """Return the largest usage of any process of a role in a time window."""
    listed = [vm for vm in running.listed if vm.role is role]
    before = [statuses.read(vm) for vm in listed]
    time.sleep(WINDOW_S)
    after = [statuses.read(vm) for vm in listed]
    pairs = list(zip(before, after, strict=True))
    processor_s = max(new.processor_s - old.processor_s for old, new in pairs)
    exchanged_bytes = max(
        new.control_bytes - old.control_bytes for old, new in pairs
    )
    return Usage(
        processor_s / WINDOW_S * PERCENT,
        max(status.memory_bytes for status in after) / MIB,
        exchanged_bytes / WINDOW_S,
    )


def _add_usage(figures: dict[str, float], name: str, usage: Usage) -> None:
    figures[f'{name}_processor_percent'] = usage.processor_percent
    figures[f'{name}_memory_mib'] = usage.memory_mib
    figures[f'{name}_bytes_per_s'] = usage.bytes_per_s


def _add_slopes(figures: dict[str, float]) -> None:
    """Add the costs of single steps and their growth with table sizes."""
    measured_steps = (
        ('heartbeat_round', control_slopes.heartbeat_round, 'NODES'),
        ('vm_list', control_slopes.vm_table, 'NODES'),
        ('endpoint_table', control_slopes.endpoint_table, 'ENDPOINTS'),
        ('rules', control_slopes.organisations, 'ORGANISATIONS'),
    )
    for name, step, sizes in measured_steps:
        costs = [step(size) for size in getattr(control_slopes, sizes)]
        for cost in costs:
            figures[f'{name}_{cost.size}_us'] = cost.processor_us
        for cost_field, unit in (('processor_us', 'us'), ('memory_kib', 'kib')):
            value = control_slopes.slope(costs, cost_field)
            figures[f'{name}_slope_{unit}'] = value
    figures['exchange_us'] = control_slopes.exchange_us()
    figures['heartbeat_exchange_bytes'] = control_slopes.heartbeat_bytes()
    figures['compare_exchange_bytes'] = control_slopes.compare_bytes()
    figures['vm_change_bytes'] = control_slopes.vm_change_bytes()


def _add_target_size(figures: dict[str, float], idle: list[Usage]) -> None:
    """Extrapolate the cost of an entry to the target size.

    A watcher reads the VM list from the platform and answers the followers of
    its data centre; any other entry only follows.
    """
    base = idle[1]
    vm_count = TARGET_NODES + TARGET_ENDPOINTS
    added_kib = _target_memory_kib(figures)
    figures['letter_memory_mib'] = base.memory_mib + added_kib / KIB
    followers = vm_count / TARGET_DATA_CENTRES
    near_compares_per_s = (
        1 - watcher_selection.FAR_SHARE
    ) / following.FOLLOW_INTERVAL_S
    far_compares_per_s = (
        watcher_selection.FAR_SHARE / following.FOLLOW_INTERVAL_S
    )
    watcher_compares_per_s = (
        followers * near_compares_per_s / watcher_selection.WATCHERS
    )
    far_received_per_s = far_compares_per_s * vm_count / TARGET_NODES
    _add_bytes_per_s(figures, 'letter_node', 1 + far_received_per_s)
    _add_bytes_per_s(
        figures,
        'letter_watcher',
        1 + far_received_per_s + watcher_compares_per_s,
    )
    list_bytes = vm_count * list_following.BYTES_PER_VM
    list_bytes_per_s = list_bytes / list_following.read_interval_s(vm_count)
    for suffix in ('payload_bytes_per_s', 'bytes_per_s'):
        figures[f'letter_watcher_{suffix}'] += list_bytes_per_s
    exchanges_per_s = (
        2 * (1 + far_received_per_s + watcher_compares_per_s) + HEARTBEATS_PER_S
    )
    added_us = exchanges_per_s * figures['exchange_us'] + _target_processor_us(
        figures
    )
    figures['letter_processor_percent'] = (
        base.processor_percent + added_us / US_IN_S * PERCENT
    )


def _add_bytes_per_s(
    figures: dict[str, float],
    name: str,
    compares_per_s: float,
) -> None:
    """Add the bytes per second of a node, without and with packet headers.

    :param figures: Figures to add to.
    :param name: Prefix of the figures' names.
    :param compares_per_s: Comparisons of revision and VM list per second that
        the node takes part in.
    """
    heartbeat = figures['heartbeat_exchange_bytes']
    restart_bytes = (
        heartbeat * ANNOUNCEMENTS_PER_RESTART + figures['vm_change_bytes']
    )
    daily_bytes = TARGET_RESTARTS * restart_bytes + TARGET_CHANGES * KIB
    payload_per_s = compares_per_s * figures['compare_exchange_bytes']
    payload_per_s += HEARTBEATS_PER_S * heartbeat + daily_bytes / DAY_S
    exchanges_per_s = 2 * compares_per_s + HEARTBEATS_PER_S
    figures[f'{name}_payload_bytes_per_s'] = payload_per_s
    figures[f'{name}_bytes_per_s'] = (
        payload_per_s + exchanges_per_s * HEADER_BYTES
    )


def _target_processor_us(figures: dict[str, float]) -> float:
    """Return the processor time in us per second that grows with the tables."""
    changes = TARGET_CHANGES + TARGET_RESTARTS * ANNOUNCEMENTS_PER_RESTART
    rules_us = figures['rules_slope_us'] * TARGET_ORGANISATIONS
    refresh_us = figures['endpoint_table_slope_us'] * TARGET_ENDPOINTS
    round_us = figures['heartbeat_round_slope_us'] * TARGET_NODES
    return rules_us * changes / DAY_S + refresh_us * REFRESHES_PER_S + round_us


def _target_memory_kib(figures: dict[str, float]) -> float:
    """Return the memory of the tables at the target size in KiB."""
    vm_count = TARGET_NODES + TARGET_ENDPOINTS
    return (
        figures['vm_list_slope_kib'] * vm_count
        + figures['endpoint_table_slope_kib'] * TARGET_ENDPOINTS
        + figures['rules_slope_kib'] * TARGET_ORGANISATIONS
    )
