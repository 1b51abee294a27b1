"""Tests of what tells an entry that starts whether the store has lost keys.

That is a note in the store, the reply of an entry that knows, or time.
"""

import curio
import fleet_bench
import pytest

from camphorstair_core.fleet import store_copy
from camphorstair_fleet import (
    copy_messages,
    internal_answers,
    keys,
    settled_eras,
    sources,
    unsettled_keys,
)
from camphorstair_runtime import clocks, http_messages, http_server
from camphorstair_standins import loopback


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


# An entry must start though no other one replies.
def test_an_entry_that_is_alone_starts_within_a_bound(
    bench: fleet_bench.FleetBench,
) -> None:
    bench.notes_era = False
    began_s = clocks.monotonic_s()

    async def body(running: fleet_bench.FleetBench) -> None:
        waited_s = clocks.monotonic_s() - began_s
        bound_s = store_copy.RESTORED_LIMIT_S + sources.WATCH_WAIT_S + 1
        assert store_copy.RESTORED_LIMIT_S <= waited_s < bound_s
        # The next one need not wait.
        rows = running.store.rows
        await running.wait_until(lambda: keys.SETTLED_ERA in rows)
        assert rows[keys.SETTLED_ERA].content == settled_eras.encode(1)
        noted_s = clocks.monotonic_s()
        await running.add_entry('front-2')
        assert clocks.monotonic_s() - noted_s < 1

    bench.run(body)


def test_a_settled_return_is_noted_once(bench: fleet_bench.FleetBench) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_entry('front-2')
        rows = running.store.rows
        await running.wait_until(lambda: keys.member('front-1') in rows)
        running.store.come_back(running.store.copy_content())
        rows = running.store.rows
        note = settled_eras.encode(2)
        await running.wait_until(lambda: rows[keys.SETTLED_ERA].content == note)
        revision = rows[keys.SETTLED_ERA].revision
        await curio.sleep(2.5)
        assert rows[keys.SETTLED_ERA].revision == revision

    bench.run(body)


@pytest.mark.parametrize(
    ('era', 'note', 'settled'),
    [
        (0, None, True),
        (2, None, False),
        (2, b'2', True),
        (2, b'1', False),
        (2, b'"2"', False),
        (2, b'', False),
        (2, b'[' * 90, False),
    ],
)
def test_only_a_note_of_the_same_era_shows_that_it_is_settled(
    era: int, note: bytes | None, *, settled: bool
) -> None:
    known = store_copy.StoreCopy(lambda _before, _after: True)
    rows = (store_copy.Item(keys.SETTLED_ERA, note, 1),) if note else ()
    store_copy.take(known, store_copy.Update(era, 9, rows, whole=True), 0)
    assert settled_eras.is_settled(known) is settled


# The first reply counted, also that of an entry that knew nothing itself.
@pytest.mark.parametrize('informed', [False, True])
def test_an_entry_that_knows_nothing_has_no_reply(
    bench: fleet_bench.FleetBench, *, informed: bool
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        fresh = await _replying(running, copy_messages.UnsettledReply(1, ()))
        unsettled = (
            store_copy.UnsettledKey(store_copy.Item('a', b'seen', 8), 1),
        )
        reply = copy_messages.UnsettledReply(1, unsettled, informed)
        other = await _replying(running, reply)
        expected = unsettled if informed else None
        asked = await unsettled_keys.ask(1, [fresh, other])
        assert asked == expected

    bench.run(body)


def test_silent_entries_delay_a_start_for_a_bounded_time(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        silent = await running.silent_address()
        asked_s = clocks.monotonic_s()
        peers = [silent, loopback.free_address()]
        assert await unsettled_keys.ask(1, peers) is None
        limit_s = unsettled_keys.ASK_LIMIT_S + 0.3
        assert clocks.monotonic_s() - asked_s < limit_s
        assert await unsettled_keys.ask(1, []) is None

    bench.run(body)


async def _replying(
    running: fleet_bench.FleetBench, reply: copy_messages.UnsettledReply
) -> str:
    """Return the address of an entry that gives a reply to each call."""

    async def answer(
        _request: http_messages.Request, responder: http_server.Responder
    ) -> None:
        await responder.respond(internal_answers.whole(reply))

    address = loopback.free_address()
    await running.listen(address, answer)
    return address
