"""Propagation time and cost of a configuration change, and sizes of rules.

The sizes are measured up to the number of organisations that the project is
designed for.
"""

import json
import pathlib
import random
import tempfile
import threading
import time
import tracemalloc

import attrs
import curio
import msgspec

from camphorstair_core import (
    changes,
    configuration,
    messages,
    rule_reader,
    vms,
)
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    links,
    peers,
    platform,
    settings,
)
from camphorstair_standins import fleet, loopback, sites
from measures import reports

NODES = (3, 6, 9)
CHANGES = 6
PROPAGATION_TIMEOUT_S = 30.0
IDLE_WINDOW_S = 6.0
POLL_S = 0.02
STATUS_LIMIT_S = 1.0
ORGANISATIONS = (580, 2900, 5800)
MODELS = 11
AUTHOR = changes.Author('measure', 0)
MS_IN_S = 1000
MIB = 1_048_576

SPREAD_TARGET_S = 5
VALUE_TARGET_BYTES = 1_000_000

_RULES = """\
service name=redacteur kind=engine in_flight=16 cold_in_flight=8  # measures
model name=redacteur-8b service=redacteur                         # measures
organisation name=gravier in_flight=400                           # measures
route path=/v1/chat/completions service=redacteur                 # measures
"""


def measure(seed: int) -> reports.Report:
    """Measure propagation with real processes, and sizes with generated rules.

    :param seed: Seed of the generated rules.
    """
    figures: dict[str, float] = {}
    for nodes in NODES:
        figures.update(_run_propagation(nodes))
    first, last = NODES[0], NODES[-1]
    increase_s = (
        figures[f'in_force_max_s_{last}'] - figures[f'in_force_max_s_{first}']
    )
    figures['in_force_slope_s_per_node'] = increase_s / (last - first)
    for organisations in ORGANISATIONS:
        figures.update(_measure_sizes(organisations, seed))
    targets = [
        reports.Target(f'in_force_max_s_{last}', at_most=SPREAD_TARGET_S),
        reports.Target(f'lost_or_reverted_{last}', at_most=0),
        reports.Target('snapshot_bytes_5800', at_most=VALUE_TARGET_BYTES),
    ]
    baseline = {
        f'delta_bytes_{count}': figures[f'text_bytes_{count}']
        for count in ORGANISATIONS
    }
    return reports.Report(
        'configuration',
        seed,
        figures,
        baseline=baseline,
        targets=targets,
    )


def _run_propagation(nodes: int) -> dict[str, float]:
    entries = nodes // 3
    data_centres = ('levis-nord', 'levis-sud', 'charny')
    site = sites.Site('qc-est', data_centres, entries, {}, _RULES)
    with tempfile.TemporaryDirectory() as directory:
        running = fleet.Fleet(pathlib.Path(directory), site)
        try:
            running.start()
            return _measure_propagation(running)
        finally:
            running.processes.stop()


def _measure_propagation(running: fleet.Fleet) -> dict[str, float]:
    """Apply the changes and return the figures of their propagation.

    The idle traffic to the platform, measured afterwards, is subtracted.
    """
    count = len(running.listed)
    before = _platform_usage(running)
    started_s = time.perf_counter()
    times_s = [
        _apply_change(running, number) for number in range(2, CHANGES + 2)
    ]
    lasted_s = time.perf_counter() - started_s
    after = _platform_usage(running)
    time.sleep(IDLE_WINDOW_S)
    after_idle = _platform_usage(running)
    idle_calls_per_s = (after_idle.calls - after.calls) / IDLE_WINDOW_S
    idle_bytes_per_s = (after_idle.bytes - after.bytes) / IDLE_WINDOW_S
    calls = after.calls - before.calls - idle_calls_per_s * lasted_s
    exchanged_bytes = after.bytes - before.bytes - idle_bytes_per_s * lasted_s
    return {
        f'in_force_median_s_{count}': sorted(times_s)[CHANGES // 2],
        f'in_force_max_s_{count}': max(times_s),
        f'lost_or_reverted_{count}': _count_lost(running),
        f'platform_calls_per_change_{count}': calls / CHANGES,
        f'platform_bytes_per_change_{count}': exchanged_bytes / CHANGES,
        f'platform_rest_calls_per_s_{count}': idle_calls_per_s,
    }


def _count_lost(running: fleet.Fleet) -> int:
    """Count missing changes plus processes without the last revision."""
    last = CHANGES + 1
    revisions = _revisions(running)
    client = platform.PlatformClient([running.key_value_address])
    recorded_changes = curio.run(configuration_store.history, client, last)
    recorded_revisions = [change.revision for change in recorded_changes]
    missing = len(set(range(1, last + 1)).difference(recorded_revisions))
    return missing + len(revisions) - revisions.count(last)


def _apply_change(running: fleet.Fleet, revision: int) -> float:
    """Apply a change and return the time until it is in force at all nodes.

    The time starts at the timestamp of the audit entry, which is written just
    before the change is accepted.

    :raises loopback.WaitError: if the change is not in force in time.
    """
    text = running.rules_path.read_text(encoding='utf-8')
    line = f'organisation name=yard-{revision} in_flight=4  # measures\n'
    running.rules_path.write_text(text + line, encoding='utf-8')
    apply_thread = threading.Thread(target=running.apply)
    apply_thread.start()
    deadline_s = time.monotonic() + PROPAGATION_TIMEOUT_S
    while min(_revisions(running)) < revision:
        if time.monotonic() > deadline_s:
            raise loopback.WaitError(
                f'revision {revision} is not in force at all nodes in time'
            )
        time.sleep(POLL_S)
    in_force_epoch_s = time.time()
    apply_thread.join()
    client = platform.PlatformClient([running.key_value_address])
    recorded_changes = curio.run(configuration_store.history, client, 1)
    return in_force_epoch_s - recorded_changes[0].at_epoch_s


def _revisions(running: fleet.Fleet) -> list[int]:
    return curio.run(_query_revisions, running.listed)


async def _query_revisions(listed: list[vms.Vm]) -> list[int]:
    group = curio.TaskGroup()
    async with group:
        for vm in listed:
            await group.spawn(_query_revision, vm)
    return list(group.results)


async def _query_revision(vm: vms.Vm) -> int:
    """Return the revision in force at a process; 0 if it does not answer."""
    address = settings.split_address(vm.peers_address)
    request = messages.StatusRequest()
    try:
        reply = await peers.call(address, None, request, STATUS_LIMIT_S)
    except links.LinkError:
        return 0
    return reply.revision if isinstance(reply, messages.NodeStatus) else 0


@attrs.define
class _Usage:
    """Calls to the platform and bytes exchanged with it since its start."""

    calls: int
    bytes: int


def _platform_usage(running: fleet.Fleet) -> _Usage:
    answer = loopback.http_call(running.key_value_address, '/faults')
    usage = json.loads(answer.body)
    exchanged_bytes = usage['received_bytes'] + usage['sent_bytes']
    return _Usage(sum(usage['calls'].values()), exchanged_bytes)


def _generate_rules(organisations: int, seed: int) -> str:
    """Return a generated rules file."""
    generator = random.Random(seed)
    lines = [_RULES.rstrip()]
    for model in range(MODELS):
        service = f'service-{model:02}'
        limits = 'kind=engine in_flight=16 cold_in_flight=2'
        lines.append(f'service name={service} {limits}  # platform team')
        lines.append(f'model name=model-{model:02} service={service}  # same')
    for number in range(organisations):
        lines.append(_organisation_line(number, generator))
    return '\n'.join([*lines, ''])


def _organisation_line(number: int, generator: random.Random) -> str:
    in_flight = generator.randint(1, 400)
    priority = generator.choice(('low', 'normal', 'high'))
    ticket = generator.randint(10000, 99999)
    return (
        f'organisation name=organisation-{number:05} in_flight={in_flight}'
        f' priority={priority}  # ticket {ticket}, contract desk'
    )


def _measure_sizes(organisations: int, seed: int) -> dict[str, float]:
    text = _generate_rules(organisations, seed)
    current = configuration.Configuration(1, '0' * 32, text)
    snapshot = configuration_values.encode_snapshot(current)
    line = 'organisation name=one-more in_flight=4  # measures\n'
    started_s = time.process_time()
    change = changes.build_change(
        changes.RulesText(1, text),
        changes.RulesText(2, text + line),
        '1' * 32,
        AUTHOR,
    )
    delta_s = time.process_time() - started_s
    started_s = time.process_time()
    rule_reader.read(text)
    parse_s = time.process_time() - started_s
    tracemalloc.start()
    parsed = rule_reader.read(text)
    retained_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if parsed.faults:
        raise loopback.WaitError(str(parsed.faults[0]))
    return {
        f'text_bytes_{organisations}': len(text.encode()),
        f'snapshot_bytes_{organisations}': len(snapshot),
        f'delta_bytes_{organisations}': len(msgspec.json.encode(change)),
        f'delta_ms_{organisations}': delta_s * MS_IN_S,
        f'parse_ms_{organisations}': parse_s * MS_IN_S,
        f'rules_kept_mib_{organisations}': retained_bytes / MIB,
        f'parse_peak_mib_{organisations}': peak_bytes / MIB,
    }
