"""Tests of orders under which the engines of a rank group crash."""

import typing

import attrs
import crashing_group
import curio
import fleet_bench
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import (
    instruments,
    leading,
    listing,
    order_crashes,
    state,
)
from camphorstair_core.experts import group_orders
from camphorstair_core.fleet import (
    crash_incidents,
    crash_reports,
    quarantine,
    roster,
    store_copy,
    suspect_kinds,
)
from camphorstair_fleet import crash_rows, keys
from camphorstair_platform import boot, store
from camphorstair_runtime import clocks, http_messages, http_server
from camphorstair_standins import loopback

GROUP = crashing_group.GROUP
SUSPECT = suspect_kinds.order('prepare', GROUP)
INCIDENT_S = 0.05
PREPARE = group_orders.Order(0, group_orders.OrderKind.prepare, 1)
# A held group must not wait longer for its next orders.
ROUND_LIMIT_S = 0.1
RUN_S = 2.0
REPUBLISH_LIMIT_S = 5.0
# Two crashes show it; one more may happen before they are known.
MAX_PREPARES = 3


def _agent(told: boot.BootSettings) -> state.FleetAgent:
    meter = metrics_api.NoOpMeter('test')
    return state.FleetAgent(told, instruments.create(meter))


def _crashes(running: fleet_bench.FleetBench) -> order_crashes.OrderCrashes:
    """Return what a newly started agent knows, with the store's reports."""
    agent = _agent(running.told)
    for name, row in running.store.rows.items():
        if name.startswith(keys.CRASHES_PREFIX):
            item = store_copy.Item(name, row.content, 1)
            crash_rows.apply_reports(agent.crashes, 'other', item)
    client = store.StoreClient(running.told.store.address)
    return order_crashes.OrderCrashes(agent, client)


async def _crash_twice(crashes: order_crashes.OrderCrashes) -> None:
    """Let two engines end under an order, one after the other."""
    for born_ms in range(2):
        ended = crashing_group.registration(0, loopback.free_address(), born_ms)
        await crashes.check([PREPARE], {0: ended})
        await curio.sleep(2 * INCIDENT_S)


@pytest.fixture(autouse=True)
def _short_incidents(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(crash_incidents, 'INCIDENT_S', INCIDENT_S)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


def test_an_order_that_crashes_engines_is_not_given_with_each_formation(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        group: typing.Any = crashing_group.CrashingGroup(crashes.agent)
        group.register()
        planner: typing.Any = crashing_group.EagerPlanner()
        lease: typing.Any = crashing_group.Held()
        leader = leading.Leader(
            crashes.agent,
            group,
            group,
            lease,
            roster.GroupMembership(
                GROUP, 1, 0, crashing_group.SIZE, is_open=True
            ),
            crashes,
            planner,
        )
        running_leader = await curio.spawn(leader.run)
        await curio.sleep(RUN_S)
        await running_leader.cancel()
        assert group.epoch > 1
        assert group.prepares <= MAX_PREPARES

    bench.run(body)


def test_the_next_planner_knows_the_orders_that_crash_engines(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        publishing = await curio.spawn(crashes.run)
        await _crash_twice(crashes)
        await publishing.cancel()
        assert not crashes.may_begin_switch(GROUP)
        assert crashes.may_begin_switch('other')
        row = running.store.rows[keys.crash_reports(running.told.name)]
        assert SUSPECT.encode() in row.content
        successor = _crashes(running)
        await curio.sleep(2 * INCIDENT_S)
        ended = crashing_group.registration(0, loopback.free_address(), 9)
        await successor.check([PREPARE], {0: ended})
        assert not successor.may_begin_switch(GROUP)

    bench.run(body)


def test_an_order_without_an_answer_from_a_live_engine_is_no_suspect(
    bench: fleet_bench.FleetBench,
) -> None:
    async def serve(
        _request: http_messages.Request, _responder: http_server.Responder
    ) -> None:
        await curio.Event().wait()

    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        address = loopback.free_address()
        await running.listen(address, serve)
        await crashes.check(
            [PREPARE], {0: crashing_group.registration(0, address, 1)}
        )
        assert not crashes.agent.crashes.crashes

    bench.run(body)


def test_a_request_that_explains_the_crashes_is_blamed_before_an_order(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        for born_ms in range(2):
            crash_reports.add_suspects(
                crashes.agent.crashes,
                'front-1',
                crash_reports.crash_name('i-0', born_ms),
                crash_reports.Suspicion(('request-1',)),
                clocks.monotonic_s(),
            )
            ended = crashing_group.registration(
                0, loopback.free_address(), born_ms
            )
            await crashes.check([PREPARE], {0: ended})
            await curio.sleep(2 * INCIDENT_S)
        assert crashes.may_begin_switch(GROUP)

    bench.run(body)


async def _make_trial_due(crashes: order_crashes.OrderCrashes) -> None:
    """Let engines crash under an order, and the time until a trial pass."""
    await _crash_twice(crashes)
    assert not crashes.may_begin_switch(GROUP)
    crashes.quarantined.holds[SUSPECT].trial_s = clocks.monotonic_s()
    assert crashes.may_begin_switch(GROUP)


def test_one_switch_is_the_trial_of_a_quarantined_order(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        await _make_trial_due(crashes)
        crashes.note_begun(GROUP)
        assert not crashes.may_begin_switch(GROUP)
        found = crashes.quarantined.find([SUSPECT], clocks.monotonic_s())
        assert found is not None
        assert found.remaining_s > quarantine.trial_delay_s(1) - 1

    bench.run(body)


def test_a_completed_switch_ends_the_quarantine_of_its_orders(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        publishing = await curio.spawn(crashes.run)
        await _make_trial_due(crashes)
        crashes.note_begun(GROUP)
        await crashes.note_completed(GROUP)
        await curio.sleep(INCIDENT_S)
        await publishing.cancel()
        assert crashes.may_begin_switch(GROUP)
        assert _crashes(running).may_begin_switch(GROUP)

    bench.run(body)


def test_the_planner_does_not_wait_for_a_silent_store(
    bench: fleet_bench.FleetBench,
) -> None:
    """Its group may be held while it notes that a switch was completed."""

    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        publishing = await curio.spawn(crashes.run)
        await _make_trial_due(crashes)
        running.store.faults.loses_answers = True
        async with curio.timeout_after(ROUND_LIMIT_S):
            await crashes.note_completed(GROUP)
        await publishing.cancel()

    bench.run(body)


def test_a_report_of_an_outage_is_published_when_the_store_is_back(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        publishing = await curio.spawn(crashes.run)
        running.store.faults.refuses = True
        await _crash_twice(crashes)
        running.store.faults.refuses = False
        await curio.sleep(2 * order_crashes.RETRY_INTERVAL_S)
        await publishing.cancel()
        row = running.store.rows[keys.crash_reports(running.told.name)]
        assert SUSPECT.encode() in row.content

    bench.run(body)


def test_reports_are_published_again_to_a_store_that_came_back_older(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        crashes = _crashes(running)
        # The entry of this test publishes its own reports under its name.
        crashes.agent.settings = attrs.evolve(running.told, name='side-1')
        follower = listing.StoreFollower(crashes.agent, crashes.client)
        tasks = [
            await curio.spawn(task) for task in (crashes.run, follower.run)
        ]
        earlier = running.store.copy_content()
        await _crash_twice(crashes)
        key = keys.crash_reports('side-1')
        await curio.sleep(order_crashes.RETRY_INTERVAL_S)
        assert key in running.store.rows
        running.store.come_back(earlier)
        async with curio.timeout_after(REPUBLISH_LIMIT_S):
            while key not in running.store.rows:
                await curio.sleep(INCIDENT_S)
        for task in tasks:
            await task.cancel()

    bench.run(body)
