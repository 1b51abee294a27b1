"""Deltas, snapshots and compaction of the stored configuration.

Deltas are compared with whole copies. Readers and writers are run against
compaction, corrupt values and concurrent writes.
"""

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
def test_applying_delta_yields_new_text(old: str, new: str) -> None:
    assert deltas.apply(old, deltas.compute(old, new)) == new


class Follower(stateful.RuleBasedStateMachine):
    """Let one configuration holder follow another and compare the two."""

    def __init__(self) -> None:
        super().__init__()
        self.source = configuration.ConfigurationHolder()
        self.follower = configuration.ConfigurationHolder()

    @stateful.rule(text=TEXTS, skip=st.integers(1, 3))
    def accept(self, text: str, skip: int) -> None:
        """Accept a change; its revision is 1 or, less often, 2 higher."""
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
        """Bring the follower up to date and compare it with the source.

        Like a process, the follower applies the deltas above its revision, or a
        whole copy where the source no longer has all of them.
        """
        follower_revision = self.follower.revision()
        newer_changes = configuration.changes_above(
            self.source, follower_revision
        )
        if newer_changes is not None:
            configuration.apply_changes(self.follower, newer_changes)
        elif self.source.current is not None:
            configuration.apply_if_newer(self.follower, self.source.current)
        assert self.follower.current == self.source.current

    @stateful.invariant()
    def never_ahead(self) -> None:
        """The follower's revision is never above the source's."""
        assert self.follower.revision() <= self.source.revision()


TestFollower = Follower.TestCase


def test_delta_on_wrong_base_text_is_rejected() -> None:
    old, new = changes.RulesText(1, '# a'), changes.RulesText(2, '# b')
    record = changes.build_change(old, new, 'x', AUTHOR)
    with pytest.raises(deltas.DeltaError, match='line 1 is not as expected'):
        changes.advance(changes.RulesText(1, '# c'), record)
    with pytest.raises(deltas.DeltaError, match='no delta on 3'):
        changes.advance(changes.RulesText(3, '# a'), record)


@pytest.fixture
def bench() -> key_value_bench.Bench:
    return key_value_bench.Bench()


async def _accept_text(client: platform.PlatformClient, text: str) -> bool:
    """Write a text as the next revision; return whether it was accepted."""
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
            assert await _accept_text(
                client, f'# {number}\r\n\n# kept  as it is'
            )
        stored = await configuration_store.read(client)
        text = '# 19\r\n\n# kept  as it is'
        assert stored.current == configuration.Configuration(20, text, text)
        recent_changes = await configuration_store.history(client, 50)
        assert [change.revision for change in recent_changes] == list(
            range(20, 12, -1)
        )
        assert stored.found.head
        assert stored.found.head.snapshots == [16, 19]

    bench.run(body)


def test_read_restarts_when_snapshot_is_compacted_meanwhile(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A read starts again if the snapshot at its head has been compacted.

    Three changes are accepted between the read of the head and that of the
    snapshot, which deletes the snapshot.
    """
    monkeypatch.setattr(configuration_store, 'SNAPSHOT_CHANGES', 1)
    original_read_head = configuration_store.read_head
    delayed_reads: list[object] = []

    async def delayed_read_head(client: platform.PlatformClient) -> typing.Any:
        stored_head = await original_read_head(client)
        if not delayed_reads:
            delayed_reads.append(stored_head)
            for number in range(3):
                await _accept_text(client, f'# later {number}')
        return stored_head

    async def body(client: platform.PlatformClient) -> str:
        await _accept_text(client, '# first')
        monkeypatch.setattr(configuration_store, 'read_head', delayed_read_head)
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
        await _accept_text(client, '# a')
        await _accept_text(client, '# b')
        stored_value = await client.get(keys[key])
        truncated = stored_value.value[: len(stored_value.value) // 2]
        await client.compare_and_swap(
            keys[key], stored_value.mod_revision, truncated
        )
        with pytest.raises(configuration_values.StoreError):
            await configuration_store.read(client)

    bench.run(body)


def test_read_falls_back_to_older_snapshot_if_latest_is_corrupt(
    bench: key_value_bench.Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_store, 'SNAPSHOT_CHANGES', 2)

    async def body(client: platform.PlatformClient) -> str:
        for number in range(3):
            await _accept_text(client, f'# {number}')
        key = configuration_values.snapshot_key(3)
        stored_value = await client.get(key)
        await client.compare_and_swap(key, stored_value.mod_revision, b'')
        stored = await configuration_store.read(client)
        return stored.current.text if stored.current else ''

    assert bench.run(body) == '# 2'


def test_second_write_on_same_head_is_rejected(
    bench: key_value_bench.Bench,
) -> None:
    async def body(client: platform.PlatformClient) -> None:
        stored_head = (await configuration_store.read(client)).found
        outcomes = [
            await configuration_store.write(
                client,
                stored_head,
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
            await _accept_text(client, '# a')
        assert not (await configuration_store.read_head(client)).mod_revision

    bench.run(body)


def test_write_prepared_before_touch_is_rejected(
    bench: key_value_bench.Bench,
) -> None:
    """A write that was prepared before the head was touched is refused.

    A touch rewrites the head unchanged, so that pending writes fail.
    """

    async def body(client: platform.PlatformClient) -> None:
        stored_head = await configuration_store.read_head(client)
        assert await configuration_store.touch(client, stored_head)
        late_change = configuration.Configuration(1, 'late', '# late')
        record = changes.Change(1, 0, 'late', deltas.digest('# late'), None)
        written = await configuration_store.write(
            client, stored_head, late_change, record
        )
        assert not written
        assert await _accept_text(client, '# next')

    bench.run(body)


def test_change_record_survives_json_round_trip() -> None:
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
