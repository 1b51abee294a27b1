"""Processor time per chunk, memory and added latency of the request path."""

import json
import pathlib
import statistics
import tempfile
import time

import curio

from camphorstair_core import messages
from camphorstair_runtime import http_client, http_messages
from camphorstair_standins import fleet, loopback, sites
from measures import reports, statuses

ORGANISATION = 'gravier'
CONCURRENT_STREAMS = 32
SEQUENTIAL_STREAMS = 3
TOKENS = 300
TOKEN_INTERVAL_S = 0.008
US_IN_S = 1_000_000
BYTES_IN_MB = 1_000_000

ENTRY_TARGET_US = 130
MEMORY_TARGET_MB = 32

_RULES = """\
service name=redacteur kind=engine in_flight=64 cold_in_flight=64  # measures
model name=redacteur-8b service=redacteur                         # measures
organisation name=gravier in_flight=400                           # measures
route path=/v1/chat/completions service=redacteur                 # measures
"""


def measure(seed: int) -> reports.Report:
    """Measure the request path with one entry, one agent and one engine.

    :param seed: Not used: the load is the same each time.
    """
    site = sites.Site('qc-est', ('levis-nord',), 1, {'redacteur': 1}, _RULES)
    behaviour = {'tokens': TOKENS, 'token_interval_s': TOKEN_INTERVAL_S}
    with tempfile.TemporaryDirectory() as directory:
        running = fleet.Fleet(pathlib.Path(directory), site)
        running.engine_settings = json.dumps(behaviour)
        try:
            running.start()
            return _measure_site(running, seed)
        finally:
            running.processes.stop()


def _measure_site(running: fleet.Fleet, seed: int) -> reports.Report:
    entry = running.entries[0]
    agent = running.agents[0]
    idle = (statuses.read(entry), statuses.read(agent))
    _stream_concurrently(running, entry.callers_address)
    before = (statuses.read(entry), statuses.read(agent))
    _stream_concurrently(running, entry.callers_address)
    after = (statuses.read(entry), statuses.read(agent))
    through_entry_s = _times_to_first_byte_s(running, entry.callers_address)
    direct_s = _times_to_first_byte_s(
        running, running.endpoint_addresses[agent.name]
    )
    added_s = statistics.median(through_entry_s) - statistics.median(direct_s)
    figures = {
        'entry_idle_mb': idle[0].memory_bytes / BYTES_IN_MB,
        'agent_idle_mb': idle[1].memory_bytes / BYTES_IN_MB,
        'entry_loaded_mb': after[0].memory_bytes / BYTES_IN_MB,
        'entry_us_per_chunk': _processor_us_per_chunk(before[0], after[0]),
        'agent_us_per_chunk': _processor_us_per_chunk(before[1], after[1]),
        'first_token_ratio': statistics.median(through_entry_s)
        / statistics.median(direct_s),
        'first_token_added_ms': added_s * 1000,
    }
    targets = [
        reports.Target('entry_us_per_chunk', at_most=ENTRY_TARGET_US),
        reports.Target('entry_idle_mb', at_most=MEMORY_TARGET_MB),
        reports.Target('agent_idle_mb', at_most=MEMORY_TARGET_MB),
    ]
    return reports.Report('request_path', seed, figures, targets=targets)


def _processor_us_per_chunk(
    before: messages.NodeStatus,
    after: messages.NodeStatus,
) -> float:
    """Return the processor time per streamed chunk in microseconds."""
    spent_s = after.processor_s - before.processor_s
    return spent_s * US_IN_S / (CONCURRENT_STREAMS * TOKENS)


def _stream_concurrently(running: fleet.Fleet, address: str) -> None:
    """Stream a number of answers concurrently."""
    curio.run(_stream_in_group, address, running.token(ORGANISATION))


def _times_to_first_byte_s(running: fleet.Fleet, address: str) -> list[float]:
    """Stream answers one by one; return the time to first byte of each."""
    token = running.token(ORGANISATION)
    return [
        curio.run(_stream, address, token) for _ in range(SEQUENTIAL_STREAMS)
    ]


async def _stream_in_group(address: str, token: str) -> None:
    async with curio.TaskGroup() as group:
        for _ in range(CONCURRENT_STREAMS):
            await group.spawn(_stream, address, token)


async def _stream(address: str, token: str) -> float:
    """Stream one answer and return the time to its first byte.

    :raises loopback.WaitError: if the answer is incomplete.
    """
    body = {'model': 'redacteur-8b', 'stream': True, 'messages': []}
    request = http_messages.Request(
        'POST',
        '/v1/chat/completions',
        [('authorization', f'Bearer {token}')],
        json.dumps(body).encode(),
    )
    start_s = time.perf_counter()
    exchange = await http_client.open_exchange(address, request)
    first = await exchange.read() or b''
    first_byte_s = time.perf_counter()
    answer = first + await exchange.read_all()
    await exchange.close()
    if not answer.rstrip().endswith(b'[DONE]'):
        raise loopback.WaitError(f'the answer is incomplete: {answer!r}')
    return first_byte_s - start_s
