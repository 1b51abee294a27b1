"""Tests of an entry's directory of entries and of its readiness."""

import http

import fleet_bench
import msgspec
import pytest

from camphorstair_core.fleet import membership
from camphorstair_runtime import http_client, http_messages

OTHER = membership.Member('front-2', 'levis-nord', '127.0.0.1:9', '127.0.0.1:8')


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


async def _query_directory(
    running: fleet_bench.FleetBench,
) -> http_messages.Response:
    request = http_messages.Request(
        'GET',
        '/camphorstair/resolve?Name=x&Region=qc-est&Zone=levis-nord',
        [],
        b'',
    )
    return await http_client.fetch(running.told.directory_address, request)


async def _listed_addresses(running: fleet_bench.FleetBench) -> set[str]:
    answer = await _query_directory(running)
    return set(msgspec.json.decode(answer.body)['Addresses'])


async def _readiness_status(running: fleet_bench.FleetBench) -> int:
    request = http_messages.Request('GET', '/camphorstair/ready', [], b'')
    answer = await http_client.fetch(running.told.ready_address, request)
    return answer.status


async def _lose_store(running: fleet_bench.FleetBench) -> None:
    """Disconnect the store and age the data until keys are refused."""
    running.store.faults.refuses = True
    await running.wait_until(
        lambda: running.entry.freshness.outage_start_s is not None
    )
    running.entry.freshness.confirmed_s -= 5


def test_the_directory_names_the_members(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        request = http_messages.Request(
            'GET',
            '/camphorstair/resolve?Name=x&Region=qc-est&Zone=levis-nord',
            [],
            b'',
        )
        address = running.told.directory_address
        answer = await http_client.fetch(address, request)
        assert answer.status == 200
        assert running.told.callers_address.encode() in answer.body

    bench.run(body)


def test_membership_is_registered_again_after_lease_expiry(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        key = 'camphorstair/members/front-1'
        await running.wait_until(lambda: key in running.store.rows)
        running.store.end_lease(running.store.rows[key].lease)
        assert key not in running.store.rows
        await running.wait_until(lambda: key in running.store.rows)

    bench.run(body)


def test_entry_with_stale_keys_lists_only_other_entries(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        membership.join(running.entry.members, OTHER)
        own_address = running.told.callers_address
        assert await _listed_addresses(running) == {own_address, OTHER.address}
        assert await _readiness_status(running) == http.HTTPStatus.OK
        await _lose_store(running)
        assert await _listed_addresses(running) == {OTHER.address}
        assert (
            await _readiness_status(running)
            == http.HTTPStatus.SERVICE_UNAVAILABLE
        )
        running.store.faults.refuses = False
        await running.wait_until(running.entry.ready)
        assert own_address in await _listed_addresses(running)

    bench.run(body)


def test_entry_with_stale_keys_lists_itself_if_alone(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await _lose_store(running)
        assert await _listed_addresses(running) == {
            running.told.callers_address
        }
        running.entry.leaving = True
        answer = await _query_directory(running)
        assert answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        running.entry.leaving = False

    bench.run(body)


def test_entry_without_configured_keys_stays_ready_in_outage(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.configure(2, Tenants=None)
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        await _lose_store(running)
        assert await _readiness_status(running) == http.HTTPStatus.OK

    bench.run(body)
