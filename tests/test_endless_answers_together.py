"""Tests that many endless answers at once cost an entry bounded memory.

One endless answer ends at its own bound; several of them together must not
exhaust the memory of the entry's VM, nor end the answers of others.
"""

import http
import tracemalloc

import attrs
import curio
import fleet_bench
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core import byte_budget
from camphorstair_core.fleet import held_bytes
from camphorstair_platform_standins import exchange_headers
from camphorstair_runtime import http_client, kept_messages
from camphorstair_standins import loopback

MEMORY_MB = 152.0
# What else an entry needs, and copies of what it passes on at the moment.
ALLOWED_BYTES = MEMORY_MB * 1024 * 1024 / 2
# Of the memory, for all kinds of messages together.
MAX_SHARE = 0.5
ENDPOINTS = 6
CALLS = 24
CHUNK = b'x' * 65536
SOUND_LIMIT_S = 2.0
LARGE_BODY = b'z' * 3_000_000


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def _head(attempt: str, *lines: str) -> bytes:
    named = exchange_headers.sealed(attempt)
    all_lines = [*(f'{name}: {text}' for name, text in named), *lines]
    return '\r\n'.join(('HTTP/1.1 200 OK', *all_lines, '\r\n')).encode()


async def _attempt_of(sock: curio.io.Socket) -> str:
    """Read a request and return the identifier of its attempt."""
    request = (await sock.recv(65536)).decode('latin-1')
    for line in request.split('\r\n'):
        name, _colon, text = line.partition(': ')
        if name.lower() == exchange_headers.ATTEMPT:
            return text
    return ''


@attrs.define(eq=False)
class Flood:
    """Endpoints that send without end until their caller closes.

    :ivar first: What they send after the head of an answer.
    :ivar open: Connections on which they are sending.
    """

    first: bytes = b''
    open: int = 0

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Answer one request without end."""
        attempt = await _attempt_of(sock)
        self.open += 1
        try:
            await sock.sendall(_head(attempt) + self.first)
            while True:
                await sock.sendall(CHUNK)
                await curio.sleep(0)
        except OSError:
            self.open -= 1


async def _add_floods(
    running: fleet_bench.FleetBench, flood: Flood, service: str
) -> None:
    running.entry.kept_answers = kept_messages.within(
        MEMORY_MB, byte_budget.ANSWERS_SHARE, http_client.MAX_BODY_BYTES
    )
    known = running.entry.endpoints.endpoints
    for number in range(ENDPOINTS):
        address = loopback.free_address()
        await running.listen_raw(address, flood.serve)
        running.register(f'flood-{number}', service, address, Slots=CALLS)
    await running.wait_until(lambda: len(known) >= ENDPOINTS)


async def _status(
    running: fleet_bench.FleetBench, path: str, attempt: str
) -> int:
    try:
        return (await running.call(path, attempt)).status
    except http_client.HttpError:
        return 0


# The entry kept all that came of each answer until its own bound, which took it
# over the memory of its VM as several endpoints did so at once.
@pytest.mark.parametrize(
    ('path', 'service', 'first'),
    [
        ('/book/', 'plain', b''),
        ('/look/', 'plain', b''),
        ('/draft/', 'engine', b'id: 1\ndata: '),
    ],
)
@pytest.mark.parametrize('bounded', [False, True])
def test_endless_answers_together_cost_bounded_memory(
    bench: fleet_bench.FleetBench,
    path: str,
    service: str,
    first: bytes,
    bounded: bool,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        running.entry.settings = attrs.evolve(
            running.entry.settings, bounds_slow_peers=bounded
        )
        await _add_floods(running, Flood(first), service)
        tracemalloc.start()
        async with curio.TaskGroup() as group:
            for number in range(CALLS):
                await group.spawn(_status, running, path, f'a{number}')
        _now, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < ALLOWED_BYTES
        assert set(group.results) <= {0, 502, 503, 504}
        assert not running.entry.kept_answers.budget.total_bytes

    bench.run(body)


# The requests of other callers ended with the process.
def test_sound_answers_beside_endless_ones_are_served(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        flood = Flood()
        await _add_floods(running, flood, 'engine')
        await running.add_endpoint('i-1', 'plain')
        async with curio.TaskGroup() as group:
            for number in range(CALLS):
                await group.spawn(_status, running, '/draft/', f'a{number}')
            await running.wait_until(lambda: flood.open)
            for number in range(10):
                async with curio.timeout_after(SOUND_LIMIT_S):
                    answer = await running.call('/book/', f'b{number}')
                assert answer.status == http.HTTPStatus.OK

    bench.run(body)


# Answers that wait for room must go on as soon as others were passed on.
def test_large_answers_wait_for_each_other_and_come_whole(
    bench: fleet_bench.FleetBench,
) -> None:
    async def serve(sock: curio.io.Socket, _address: object) -> None:
        attempt = await _attempt_of(sock)
        length = f'content-length: {len(LARGE_BODY)}'
        await sock.sendall(_head(attempt, length))
        await sock.sendall(LARGE_BODY)
        await curio.sleep(5)

    async def body(running: fleet_bench.FleetBench) -> None:
        running.entry.kept_answers.budget.bound_bytes = 2_000_000
        address = loopback.free_address()
        await running.listen_raw(address, serve)
        running.register('i-1', 'plain', address, Slots=CALLS)
        await running.wait_until(lambda: running.entry.endpoints.endpoints)
        group = curio.TaskGroup()
        async with group:
            for number in range(8):
                await group.spawn(running.call, '/book/', f'a{number}')
        whole = [answer.body == LARGE_BODY for answer in group.results]
        assert len(whole) == 8
        assert all(whole)

    bench.run(body)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),
            st.sampled_from(['grow', 'free']),
            st.integers(1, 3 * byte_budget.SMALL_BYTES),
        ),
        max_size=80,
    )
)
def test_a_budget_is_exceeded_by_one_message_at_most(
    steps: list[tuple[int, str, int]],
) -> None:
    bound_bytes = 4 * byte_budget.SMALL_BYTES
    budget = byte_budget.Budget(bound_bytes)
    accounts = [byte_budget.Account() for _ in range(5)]
    for index, step, size_bytes in steps:
        account = accounts[index]
        if step == 'free':
            byte_budget.free(budget, account)
        elif byte_budget.may_keep(budget, account, size_bytes):
            byte_budget.keep(budget, account, size_bytes)
        kept = [each.kept_bytes for each in accounts]
        assert budget.total_bytes == sum(kept)
        small_bytes = len(accounts) * byte_budget.SMALL_BYTES
        assert sum(kept) - max(kept) <= bound_bytes + small_bytes
        _check_progress(budget)


def _check_progress(budget: byte_budget.Budget) -> None:
    """Check that the oldest message that takes room may always go on."""
    for account in budget.large:
        size_bytes = 2 * byte_budget.SMALL_BYTES
        assert byte_budget.may_keep(budget, account, size_bytes)
        break


def test_the_bound_leaves_room_for_the_largest_message() -> None:
    mib = 1024 * 1024
    assert byte_budget.bound_bytes(160, 0.125, 8 * mib) == 12 * mib
    assert byte_budget.bound_bytes(8, 0.125, 8 * mib) == byte_budget.SMALL_BYTES
    shares = byte_budget.REQUESTS_SHARE + byte_budget.ANSWERS_SHARE
    assert shares + held_bytes.TOTAL_SHARE <= MAX_SHARE
