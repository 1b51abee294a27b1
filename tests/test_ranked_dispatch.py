"""How an entry starts and refuses the queued requests of a ranked service.

The engine has one slot and is represented by its registration only; a test
frees the slot by releasing the request that holds it.
"""

import attrs
import curio
import fleet_bench
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair.fleet import dispatch, serving, state
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import (
    placement,
    roster,
    subsetting,
    waiting,
    work_estimates,
)
from camphorstair_platform import boot
from camphorstair_runtime import clocks
from camphorstair_standins import loopback
from measures import fleet_overload

URGENT, BATCH = 0, 2
LIMIT_S = 4.0
MIN_RETRY_S = 0.5


def _dispatcher(
    monkeypatch: pytest.MonkeyPatch, *, ranked: bool = True
) -> dispatch.Dispatcher:
    """Return the dispatcher of an entry that owns the slot of one engine."""
    told = boot.decode(fleet_bench.boot_settings(loopback.free_address()))
    process = serving.build(told, metrics_api.NoOpMeter('test'))
    registration = attrs.evolve(
        fleet_overload.registration(1), service='engine', slots=1
    )
    roster.register(process.entry.endpoints, registration, 0)
    shares = {registration.endpoint: subsetting.SlotShare(1, 0, 1)}
    monkeypatch.setattr(
        state.FleetEntry, 'shares', lambda _entry, _service: shares
    )
    monkeypatch.setattr(
        state.FleetEntry, 'is_ranked', lambda _entry, _service: ranked
    )
    return process.dispatcher


def _waiter(
    priority: int, identity: str = '', limit_s: float = LIMIT_S
) -> waiting.Waiter:
    now_s = clocks.monotonic_s()
    waiter = waiting.Waiter(
        f'organisation-{priority}',
        priority,
        now_s,
        now_s + limit_s / 2,
        now_s + limit_s,
    )
    waiter.identity = identity
    waiter.work_s = 1
    return waiter


async def _queue(
    dispatcher: dispatch.Dispatcher, waiter: waiting.Waiter
) -> curio.Task:
    """Start to acquire an endpoint and wait until the request is queued."""
    task = await curio.spawn(_outcome, dispatcher, waiter)
    await curio.sleep(0)
    return task


async def _outcome(
    dispatcher: dispatch.Dispatcher, waiter: waiting.Waiter
) -> placement.Candidate | errors.RequestError:
    try:
        return await dispatcher.acquire('engine', waiter)
    except errors.RequestError as refusal:
        return refusal


async def _fill(dispatcher: dispatch.Dispatcher) -> placement.Candidate:
    """Take the only slot."""
    return await dispatcher.acquire('engine', _waiter(URGENT))


async def _release(
    dispatcher: dispatch.Dispatcher, candidate: placement.Candidate
) -> None:
    await dispatcher.release('engine', f'organisation-{URGENT}', candidate)


@pytest.mark.parametrize('ranked', [True, False])
def test_urgent_late_requests_start_before_batch_ones_only_if_ranked(
    monkeypatch: pytest.MonkeyPatch, ranked: bool
) -> None:
    """Guards the order of services that are not ranked, too."""
    dispatcher = _dispatcher(monkeypatch, ranked=ranked)

    async def body() -> None:
        candidate = await _fill(dispatcher)
        batch = await _queue(dispatcher, _waiter(BATCH))
        last_chance = _waiter(URGENT)
        last_chance.latest_timely_start_s = clocks.monotonic_s() - 1
        last_chance.latest_useful_start_s = clocks.monotonic_s() + 0.4
        urgent = await _queue(dispatcher, last_chance)
        await _release(dispatcher, candidate)
        first, second = (urgent, batch) if ranked else (batch, urgent)
        assert await first.join() is candidate
        assert not second.terminated
        await second.cancel()

    curio.run(body)


def test_a_full_queue_gives_its_last_position_to_an_urgent_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusing a newcomer whatever its priority."""
    monkeypatch.setattr(dispatch, 'MAX_QUEUED_REQUESTS', 2)
    dispatcher = _dispatcher(monkeypatch)

    async def body() -> None:
        candidate = await _fill(dispatcher)
        queued = [await _queue(dispatcher, _waiter(BATCH)) for _ in range(2)]
        urgent = await _queue(dispatcher, _waiter(URGENT))
        rejected = await _queue(dispatcher, _waiter(BATCH))
        refusals = [
            await task.join() for task in (*queued, rejected) if task.terminated
        ]
        assert len(refusals) == 2
        assert all(
            refusal.verdict is verdicts.Verdict.not_run for refusal in refusals
        )
        assert len(dispatcher.entry.queue('engine').waiters) == 2
        await _release(dispatcher, candidate)
        assert await urgent.join() is candidate
        for task in queued:
            await task.cancel()

    curio.run(body)


def test_what_can_not_start_in_time_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against holding a request until its time is up.

    One request starts every 0.1 s, so of 40 requests with 1 s left those after
    the first ten can't start.
    """
    dispatcher = _dispatcher(monkeypatch)

    async def body() -> None:
        candidate = await _fill(dispatcher)
        urgent = [await _queue(dispatcher, _waiter(URGENT)) for _ in range(8)]
        for task in urgent[:6]:
            await curio.sleep(0.1)
            await _release(dispatcher, candidate)
            assert await task.join() is candidate
        began_s = clocks.monotonic_s()
        batch = [
            await _queue(dispatcher, _waiter(BATCH, limit_s=1))
            for _ in range(40)
        ]
        # The entry's periodic work, until 0.25 s have passed.
        for _ in range(5):
            await curio.sleep(0.05)
            await dispatcher.serve_queues()
        refused = [await ended.join() for ended in batch if ended.terminated]
        assert len(refused) >= 20
        assert all(refusal.retry_after_s >= MIN_RETRY_S for refusal in refused)
        assert clocks.monotonic_s() < began_s + 1
        for queued in (*urgent, *batch):
            await queued.cancel()

    curio.run(body)


def test_without_starts_nothing_is_refused_before_its_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals by an estimate that nothing supports."""
    dispatcher = _dispatcher(monkeypatch)

    async def body() -> None:
        await _fill(dispatcher)
        tasks = [
            await _queue(dispatcher, _waiter(BATCH, limit_s=0.4))
            for _ in range(40)
        ]
        await dispatcher.serve_queues()
        assert not any(task.terminated for task in tasks)
        # The same tick after the entry was frozen: all are answered at once.
        await curio.sleep(0.5)
        await dispatcher.serve_queues()
        refusals = [await task.join() for task in tasks]
        assert all(
            refusal.verdict is verdicts.Verdict.not_run for refusal in refusals
        )

    curio.run(body)


def test_a_refused_request_keeps_its_arrival_if_it_waits_as_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that gain by coming back at once."""
    dispatcher = _dispatcher(monkeypatch)
    ranked = dispatcher.ranked
    now_s = clocks.monotonic_s()
    arrived_s = {}
    for identity in ('early', 'obedient'):
        waiter = _waiter(BATCH, identity)
        arrived_s[identity] = waiter.arrived_s
        ranked.note_refused(waiter, 1)
    work = work_estimates.Work(1, 0)
    early, obedient = _waiter(BATCH, 'early'), _waiter(BATCH, 'obedient')
    ranked.note_arrival(early, work, now_s + 0.1)
    ranked.note_arrival(obedient, work, now_s + 1.1)
    assert early.came_early
    assert not obedient.came_early
    assert obedient.arrived_s == arrived_s['obedient']


def test_a_request_cancelled_as_it_gets_its_slot_frees_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slot that is lost when its caller disconnects."""
    dispatcher = _dispatcher(monkeypatch)
    queue = dispatcher.entry.queue('engine')

    async def cancelled_ask(*_arguments: object) -> None:
        raise curio.CancelledError

    async def body() -> None:
        candidate = await _fill(dispatcher)
        batch = await _queue(dispatcher, _waiter(BATCH))
        candidate.load.running = 0
        queue.in_progress.clear()
        monkeypatch.setattr(type(dispatcher.slot_asker), 'ask', cancelled_ask)
        with pytest.raises(curio.CancelledError):
            await dispatcher.acquire('engine', _waiter(URGENT))
        assert await batch.join() is candidate
        assert candidate.load.running == 1
        assert queue.in_progress == {f'organisation-{BATCH}': 1}

    curio.run(body)


def test_a_displaced_request_makes_room_only_for_one_that_is_queued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusing a queued request for one refused anyway."""
    monkeypatch.setattr(dispatch, 'MAX_QUEUED_REQUESTS', 1)
    dispatcher = _dispatcher(monkeypatch)

    async def body() -> None:
        await _fill(dispatcher)
        queued = await _queue(dispatcher, _waiter(BATCH))
        unusable = _waiter(URGENT)
        unusable.excluded.add('i-01')
        with pytest.raises(errors.RequestError):
            await dispatcher.acquire('engine', unusable)
        assert not queued.terminated
        await queued.cancel()

    curio.run(body)
