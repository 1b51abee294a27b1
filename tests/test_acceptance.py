"""Acceptance under races, lost answers and outages."""

import pytest

from camphorstair import acceptance
from camphorstair_core import changes, configuration
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    platform,
)
from camphorstair_standins import key_value_bench

AUTHOR = changes.Author('me', 1)


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> key_value_bench.Bench:
    monkeypatch.setattr(acceptance, 'SETTLE_INTERVAL_S', 0.01)
    return key_value_bench.Bench()


async def _prepare(
    client: platform.PlatformClient, text: str
) -> acceptance.Plan:
    stored = await configuration_store.read(client)
    return acceptance.prepare(stored, text, AUTHOR)


async def _history(client: platform.PlatformClient) -> list[str]:
    found = await configuration_store.history(client, 9)
    return [one.change_id for one in found]


def test_of_two_operators_one_gets_the_lines_of_the_other(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        await acceptance.accept(client, await _prepare(client, '# a'))
        mine = await _prepare(client, '# mine')
        await acceptance.accept(client, await _prepare(client, '# other'))
        with pytest.raises(acceptance.ConflictError) as conflict:
            await acceptance.accept(client, mine)
        expected = ['revision 2 by me:', '-# a', '+# other']
        assert conflict.value.lines == expected

    bench.run(body)


def test_a_lost_answer_is_settled_as_accepted(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        bench.service.faults.lost_answers = 1
        await acceptance.accept(client, plan)
        assert await _history(client) == [plan.changed.change_id]

    bench.run(body)


def test_a_lost_answer_then_another_change_is_still_accepted(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real = configuration_store.write

    async def write(
        client: platform.PlatformClient, *arguments: object
    ) -> bool:
        monkeypatch.setattr(configuration_store, 'write', real)
        await real(client, *arguments)  # type: ignore[arg-type]
        other = await _prepare(client, '# other')
        await acceptance.accept(client, other)
        raise platform.PlatformError('the answer is lost')

    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        monkeypatch.setattr(configuration_store, 'write', write)
        await acceptance.accept(client, plan)
        found = await _history(client)
        assert found[1:] == [plan.changed.change_id]

    bench.run(body)


def test_a_write_that_never_came_is_done_once(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real = configuration_store.write
    late: list[tuple[object, ...]] = []
    written = []

    async def write(
        client: platform.PlatformClient, *arguments: object
    ) -> bool:
        if not late:
            late.append(arguments)
            raise platform.PlatformError('on its way')
        # The first one arrives after all, just before the second.
        written.append(await real(client, *late[0]))  # type: ignore[arg-type]
        return await real(client, *arguments)  # type: ignore[arg-type]

    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        monkeypatch.setattr(configuration_store, 'write', write)
        await acceptance.accept(client, plan)
        assert written == [False]
        assert await _history(client) == [plan.changed.change_id]

    bench.run(body)


def test_an_outage_leaves_the_outcome_unknown(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        plan = await _prepare(client, '# a')
        bench.service.faults.outage = True
        with pytest.raises(acceptance.UnknownOutcomeError) as unknown:
            await acceptance.accept(client, plan)
        assert plan.changed.change_id in str(unknown.value)
        assert 'camphorstair history' in str(unknown.value)

    bench.run(body)


def test_an_older_copy_leaves_a_lost_answer_unknown(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real = configuration_store.write

    async def write(
        client: platform.PlatformClient, *arguments: object
    ) -> bool:
        await real(client, *arguments)  # type: ignore[arg-type]
        faults = bench.service.faults.__class__
        bench.service.bring_about(faults(restore_copy=True))
        raise platform.PlatformError('the answer is lost')

    async def body(client: platform.PlatformClient) -> None:
        await acceptance.accept(client, await _prepare(client, '# a'))
        faults = bench.service.faults.__class__
        bench.service.bring_about(faults(keep_copy=True))
        await acceptance.accept(client, await _prepare(client, '# b'))
        plan = await _prepare(client, '# c')
        monkeypatch.setattr(configuration_store, 'write', write)
        with pytest.raises(acceptance.UnknownOutcomeError):
            await acceptance.accept(client, plan)

    bench.run(body)


def test_a_repair_gives_an_older_copy_what_is_in_force(
    bench: key_value_bench.Bench,
) -> None:
    in_force = configuration.Configuration(9, 'nine', '# nine')

    async def body(client: platform.PlatformClient) -> None:
        await acceptance.accept(client, await _prepare(client, '# old'))
        found = await configuration_store.read_head(client)
        repair = acceptance.prepare_repair(found, in_force, AUTHOR)
        await acceptance.accept(client, repair)
        stored = await configuration_store.read(client)
        assert stored.current == in_force
        await acceptance.accept(client, await _prepare(client, '# ten'))
        head = await configuration_store.read_head(client)
        assert head.revision() == 10

    bench.run(body)


def test_a_corrupt_head_can_be_repaired(bench: key_value_bench.Bench) -> None:
    in_force = configuration.Configuration(2, 'two', '# two')

    async def body(client: platform.PlatformClient) -> None:
        await client.compare_and_swap(configuration_values.HEAD_KEY, 0, b'{')
        raw = await client.get(configuration_values.HEAD_KEY)
        found = configuration_values.StoredHead(None, raw.mod_revision)
        repair = acceptance.prepare_repair(found, in_force, AUTHOR)
        await acceptance.accept(client, repair)
        stored = await configuration_store.read(client)
        assert stored.current == in_force

    bench.run(body)
