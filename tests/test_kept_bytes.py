"""Tests that what a process keeps is bounded by bytes, not by count alone."""

import tracemalloc

import curio
import fleet_bench
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core.fleet import store_copy, windows
from camphorstair_fleet import sources
from camphorstair_platform import configuration, store

VALUE_BYTES = 1_000_000
VERSIONS = 60


def _copy() -> store_copy.StoreCopy:
    return store_copy.StoreCopy(lambda _before, _after: True)


def _take(
    known: store_copy.StoreCopy, *rows: store_copy.Item, now_s: float = 0
) -> None:
    update = store_copy.Update(1, rows[-1].revision, rows, whole=False)
    store_copy.take(known, update, now_s)


def _started(**texts: bytes) -> store_copy.StoreCopy:
    known = _copy()
    rows = tuple(store_copy.Item(key, texts[key], 1) for key in texts)
    store_copy.take(known, store_copy.Update(1, 1, rows, whole=True), 0)
    return known


# Entries kept each version of the configuration, reached their memory limit
# together and were killed in the middle of their requests (review/5).
def test_earlier_versions_of_a_value_are_not_kept() -> None:
    known = _started(a=b'')
    tracemalloc.start()
    for revision in range(2, VERSIONS):
        _take(known, store_copy.Item('a', bytes(VALUE_BYTES), revision))
    kept_bytes, _peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept_bytes < 2 * VALUE_BYTES
    assert known.kept_bytes == VALUE_BYTES


def test_the_total_of_all_values_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_copy, 'MAX_KEPT_BYTES', 10)
    known = _started(a=b'1234', b=b'5678')
    assert known.kept_bytes == 8
    _take(known, store_copy.Item('c', b'90123', 2))
    assert known.rows['c'].content == b''
    _take(known, store_copy.Item('a', None, 3))
    _take(known, store_copy.Item('c', b'90123', 4))
    assert known.rows['c'].content == b'90123'
    assert known.kept_bytes == 9


@given(
    st.lists(
        st.one_of(
            st.tuples(st.sampled_from('abcdef'), st.booleans()),
            st.none(),
        ),
        max_size=60,
    ),
    st.integers(1, 4),
)
def test_a_follower_of_a_copy_that_forgets_changes_lacks_nothing(
    steps: list[tuple[str, bool] | None], kept: int
) -> None:
    """A step writes or removes a key, or lets the follower update itself."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(store_copy, 'MAX_CHANGES', kept)
        known = _started(a=b'1')
        follower = _copy()
        for revision, step in enumerate([*steps, None], 2):
            if step is None:
                _follow(known, follower)
                assert follower.rows == known.rows
            else:
                key, removed = step
                content = None if removed else b'%d' % revision
                _take(known, store_copy.Item(key, content, revision))
            assert len(known.changes) <= kept


def _follow(
    known: store_copy.StoreCopy, follower: store_copy.StoreCopy
) -> None:
    update = store_copy.updates_since(
        known, follower.era, follower.revision or 0, ('',)
    )
    assert update is not None
    store_copy.take(follower, update, 0)


def test_removals_are_forgotten_after_their_time() -> None:
    known = _started(a=b'1')
    for revision in range(2, 1000, 2):
        now_s = float(revision)
        key = f'k{revision}'
        _take(known, store_copy.Item(key, b'1', revision), now_s=now_s)
        _take(known, store_copy.Item(key, None, revision + 1), now_s=now_s)
    assert len(known.removed_s) <= store_copy.REMOVAL_MEMORY_S
    assert 'k998' in known.removed_s


def test_a_value_that_can_not_be_used_is_not_kept() -> None:
    bench = fleet_bench.FleetBench()
    content = b'{"cells": "%s"}' % (b'x' * 10_000)

    async def body(running: fleet_bench.FleetBench) -> None:
        for number in range(50):
            running.store.put(f'servers/cell-{number}', content)
        await running.add_endpoint('i-1', 'plain')
        known = running.process.follower.mirror.known
        assert known.kept_bytes < 10_000
        assert known.rows['servers/cell-7'].content == b''
        assert known.rows['servers/i-1'].content

    bench.run(body)


# Retries are counted against the requests of a window; an entry whose service
# never failed kept the time of each request for good.
def test_a_window_keeps_no_events_before_it() -> None:
    window = windows.SlidingWindow(10)
    for number in range(10_000):
        window.add(number / 10)
    assert len(window.times_s) <= 100
    assert window.count(999.9) == 100


def test_a_value_that_is_too_long_to_be_of_use_is_left_out() -> None:
    bench = fleet_bench.FleetBench()
    long_value = b'{"x": "%s"}' % (b'x' * sources.MAX_VALUE_BYTES)

    async def body(running: fleet_bench.FleetBench) -> None:
        running.store.put('servers/cell', long_value)
        running.store.put(configuration.CONFIGURATION_KEY, long_value)
        client = store.StoreClient(running.told.store.address)
        source = sources.store_source(client, ('servers/', 'op/'))
        async with curio.timeout_after(5):
            fetched = await source(sources.Position(0, None, in_outage=False))
        by_key = {row.key: row.content for row in fetched.update.rows}
        assert by_key['servers/cell'] == b''
        assert by_key[configuration.CONFIGURATION_KEY] == long_value

    bench.run(body)
