"""Acceptance of configuration changes under races, lost answers and outages.

Two operators race, answers of the store are lost, writes arrive late, and the
store restarts from an older copy. An operator must never be told a wrong
outcome; where the outcome can't be determined, the error says so.
"""

import pytest

from camphorstair import acceptance
from camphorstair_core import changes, configuration
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    platform,
)
from camphorstair_standins import key_value, key_value_bench

AUTHOR = changes.Author('me', 1)


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> key_value_bench.Bench:
    """Return a bench, with 0.01 s between checks of an unknown outcome."""
    monkeypatch.setattr(acceptance, 'READ_BACK_INTERVAL_S', 0.01)
    return key_value_bench.Bench()


async def _prepare(
    client: platform.PlatformClient, text: str
) -> acceptance.PendingChange:
    """Return the plan that replaces the stored rules by a text."""
    stored = await configuration_store.read(client)
    return acceptance.prepare(stored, text, AUTHOR)


async def _no_revision_in_force() -> int:
    """Return 0, the highest revision when none is in force anywhere."""
    return 0


async def _accept(client: platform.PlatformClient, text: str) -> None:
    """Replace the stored rules by a text, which must succeed."""
    plan = await _prepare(client, text)
    assert await acceptance.accept(client, plan, _no_revision_in_force)


async def _history(client: platform.PlatformClient) -> list[str]:
    """Return the identifiers of the stored changes, the newest first."""
    stored_changes = await configuration_store.history(client, 9)
    return [stored_change.change_id for stored_change in stored_changes]


def test_apply_on_outdated_base_reports_conflicting_lines(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        await _accept(client, '# a')
        conflicting_plan = await _prepare(client, '# mine')
        await _accept(client, '# other')
        assert not await acceptance.accept(
            client, conflicting_plan, _no_revision_in_force
        )
        conflict = await acceptance.conflict(client, 1)
        assert conflict.lines == ['revision 2 by me:', '-# a', '+# other']

    bench.run(body)


def test_applied_write_with_lost_reply_counts_as_accepted(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        bench.service.faults.lost_answers = 1
        assert await acceptance.accept(client, plan, _no_revision_in_force)
        assert await _history(client) == [plan.changed.change_id]

    bench.run(body)


def test_lost_reply_then_other_change_still_counts_as_accepted(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_write = configuration_store.write

    async def write(
        client: platform.PlatformClient, *arguments: object
    ) -> bool:
        monkeypatch.setattr(configuration_store, 'write', real_write)
        await real_write(client, *arguments)  # type: ignore[arg-type]
        await _accept(client, '# other')
        raise platform.PlatformError('the answer is lost')

    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        monkeypatch.setattr(configuration_store, 'write', write)
        assert await acceptance.accept(client, plan, _no_revision_in_force)
        change_ids = await _history(client)
        assert change_ids[1:] == [plan.changed.change_id]

    bench.run(body)


def test_delayed_write_is_rejected_after_failed_accept(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_write = configuration_store.write
    late: list[tuple[object, ...]] = []

    async def write(
        client: platform.PlatformClient, *arguments: object
    ) -> bool:
        late.append(arguments)
        raise platform.PlatformError('on its way')

    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        monkeypatch.setattr(configuration_store, 'write', write)
        assert not await acceptance.accept(client, plan, _no_revision_in_force)
        assert not await real_write(client, *late[0])  # type: ignore[arg-type]
        assert not await _history(client)

    bench.run(body)


def test_an_outage_leaves_the_outcome_unknown(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        bench.service.faults.outage = True
        with pytest.raises(acceptance.UnknownOutcomeError) as unknown:
            await acceptance.accept(client, plan, _no_revision_in_force)
        assert plan.changed.change_id in str(unknown.value)
        assert 'camphorstair history' in str(unknown.value)

    bench.run(body)


def test_lost_reply_then_store_rollback_raises_unknown_outcome(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_write = configuration_store.write

    async def write(
        client: platform.PlatformClient, *arguments: object
    ) -> bool:
        await real_write(client, *arguments)  # type: ignore[arg-type]
        bench.service.inject_faults(key_value.Faults(restore_copy=True))
        raise platform.PlatformError('the answer is lost')

    async def body(client: platform.PlatformClient) -> None:
        await _accept(client, '# a')
        bench.service.inject_faults(key_value.Faults(keep_copy=True))
        await _accept(client, '# b')
        plan = await _prepare(client, '# c')
        monkeypatch.setattr(configuration_store, 'write', write)
        with pytest.raises(acceptance.UnknownOutcomeError):
            await acceptance.accept(client, plan, _no_revision_in_force)

    bench.run(body)


def test_rollback_to_base_with_newer_in_force_is_unknown_outcome(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_write = configuration_store.write

    async def write(
        client: platform.PlatformClient, *arguments: object
    ) -> bool:
        await real_write(client, *arguments)  # type: ignore[arg-type]
        bench.service.inject_faults(key_value.Faults(restore_copy=True))
        raise platform.PlatformError('the answer is lost')

    async def revision_in_force() -> int:
        return 2

    async def body(client: platform.PlatformClient) -> None:
        await _accept(client, '# a')
        bench.service.inject_faults(key_value.Faults(keep_copy=True))
        plan = await _prepare(client, '# b')
        monkeypatch.setattr(configuration_store, 'write', write)
        with pytest.raises(acceptance.UnknownOutcomeError):
            await acceptance.accept(client, plan, revision_in_force)

    bench.run(body)


def test_write_is_rejected_after_store_rollback_since_read(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        await _accept(client, '# a')
        bench.service.inject_faults(key_value.Faults(keep_copy=True))
        await client.begin_session()
        plan = await _prepare(client, '# mine')
        other_client = platform.PlatformClient(client.addresses)
        await _accept(other_client, '# in force')
        bench.service.inject_faults(key_value.Faults(restore_copy=True))
        assert not await acceptance.accept(client, plan, _no_revision_in_force)
        assert len(await _history(other_client)) == 1

    bench.run(body)


def test_repair_writes_revision_in_force_to_rolled_back_store(
    bench: key_value_bench.Bench,
) -> None:
    in_force = configuration.Configuration(9, 'nine', '# nine')

    async def body(client: platform.PlatformClient) -> None:
        await _accept(client, '# old')
        stored_head = await configuration_store.read_head(client)
        repair = acceptance.prepare_repair(stored_head, in_force, AUTHOR)
        assert await configuration_store.write(
            client, stored_head, repair.changed, repair.change
        )
        stored = await configuration_store.read(client)
        assert stored.current == in_force
        await _accept(client, '# ten')
        head = await configuration_store.read_head(client)
        assert head.revision() == 10

    bench.run(body)


def test_a_corrupt_head_can_be_repaired(bench: key_value_bench.Bench) -> None:
    in_force = configuration.Configuration(2, 'two', '# two')

    async def body(client: platform.PlatformClient) -> None:
        await client.compare_and_swap(configuration_values.HEAD_KEY, 0, b'{')
        raw = await client.get(configuration_values.HEAD_KEY)
        stored_head = configuration_values.StoredHead(None, raw.mod_revision)
        repair = acceptance.prepare_repair(stored_head, in_force, AUTHOR)
        assert await configuration_store.write(
            client, stored_head, repair.changed, repair.change
        )
        stored = await configuration_store.read(client)
        assert stored.current == in_force

    bench.run(body)
