"""Deltas against whole copies, and what a reader of the store survives."""

import typing

import msgspec
import pytest
from hypothesis import given, stateful
from hypothesis import strategies as st

from camphorstair_core import changes, configuration, deltas
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    platform,
)
from camphorstair_standins import key_value_bench

AUTHOR = changes.Author('me', 1)
LINES = st.lists(st.sampled_from(['# a', '# b', '', '# c']), max_size=12)
TEXTS = LINES.map('\n'.join)


@given(TEXTS, TEXTS)
def test_a_delta_makes_the_new_text(old: str, new: str) -> None:
    assert deltas.apply(old, deltas.compute(old, new)) == new


class Follower(stateful.RuleBasedStateMachine):
    """A holder fed by deltas, beside one fed by whole copies."""

    def __init__(self) -> None:
        super().__init__()
        self.source = configuration.ConfigurationHolder()
        self.follower = configuration.ConfigurationHolder()

    @stateful.rule(text=TEXTS, skip=st.integers(1, 3))
    def accept(self, text: str, skip: int) -> None:
        """Accept a change, mostly the next revision."""
        old = self.source.current or configuration.Configuration(0, '', '')
        revision = old.revision + max(skip - 1, 1)
        record = changes.build_change(
            changes.RulesText(old.revision, old.text),
            changes.RulesText(revision, text),
            f'id{revision}',
            AUTHOR,
        )
        try:
            configuration.apply_changes(self.source, [record])
        except deltas.DeltaError:
            whole = configuration.Configuration(revision, f'id{revision}', text)
            configuration.apply_if_newer(self.source, whole)

    @stateful.rule()
    def follow(self) -> None:
        """Follow as a process does: deltas if they reach, else a copy."""
        above = self.follower.revision()
        found = configuration.changes_above(self.source, above)
        if found is not None:
            configuration.apply_changes(self.follower, found)
        elif self.source.current is not None:
            configuration.apply_if_newer(self.follower, self.source.current)
        assert self.follower.current == self.source.current

    @stateful.invariant()
    def never_ahead(self) -> None:
        """No revision comes from nowhere."""
        assert self.follower.revision() <= self.source.revision()


TestFollower = Follower.TestCase


def test_a_delta_that_makes_another_text_is_refused() -> None:
    old, new = changes.RulesText(1, '# a'), changes.RulesText(2, '# b')
    record = changes.build_change(old, new, 'x', AUTHOR)
    with pytest.raises(deltas.DeltaError, match='line 1 is not as expected'):
        changes.advance(changes.RulesText(1, '# c'), record)
    with pytest.raises(deltas.DeltaError, match='no delta on 3'):
        changes.advance(changes.RulesText(3, '# a'), record)


@pytest.fixture
def bench() -> key_value_bench.Bench:
    return key_value_bench.Bench()


async def _accept(client: platform.PlatformClient, text: str) -> bool:
    stored = await configuration_store.read(client)
    old = stored.current or configuration.Configuration(0, '', '')
    new = configuration.Configuration(old.revision + 1, text, text)
    record = changes.build_change(
        changes.RulesText(old.revision, old.text),
        changes.RulesText(new.revision, new.text),
        new.change_id,
        AUTHOR,
    )
    return await configuration_store.write(client, stored.found, new, record)


def test_snapshots_are_compacted_and_changes_bounded(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_store, 'SNAPSHOT_CHANGES', 3)
    monkeypatch.setattr(configuration_store, 'CHANGES_KEPT', 8)

    async def body(client: platform.PlatformClient) -> None:
        for number in range(20):
            assert await _accept(client, f'# {number}\r\n\n# kept  as it is')
        stored = await configuration_store.read(client)
        text = '# 19\r\n\n# kept  as it is'
        assert stored.current == configuration.Configuration(20, text, text)
        found = await configuration_store.history(client, 50)
        assert [one.revision for one in found] == list(range(20, 12, -1))
        assert stored.found.head
        assert stored.found.head.snapshots == [16, 19]

    bench.run(body)


def test_a_reader_that_compaction_overtakes_begins_again(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_store, 'SNAPSHOT_CHANGES', 1)
    real = configuration_store.read_head
    overtaken: list[object] = []

    async def slow_head(client: platform.PlatformClient) -> typing.Any:
        found = await real(client)
        if not overtaken:
            overtaken.append(found)
            for number in range(3):
                await _accept(client, f'# later {number}')
        return found

    async def body(client: platform.PlatformClient) -> str:
        await _accept(client, '# first')
        monkeypatch.setattr(configuration_store, 'read_head', slow_head)
        stored = await configuration_store.read(client)
        return stored.current.text if stored.current else ''

    assert bench.run(body) == '# later 2'


@pytest.mark.parametrize('key', ['snapshot', 'change', 'head'])
def test_a_corrupt_value_is_refused(
    bench: key_value_bench.Bench,
    key: str,
) -> None:
    keys = {
        'snapshot': configuration_values.snapshot_key(1),
        'change': configuration_values.change_key(2),
        'head': configuration_values.HEAD_KEY,
    }

    async def body(client: platform.PlatformClient) -> None:
        await _accept(client, '# a')
        await _accept(client, '# b')
        found = await client.get(keys[key])
        half = found.value[: len(found.value) // 2]
        await client.compare_and_swap(keys[key], found.mod_revision, half)
        with pytest.raises(configuration_values.StoreError):
            await configuration_store.read(client)

    bench.run(body)


def test_a_corrupt_snapshot_is_passed_over_for_the_older(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_store, 'SNAPSHOT_CHANGES', 2)

    async def body(client: platform.PlatformClient) -> str:
        for number in range(3):
            await _accept(client, f'# {number}')
        key = configuration_values.snapshot_key(3)
        found = await client.get(key)
        await client.compare_and_swap(key, found.mod_revision, b'')
        stored = await configuration_store.read(client)
        return stored.current.text if stored.current else ''

    assert bench.run(body) == '# 2'


def test_of_two_racing_writes_one_wins(bench: key_value_bench.Bench) -> None:
    async def body(client: platform.PlatformClient) -> None:
        found = (await configuration_store.read(client)).found
        outcomes = [
            await configuration_store.write(
                client,
                found,
                configuration.Configuration(1, name, f'# {name}'),
                changes.Change(1, 0, name, deltas.digest(f'# {name}'), None),
            )
            for name in ('first', 'second')
        ]
        assert outcomes == [True, False]
        stored = await configuration_store.read(client)
        assert stored.current
        assert stored.current.change_id == 'first'

    bench.run(body)


def test_a_value_above_the_limit_is_refused_before_it_is_sent(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_values, 'MAX_VALUE_BYTES', 100)

    async def body(client: platform.PlatformClient) -> None:
        with pytest.raises(configuration_values.TooLargeError, match='100'):
            await _accept(client, '# a')
        assert not (await configuration_store.read_head(client)).mod_revision

    bench.run(body)


def test_a_touched_head_keeps_an_older_write_out(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        found = await configuration_store.read_head(client)
        assert await configuration_store.touch(client, found)
        late = configuration.Configuration(1, 'late', '# late')
        record = changes.Change(1, 0, 'late', deltas.digest('# late'), None)
        written = await configuration_store.write(client, found, late, record)
        assert not written
        assert await _accept(client, '# next')

    bench.run(body)


def test_a_change_survives_the_wire() -> None:
    record = changes.build_change(
        changes.RulesText(1, '# a'),
        changes.RulesText(2, 'model name=m service=s  # Ana'),
        'x',
        AUTHOR,
    )
    encoded = msgspec.json.encode(record)
    assert msgspec.json.decode(encoded, type=changes.Change) == record
    assert record.requesters == ['Ana']
    assert record.changed_lines() == ['-# a', '+model name=m service=s  # Ana']
