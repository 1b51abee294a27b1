"""Tests of the priority that engines of ranked services are told."""

import fleet_bench
import pytest

from camphorstair_core.fleet import engine_priorities
from camphorstair_platform_standins import documents

PRIORITY = 'x-camphorstair-request-priority'
ROUTES = (
    fleet_bench.route('draft', 'streaming', 'engine'),
    fleet_bench.route('urgent', 'streaming', 'engine', Priority=0),
    fleet_bench.route('look', 'idempotent', 'plain'),
)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


@pytest.mark.parametrize(
    ('tier', 'priority'), [(-2, 0), (0, 0), (3, 3), (9, 9), (14, 9)]
)
def test_priority_is_the_tier_within_the_range_of_engines(
    tier: int, priority: int
) -> None:
    """An engine ignores or refuses a priority outside of 0 to 9."""
    assert engine_priorities.engine_priority(tier) == priority


@pytest.mark.parametrize(
    ('path', 'service', 'organisation', 'priority'),
    [
        ('/urgent/', 'engine', None, '0'),
        ('/draft/', 'engine', None, '2'),
        ('/urgent/', 'engine', 7, '9'),
        ('/look/', 'plain', None, ''),
        ('/look/', 'plain', 7, ''),
    ],
)
def test_priority_is_sent_to_endpoints_of_ranked_services_only(
    bench: fleet_bench.FleetBench,
    path: str,
    service: str,
    organisation: int | None,
    priority: str,
) -> None:
    """Engines would serve all as equals, or plain services see a new header.

    The caller's own value must reach neither.
    """
    tenant = documents.organisation('gravier', fleet_bench.KEY)
    tenant.pop('Priority')
    if organisation is not None:
        tenant['Priority'] = organisation

    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', service)
        running.configure(2, Routes=ROUTES, Tenants=[tenant])
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        await running.call(path, x_camphorstair_request_priority='4')
        names = [name for name, _text in endpoint.arrivals[0].headers]
        assert names.count(PRIORITY) == bool(priority)
        assert endpoint.arrivals[0].header(PRIORITY) == priority

    bench.run(body)


def test_priority_is_not_sent_while_all_routes_have_the_same(
    bench: fleet_bench.FleetBench,
) -> None:
    """A service that is not ranked must be served exactly as before."""

    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'engine')
        await running.call('/draft/')
        names = {name for name, _text in endpoint.arrivals[0].headers}
        assert PRIORITY not in names

    bench.run(body)
