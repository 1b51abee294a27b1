"""Leases and their fencing numbers, against a key-value store on loopback."""

import pytest

from camphorstair_runtime import leases, platform
from camphorstair_standins import key_value_bench

TTL_S = 10


@pytest.fixture
def bench() -> key_value_bench.Bench:
    return key_value_bench.Bench()


def test_lease_is_exclusive_and_fencing_number_increases(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        first = await leases.acquire(client, 'plan', 'a', TTL_S, bench.clock)
        assert first is not None
        assert not await leases.acquire(client, 'plan', 'b', TTL_S, bench.clock)
        owner = await leases.owner(client, 'plan')
        assert owner == leases.Owner('a', first.lease_id, first.fencing)
        await leases.release(client, first, bench.clock)
        second = await leases.acquire(client, 'plan', 'b', TTL_S, bench.clock)
        assert second is not None
        assert second.fencing > first.fencing

    bench.run(body)


def test_paused_holder_loses_lease_before_store_expires_it(
    bench: key_value_bench.Bench,
) -> None:
    """A holder's deadline passes before its lease ends at the platform.

    After a pause of 95% of the TTL, the holder can't renew the lease, and no
    other node can acquire it yet.
    """

    async def body(client: platform.PlatformClient) -> None:
        first = await leases.acquire(client, 'plan', 'a', TTL_S, bench.clock)
        assert first is not None
        bench.now_s += TTL_S * 0.95
        assert not await leases.renew(client, first, bench.clock)
        assert not await leases.acquire(client, 'plan', 'b', TTL_S, bench.clock)
        bench.now_s += TTL_S
        second = await leases.acquire(client, 'plan', 'b', TTL_S, bench.clock)
        assert second is not None
        assert second.fencing > first.fencing

    bench.run(body)


def test_lease_deadline_counts_from_sending_of_renewal(
    bench: key_value_bench.Bench,
) -> None:
    """The deadline is counted from the time before the renewal is sent."""

    async def body(client: platform.PlatformClient) -> None:
        lease = await leases.acquire(client, 'plan', 'a', TTL_S, bench.clock)
        assert lease is not None
        clock_readings_s = iter((101, 200))
        assert not await leases.renew(
            client, lease, lambda: next(clock_readings_s)
        )
        assert lease.deadline_s == pytest.approx(101 + TTL_S * 0.9)

    bench.run(body)


def test_lease_is_acquired_despite_lost_reply(
    bench: key_value_bench.Bench,
) -> None:
    """A lease is held although the first reply of the store is lost."""

    async def body(client: platform.PlatformClient) -> None:
        bench.service.faults.lost_answers = 1
        lease = await leases.acquire(client, 'plan', 'a', TTL_S, bench.clock)
        assert lease is not None
        assert leases.is_held(lease, bench.clock())

    bench.run(body)


def test_fencing_number_exceeds_given_minimum(
    bench: key_value_bench.Bench,
) -> None:
    """The fencing number exceeds a number that was seen outside the store."""

    async def body(client: platform.PlatformClient) -> int:
        lease = await leases.acquire(
            client, 'plan', 'a', TTL_S, bench.clock, above=41
        )
        return lease.fencing if lease else 0

    assert bench.run(body) == 42


def test_possibly_applied_write_is_not_retried_on_other_member(
    bench: key_value_bench.Bench,
) -> None:
    """A write whose reply is lost raises an error and is not sent again.

    It may have been applied already; the next member could apply it twice.
    """

    async def body(client: platform.PlatformClient) -> None:
        bench.service.faults.lost_answers = 1
        with pytest.raises(platform.PlatformError):
            await client.compare_and_swap('key', 0, b'value')
        assert (await client.get('key')).value == b'value'

    bench.run(body, members=2)


def test_a_watch_reports_a_change_and_breaks_in_an_outage(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        watch = await client.watch('key', 1)
        await client.compare_and_swap('key', 0, b'value')
        assert (await watch.wait()).value == b'value'
        bench.service.faults.outage = True
        with pytest.raises(platform.PlatformError):
            await watch.wait()
        await watch.close()

    bench.run(body)
