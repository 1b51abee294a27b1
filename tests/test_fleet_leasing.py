"""Tests of leadership, which a process holds by a leased key of the store."""

import fleet_bench
import pytest

from camphorstair_fleet import leasing
from camphorstair_platform import store

KEY = 'camphorstair/planners/g'


@pytest.mark.parametrize(
    ('successor', 'takes'), [('vm-1', True), ('vm-2', False)]
)
def test_restarted_process_takes_over_only_its_own_lease(
    successor: str,
    *,
    takes: bool,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        client = store.StoreClient(running.told.store.address)
        before = leasing.Leadership(client, KEY, b'vm-1', 60)
        assert await before.acquire()
        after = leasing.Leadership(client, KEY, successor.encode(), 60)
        await after.end_previous_lease()
        assert await after.acquire() is takes
        assert (after.revision > before.revision) is takes
        assert await before.renew() is not takes
        await client.close()

    fleet_bench.FleetBench().run(body)
