"""Tests of changes that are too long for one answer of the store to a watch."""

import curio
import fleet_bench
import pytest

from camphorstair_platform import store, store_errors
from camphorstair_platform_standins import documents
from camphorstair_runtime import http_client
from camphorstair_standins import loopback

# Each version names this many organisations.
ORGANISATIONS = 10_000
VERSIONS = 16
APPLY_LIMIT_S = 4.0
WAIT_S = 0.1
HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: 1000000\r\n\r\n'
)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


# review/9: an entry that had missed many versions asked for them in one answer,
# which was over its bound, again and again until the store forgot them.
def test_the_latest_configuration_is_taken_after_many_were_missed(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        organisations = [
            documents.organisation(f'organisation-{number}', f'key-{number}')
            for number in range(ORGANISATIONS)
        ]
        running.store.faults.refuses = True
        await running.wait_until(lambda: running.entry.freshness.outage_start_s)
        for version in range(2, VERSIONS + 2):
            running.configure(version, Tenants=organisations)
        size_bytes = len(running.store.rows['op/config'].content) * VERSIONS
        assert size_bytes > http_client.MAX_BODY_BYTES
        running.store.faults.refuses = False
        async with curio.timeout_after(APPLY_LIMIT_S):
            await running.wait_until(
                lambda: running.entry.configuration.version == VERSIONS + 1
            )
        await running.wait_until(running.entry.keys_current)

    bench.run(body)


def _watch(serve: fleet_bench.ServeConnection) -> store_errors.StoreError:
    """Return the error of a watch of a store that serves in a given way."""

    async def body(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()
        await running.listen_raw(address, serve)
        try:
            await store.StoreClient(address).watch('', 7, WAIT_S)
        except store_errors.StoreError as error:
            caught.append(error)

    caught: list[store_errors.StoreError] = []
    fleet_bench.FleetBench().run(body)
    return caught[0]


# At the rate of a slow link the answer did not come within the limit of a watch,
# and was asked for again from its beginning.
def test_an_answer_that_does_not_come_whole_in_time_is_read_in_pages() -> None:
    async def trickle(sock: curio.io.Socket, _address: object) -> None:
        await sock.recv(65536)
        await sock.sendall(HEAD)
        for _ in range(100):
            await sock.sendall(b' ' * 1000)
            await curio.sleep(0.05)

    assert isinstance(_watch(trickle), store_errors.HistoryLostError)


def test_a_store_that_does_not_answer_a_watch_has_lost_no_history() -> None:
    async def hang(sock: curio.io.Socket, _address: object) -> None:
        await sock.recv(65536)
        await curio.sleep(10)

    assert not isinstance(_watch(hang), store_errors.HistoryLostError)
