"""Tests of the age of a mirror's content after an answer to a watch."""

import attrs
import curio
import pytest

from camphorstair_core.fleet import content_age, store_copy
from camphorstair_fleet import mirroring, sources
from camphorstair_platform import store
from camphorstair_runtime import clocks

ROUND_TRIP_S = 0.01
CHANGE = store_copy.Item('op/config', b'{}', 8)


@attrs.define
class FakeStore:
    """Simulate a store that answers a scan and only the first watch.

    :ivar rows: Changes that the watch returns.
    :ivar answers_after_s: Time from the watch to its answer.
    :ivar now_s: Simulated time.
    :ivar watched: Whether the first watch has started.
    """

    rows: tuple[store_copy.Item, ...]
    answers_after_s: float
    now_s: float = 100
    watched: bool = False

    async def scan(self, _prefix: str, *, stale: bool = False) -> store.Listing:
        """Return an empty listing."""
        self.now_s += ROUND_TRIP_S
        return store.Listing((), 7)

    async def watch(
        self,
        _prefix: str,
        after: int,
        _wait_s: float,
    ) -> store.Listing:
        """Return the changes at the first call; block forever at later ones."""
        if self.watched:
            await curio.Event().wait()
        self.watched = True
        self.now_s += self.answers_after_s
        return store.Listing(self.rows, after + len(self.rows))


async def _age_after(fake_store: FakeStore) -> float:
    """Return the age of the content in seconds after the watch's answer."""
    mirror_age = content_age.ContentAge()

    async def changed() -> None:
        if fake_store.watched:
            await done.set()

    done = curio.Event()
    source = sources.store_source(
        fake_store,  # type: ignore[arg-type]
        ('op/',),
    )
    mirror = mirroring.Mirror(
        lambda _failed: source,
        mirror_age,
        lambda _row: None,
        changed,
        store_copy.StoreCopy(lambda _before, _after: True),
    )
    task = await curio.spawn(mirror.run)
    await done.wait()
    await task.cancel()
    return content_age.age_s(mirror_age, fake_store.now_s)


@pytest.mark.parametrize(
    ('rows', 'answers_after_s', 'age_s'),
    [
        ((), sources.WATCH_WAIT_S + 0.2, sources.WATCH_DELAY_LIMIT_S + 0.2),
        ((), 0.4, 0.4),
        ((CHANGE,), sources.WATCH_WAIT_S, sources.WATCH_WAIT_S),
    ],
)
def test_content_age_after_watch_reply(
    monkeypatch: pytest.MonkeyPatch,
    rows: tuple[store_copy.Item, ...],
    answers_after_s: float,
    age_s: float,
) -> None:
    fake_store = FakeStore(rows, answers_after_s)
    monkeypatch.setattr(clocks, 'boottime_s', lambda: fake_store.now_s)
    assert curio.run(_age_after, fake_store) == pytest.approx(age_s)


@pytest.mark.parametrize(
    ('rows', 'sleeps_s'), [((), []), ((CHANGE,), [mirroring.BURST_PAUSE_S])]
)
def test_watch_pauses_after_change_to_batch_further_changes(
    monkeypatch: pytest.MonkeyPatch,
    rows: tuple[store_copy.Item, ...],
    sleeps_s: list[float],
) -> None:
    slept_s: list[float] = []

    async def sleep(seconds: float) -> None:
        slept_s.append(seconds)
        await curio.Event().wait()

    monkeypatch.setattr(curio, 'sleep', sleep)
    curio.run(_age_after, FakeStore(rows, 0.1))
    assert slept_s == sleeps_s
