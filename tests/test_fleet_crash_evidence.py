"""Tests that what is known of crashes outlives restarts and outages."""

import curio
import fleet_bench
import msgspec
import pytest

from camphorstair.fleet import crash_reporting, serving
from camphorstair_core.fleet import crash_reports, suspect_kinds
from camphorstair_fleet import keys

SUSPECT = 'request-1'
REPORT_KEY = keys.crash_reports('front-1')
QUARANTINE_KEY = keys.quarantined(SUSPECT)
OUTAGE_S = 1.0


async def _report(process: serving.Process, crash: str) -> None:
    """Report a crash under a request that was sent again after another one."""
    await crash_reporting.report_suspects(
        process.entry, crash, crash_reports.Suspicion((SUSPECT,), (SUSPECT,))
    )


def _reported(running: fleet_bench.FleetBench) -> set[str]:
    """Return the crashes of which the store has the first entry's reports."""
    row = running.store.rows.get(REPORT_KEY)
    if row is None:
        return set()
    reports = msgspec.json.decode(
        row.content, type=tuple[crash_reports.CrashReport, ...]
    )
    return {report.crash for report in reports}


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def test_an_entry_that_restarts_keeps_the_reports_of_its_earlier_process(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _report(running.process, 'i-1@0')
        await running.wait_until(lambda: _reported(running))
        restarted = await running.add_entry('front-1')
        await _report(restarted, 'i-2@0')
        await running.wait_until(lambda: 'i-2@0' in _reported(running))
        assert _reported(running) == {'i-1@0', 'i-2@0'}

    bench.run(body)


def test_a_conclusion_reaches_the_store_after_its_outage(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.store.faults.refuses = True
        await _report(running.process, 'i-1@0')
        holds = running.entry.crashes.quarantined.holds
        await running.wait_until(lambda: SUSPECT in holds)
        await curio.sleep(OUTAGE_S)
        running.store.faults.refuses = False
        await running.wait_until(lambda: QUARANTINE_KEY in running.store.rows)

    bench.run(body)


def test_reports_are_written_again_to_a_store_that_lost_them(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        earlier = running.store.copy_content()
        await _report(running.process, 'i-1@0')
        await running.wait_until(lambda: QUARANTINE_KEY in running.store.rows)
        running.store.come_back(earlier)
        assert not _reported(running)
        await running.wait_until(lambda: _reported(running))
        await running.wait_until(lambda: QUARANTINE_KEY in running.store.rows)

    bench.run(body)


def test_entries_leave_orders_that_crash_engines_to_the_agents(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        orders = (suspect_kinds.order('prepare', 'g'),)
        for crash in ('i-1@0', 'i-2@0'):
            reports = (crash_reports.CrashReport(crash, orders),)
            running.store.put(
                keys.crash_reports('side-1'), msgspec.json.encode(reports)
            )
            await curio.sleep(OUTAGE_S)
        await _report(running.process, 'i-3@0')
        holds = running.entry.crashes.quarantined.holds
        await running.wait_until(lambda: holds)
        assert list(holds) == [SUSPECT]

    bench.run(body)
