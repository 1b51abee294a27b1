"""Tests of entries and agents that follow the copy of another entry."""

import curio
import fleet_bench
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import instruments, listing, state
from camphorstair_core.fleet import store_copy
from camphorstair_fleet import copy_messages, sources
from camphorstair_platform import store
from camphorstair_runtime import (
    http_client,
    http_messages,
    persistent_connection,
)

NOTHING = sources.Position(0, None, in_outage=False)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def _peer(running: fleet_bench.FleetBench) -> sources.Source:
    address = f'{running.told.address}:{running.told.internal_port}'
    return sources.peer_source(
        persistent_connection.PersistentConnection(address), ('servers/',)
    )


def _position(update: store_copy.Update) -> sources.Position:
    return sources.Position(update.era, update.revision, in_outage=False)


def test_a_follower_gets_all_keys_and_then_changes(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        source = _peer(running)
        fetched = await source(NOTHING)
        assert fetched.update.whole
        assert [row.key for row in fetched.update.rows] == ['servers/i-1']
        waiting = await curio.spawn(source, _position(fetched.update))
        await running.add_endpoint('i-2', 'plain')
        changes = (await waiting.join()).update
        assert not changes.whole
        assert [row.key for row in changes.rows] == ['servers/i-2']

    bench.run(body)


def test_a_follower_knows_the_age_of_what_it_is_told(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.entry.freshness.confirmed_s -= 100
        fetched = await _peer(running)(NOTHING)
        assert fetched.confirmed_s <= running.entry.freshness.confirmed_s

    bench.run(body)


def test_an_entry_that_the_store_does_not_answer_sends_followers_elsewhere(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.store.faults.refuses = True
        await running.wait_until(lambda: running.process.follower.mirror.failed)
        with pytest.raises(sources.PeerError):
            await _peer(running)(NOTHING)

    bench.run(body)


@pytest.mark.parametrize('content', [b'', b'junk', b'\x93\x01\x02\x03'])
def test_a_malformed_call_is_refused(
    bench: fleet_bench.FleetBench, content: bytes
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        address = f'{running.told.address}:{running.told.internal_port}'
        request = http_messages.Request(
            'POST', copy_messages.COPY_PATH, [], content
        )
        assert (await http_client.fetch(address, request)).status == 400
        assert (await running.call('/look/')).status == 503

    bench.run(body)


def test_an_agent_asks_entries_and_the_store_only_at_its_start(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        await running.wait_until(lambda: running.entry.members.present)
        meter = metrics_api.NoOpMeter('test')
        agent = state.FleetAgent(running.told, instruments.create(meter))
        follower = listing.StoreFollower(
            agent, store.StoreClient(running.told.store.address)
        )
        task = await curio.spawn(follower.run)
        await running.wait_until(lambda: 'i-1' in agent.endpoints)
        calls = follower.client.calls
        running.store.remove('servers/i-1')
        await running.wait_until(lambda: 'i-1' not in agent.endpoints)
        assert follower.client.calls == calls
        await task.cancel()

    bench.run(body)
