"""Cost of the request path: processor time a chunk, memory of a process."""

import json
import pathlib
import tempfile
import time

import psutil

from camphorstair_core import vms
from camphorstair_standins import fleet, loopback, sites
from measures import reports

ORGANISATION = 'gravier'
REQUESTS = 20
TOKENS = 400
US_IN_S = 1_000_000
MIB = 1_048_576

ENTRY_TARGET_US = 130
MEMORY_TARGET_MIB = 32

_RULES = """\
service name=redacteur kind=engine in_flight=16 cold_in_flight=8  # measures
model name=redacteur-8b service=redacteur                         # measures
organisation name=gravier in_flight=400                           # measures
route path=/v1/chat/completions service=redacteur                 # measures
"""


def measure(seed: int) -> reports.Report:
    """Measure the request path with one entry, one agent and one engine.

    :param seed: Not used: the load is the same each time.
    """
    site = sites.Site('qc-est', ('levis-nord',), 1, {'redacteur': 1}, _RULES)
    with tempfile.TemporaryDirectory() as directory:
        running = fleet.Fleet(pathlib.Path(directory), site)
        running.engine_settings = f'{{"tokens":{TOKENS},"token_interval_s":0}}'
        try:
            running.start()
            return _measure(running, seed)
        finally:
            running.processes.stop()


def _measure(running: fleet.Fleet, seed: int) -> reports.Report:
    entry = _process(running, vms.VmRole.entry)
    agent = _process(running, vms.VmRole.agent)
    figures = {
        'entry_idle_mib': entry.memory_info().rss / MIB,
        'agent_idle_mib': agent.memory_info().rss / MIB,
    }
    address = running.entries[0].callers_address
    engine = running.endpoint_addresses[running.agents[0].name]
    _stream(running, address)
    before = (_processor_s(entry), _processor_s(agent))
    through_s = min(_stream(running, address) for _ in range(REQUESTS))
    after = (_processor_s(entry), _processor_s(agent))
    direct_s = min(_stream(running, engine) for _ in range(REQUESTS))
    chunks = REQUESTS * TOKENS
    figures['entry_us_per_chunk'] = (after[0] - before[0]) * US_IN_S / chunks
    figures['agent_us_per_chunk'] = (after[1] - before[1]) * US_IN_S / chunks
    figures['first_token_ratio'] = through_s / direct_s
    targets = [
        reports.Target('entry_us_per_chunk', at_most=ENTRY_TARGET_US),
        reports.Target('entry_idle_mib', at_most=MEMORY_TARGET_MIB),
        reports.Target('agent_idle_mib', at_most=MEMORY_TARGET_MIB),
    ]
    return reports.Report('request_path', seed, figures, targets=targets)


def _process(running: fleet.Fleet, role: vms.VmRole) -> psutil.Process:
    vm = next(vm for vm in running.listed if vm.role is role)
    return psutil.Process(running.processes.rows[vm.name].pid)


def _processor_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _stream(running: fleet.Fleet, address: str) -> float:
    """Stream an answer and return the time to its first byte."""
    body = {'model': 'redacteur-8b', 'stream': True, 'messages': []}
    headers = {'authorization': f'Bearer {running.token(ORGANISATION)}'}
    start_s = time.perf_counter()
    answer = loopback.http_call(
        address,
        '/v1/chat/completions',
        json.dumps(body).encode(),
        headers,
    )
    if not answer.body.rstrip().endswith(b'[DONE]'):
        raise loopback.WaitError('the answer is not whole')
    return answer.first_byte_s - start_s
