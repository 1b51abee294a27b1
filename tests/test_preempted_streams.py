"""Tests of the count of streams that paused at engines with full memory."""

import fleet_bench
import pytest

from camphorstair_core.fleet import memory_placement
from camphorstair_platform_standins import documents, scripted
from camphorstair_runtime import clocks

CAPACITY = 1000


@pytest.mark.parametrize(
    ('kv_used', 'gap_target_ms', 'count'),
    [(960, 50, 1), (940, 50, 0), (960, 2000, 0), (960, 0, 0)],
)
def test_a_stream_that_pauses_at_a_full_engine_is_counted_once(
    caplog: pytest.LogCaptureFixture,
    kv_used: int,
    gap_target_ms: int,
    count: int,
) -> None:
    """Operators could not tell such pauses from those of slow engines."""
    caplog.set_level('INFO', logger='camphorstair.fleet.preempted_streams')

    async def body(running: fleet_bench.FleetBench) -> None:
        script = scripted.Script(events=3, gap_s=0.2)
        await running.add_endpoint('i-1', 'engine', script)
        running.configure(
            2,
            Routes=[
                fleet_bench.route(
                    'draft', 'streaming', 'engine', GapAimMs=gap_target_ms
                )
            ],
            Services=[
                documents.service(
                    'engine', EngineProfile={'KvCapacity': CAPACITY}
                )
            ],
        )
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        endpoint = running.entry.endpoints.endpoints['i-1']
        memory_placement.record_report(
            running.entry.candidate(endpoint).load,
            kv_used,
            clocks.monotonic_s(),
        )
        assert (await running.call('/draft/')).status == 200

    fleet_bench.FleetBench().run(body)
    lines = [record for record in caplog.records if 'memory' in record.message]
    assert len(lines) == count
