"""Tests of a process's copy of the store, also after the store came back older.

A stateful test compares the copy with a naive one that keeps nothing but what
the store shows in the end.
"""

import attrs
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from camphorstair_core.fleet import store_copy

KEYS = ('a', 'b', 'c')
FAR_S = 1000.0
# A copy that was begun then remembers all removals that a return may undo.
LONG_AGO_S = -store_copy.REMOVAL_MEMORY_S


def _copy() -> store_copy.StoreCopy:
    """Return a copy that defers every change that a return has brought."""
    return store_copy.StoreCopy(lambda _before, _after: False)


def _row(key: str, content: bytes | None, revision: int) -> store_copy.Item:
    return store_copy.Item(key, content, revision)


def _whole(era: int, revision: int, **texts: str) -> store_copy.Update:
    rows = tuple(
        _row(key, text.encode(), revision) for key, text in texts.items()
    )
    return store_copy.Update(era, revision, rows, whole=True)


def _changes(
    era: int, revision: int, *rows: store_copy.Item
) -> store_copy.Update:
    return store_copy.Update(era, revision, rows, whole=False)


def _applied(changes: list[store_copy.Item]) -> dict[str, bytes | None]:
    return {row.key: row.content for row in changes}


def test_an_answer_of_an_earlier_era_changes_nothing() -> None:
    known = _copy()
    store_copy.take(known, _whole(2, 5, a='new'), 0)
    assert not store_copy.take(known, _whole(1, 90, a='old'), 0)
    assert not store_copy.take(known, _changes(1, 91, _row('a', b'x', 91)), 0)
    assert known.rows['a'].content == b'new'


def test_changes_of_a_new_era_are_not_applied_before_all_keys_are_read() -> (
    None
):
    known = _copy()
    store_copy.take(known, _whole(1, 50, a='1'), LONG_AGO_S)
    assert not store_copy.take(known, _changes(2, 51, _row('b', b'2', 51)), 0)
    assert known.revision is None
    assert _applied(store_copy.take(known, _whole(2, 44, a='1', b='2'), 0)) == {
        'b': b'2'
    }
    assert known.revision == 44


def test_changes_with_reused_revisions_are_applied_after_a_return() -> None:
    known = _copy()
    store_copy.take(known, _whole(1, 50, a='1'), 0)
    store_copy.take(known, _whole(2, 40, a='1'), 0)
    change = _row('a', b'2', 41)
    assert store_copy.take(known, _changes(2, 41, change), 0) == [change]


@pytest.mark.parametrize('written_again', [True, False])
def test_a_key_that_is_missing_after_a_return_is_kept_for_its_owner(
    *, written_again: bool
) -> None:
    known = _copy()
    store_copy.take(known, _whole(1, 50, a='1', b='1'), 0)
    assert not store_copy.take(known, _whole(2, 40, a='1'), 0)
    assert not store_copy.due(known, store_copy.RETURN_LIMIT_S - 0.1)
    if written_again:
        store_copy.take(known, _changes(2, 41, _row('b', b'1', 41)), 1)
    due = _applied(store_copy.due(known, store_copy.RETURN_LIMIT_S))
    assert ('b' in due) is not written_again
    assert due.get('b') is None


@pytest.mark.parametrize('written_again', [True, False])
def test_a_removed_key_that_a_return_has_brought_back_is_not_used_at_once(
    *, written_again: bool
) -> None:
    known = _copy()
    store_copy.take(known, _whole(1, 50, a='1', b='1'), 0)
    store_copy.take(known, _changes(1, 51, _row('b', None, 51)), 0)
    assert not store_copy.take(known, _whole(2, 40, a='1', b='1'), 0)
    if written_again:
        change = _row('b', b'1', 41)
        assert store_copy.take(known, _changes(2, 41, change), 1) == [change]
    assert not store_copy.due(known, store_copy.RESTORED_LIMIT_S - 0.1)
    due = _applied(store_copy.due(known, store_copy.RESTORED_LIMIT_S))
    assert ('b' in due) is not written_again
    assert written_again or due['b'] == b'1'


def test_a_key_that_was_never_known_is_used_after_a_return() -> None:
    known = _copy()
    store_copy.take(known, _whole(1, 50, a='1'), LONG_AGO_S)
    assert _applied(store_copy.take(known, _whole(2, 40, a='1', c='3'), 0)) == {
        'c': b'3'
    }


# A process that had started after a removal used the key that a return brought
# back: it could not tell it from a new one.
@pytest.mark.parametrize('written_again', [True, False])
def test_a_key_that_was_removed_before_the_start_is_not_used_at_once(
    *, written_again: bool
) -> None:
    known = _copy()
    begun_s = LONG_AGO_S + 0.1
    assert store_copy.take(known, _whole(1, 50, a='1'), begun_s)
    assert not store_copy.take(known, _whole(2, 40, a='1', c='3'), 0)
    if written_again:
        change = _row('c', b'4', 41)
        assert store_copy.take(known, _changes(2, 41, change), 1) == [change]
    assert not store_copy.due(known, store_copy.RESTORED_LIMIT_S - 0.1)
    due = _applied(store_copy.due(known, store_copy.RESTORED_LIMIT_S))
    expected = None if written_again else b'3'
    assert due.get('c') == expected


def test_a_process_that_follows_a_copy_gets_only_what_it_lacks() -> None:
    known = _copy()
    assert store_copy.updates_since(known, 1, 0, ('',)) is None
    store_copy.take(known, _whole(1, 50, a='1', b='1'), 0)
    change = _row('b', b'2', 51)
    store_copy.take(known, _changes(1, 51, change), 0)
    update = store_copy.updates_since(known, 1, 50, ('',))
    assert update == store_copy.Update(1, 51, (change,), whole=False)
    whole = store_copy.updates_since(known, 0, 50, ('b',))
    assert whole == store_copy.Update(1, 51, (change,), whole=True)


@attrs.define
class NaiveStore:
    """The store's true content.

    :ivar era: Its era.
    :ivar revision: Its last revision.
    :ivar rows: Its keys.
    :ivar events: The changes of this era.
    """

    era: int = 1
    revision: int = 1
    rows: dict[str, store_copy.Item] = attrs.field(factory=dict)
    events: list[store_copy.Item] = attrs.field(factory=list)


class Following(stateful.RuleBasedStateMachine):
    """A copy that follows a store, and one that follows that copy."""

    def __init__(self) -> None:
        """Start with an empty store."""
        super().__init__()
        self.store = NaiveStore()
        self.earlier = NaiveStore()
        self.copies = (_copy(), _copy())
        self.applied: tuple[dict[str, bytes], dict[str, bytes]] = ({}, {})
        self.now_s: float = 0

    @stateful.rule(key=st.sampled_from(KEYS), number=st.integers(0, 3))
    def write(self, key: str, number: int) -> None:
        """Write a key."""
        self.store.revision += 1
        row = _row(key, b'%d' % number, self.store.revision)
        self.store.rows[key] = row
        self.store.events.append(row)

    @stateful.rule(key=st.sampled_from(KEYS))
    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.store.rows.pop(key, None) is not None:
            self.store.revision += 1
            row = _row(key, None, self.store.revision)
            self.store.events.append(row)

    @stateful.rule()
    def save(self) -> None:
        """Keep a copy of the store."""
        self.earlier = attrs.evolve(
            self.store,
            rows=dict(self.store.rows),
            events=list(self.store.events),
        )

    @stateful.rule()
    def come_back(self) -> None:
        """Replace the store by the copy; a new era begins."""
        self.store = attrs.evolve(
            self.earlier,
            era=self.store.era + 1,
            rows=dict(self.earlier.rows),
            events=[],
        )

    @stateful.rule(number=st.sampled_from((0, 1)), step_s=st.floats(0, 3))
    def follow(self, number: int, step_s: float) -> None:
        """Update one copy, and check that it does not go back by itself."""
        self.now_s += step_s
        self._update(number)

    @stateful.invariant()
    def second_copy_is_not_ahead_of_the_first(self) -> None:
        """The second copy knows only what the first one has told."""
        assert self.copies[1].era <= self.copies[0].era

    def teardown(self) -> None:
        """After a while without changes, the copies show the store."""
        for _ in range(3):
            self.now_s += FAR_S
            self._update(0)
            self._update(1)
        expected = {key: row.content for key, row in self.store.rows.items()}
        assert self.applied == (expected, expected)

    def _update(self, number: int) -> None:
        known = self.copies[number]
        update = self._from_store() if number == 0 else self._from_copy()
        changes: list[store_copy.Item] = []
        if update is not None:
            changes = store_copy.take(known, update, self.now_s)
        changes.extend(store_copy.due(known, self.now_s))
        for row in changes:
            if row.content is None:
                self.applied[number].pop(row.key, None)
            else:
                self.applied[number][row.key] = row.content

    def _from_store(self) -> store_copy.Update:
        known = self.copies[0]
        store = self.store
        if known.era == store.era and known.revision is not None:
            rows = tuple(
                row for row in store.events if row.revision > known.revision
            )
            return _changes(store.era, store.revision, *rows)
        rows = tuple(store.rows.values())
        return store_copy.Update(store.era, store.revision, rows, whole=True)

    def _from_copy(self) -> store_copy.Update | None:
        known = self.copies[1]
        return store_copy.updates_since(
            self.copies[0], known.era, known.revision or 0, ('',)
        )


TestFollowing = Following.TestCase
