"""Tests of how entries find the parts of prompts that crash engines."""

import attrs
import pytest
from hypothesis import settings, stateful, strategies

from camphorstair_core.fleet import (
    answered_parts,
    crash_culprits,
    crash_incidents,
    crash_reports,
    quarantine,
)

ENTRIES = ('e1', 'e2', 'e3')
COMMON = 'common'
BAD = 'bad'
RARE = ('rare1', 'rare2', 'rare3', 'rare4')
LATER_S = 5.0
# An entry by its index, and the shared parts of a prompt that it has sent.
Prompt = tuple[int, tuple[str, ...]]


@attrs.define(eq=False)
class Knowledge:
    """What one entry knows.

    :ivar name: Name of the entry.
    """

    name: str
    history: crash_reports.CrashHistory = attrs.field(
        factory=crash_reports.CrashHistory
    )
    answered: answered_parts.AnsweredParts = attrs.field(
        factory=answered_parts.AnsweredParts
    )

    def found(self) -> set[str]:
        """Return the parts that this entry concludes to crash engines."""
        culprits = crash_culprits.culprits(self.history, self.answered.count)
        return {culprit.suspect for culprit in culprits}


def _exchange(entries: list[Knowledge], now_s: float) -> None:
    """Let every entry read, clear and read again what the others publish."""
    for _ in range(2):
        for writer in entries:
            crash_incidents.clear_answered(
                writer.history, writer.name, writer.answered, now_s
            )
            reports = crash_reports.published(writer.history, writer.name)
            for reader in entries:
                for report in reports:
                    crash_reports.add_report(
                        reader.history, writer.name, report, now_s
                    )


def _crash(
    entries: list[Knowledge],
    number: int,
    prompts: list[Prompt],
    now_s: float,
) -> None:
    """Report a crash of which each prompt was at one of the entries."""
    for index, parts in prompts:
        entry = entries[index]
        crash_reports.add_suspects(
            entry.history,
            entry.name,
            f'i-{number}@0',
            crash_reports.Suspicion(parts),
            now_s,
        )
    _exchange(entries, now_s)


@pytest.fixture
def entries() -> list[Knowledge]:
    return [Knowledge(name) for name in ENTRIES]


def test_a_part_is_found_after_two_incidents_at_different_entries(
    entries: list[Knowledge],
) -> None:
    entries[1].answered.record([COMMON], 0.5)
    _crash(entries, 1, [(0, (COMMON, BAD)), (1, ('rare1',))], 1)
    assert not any(entry.found() for entry in entries)
    _crash(entries, 2, [(2, (COMMON, BAD)), (1, ('rare2',))], LATER_S)
    assert all(entry.found() == {BAD} for entry in entries)


def test_a_rack_that_fails_as_a_whole_finds_nothing(
    entries: list[Knowledge],
) -> None:
    for number in range(8):
        _crash(entries, number, [(0, ('rare1', COMMON))], 1 + number / 10)
    assert not entries[0].found()


def test_a_part_that_any_entry_has_answered_is_cleared(
    entries: list[Knowledge],
) -> None:
    entries[2].answered.record(['rare1'], 0)
    for number in range(2):
        _crash(entries, number, [(0, ('rare1', BAD))], 1 + LATER_S * number)
    assert entries[0].found() == {BAD}


def test_parts_that_explain_the_same_crashes_are_in_doubt(
    entries: list[Knowledge],
) -> None:
    for number in range(2):
        _crash(entries, number, [(0, ('rare1', BAD))], 1 + LATER_S * number)
    culprits = crash_culprits.culprits(
        entries[0].history, entries[0].answered.count
    )
    assert culprits == [
        crash_culprits.Culprit(BAD, sole=False),
        crash_culprits.Culprit('rare1', sole=False),
    ]
    _crash(entries, 3, [(0, (BAD,))], 1 + LATER_S * 3)
    assert entries[0].found() == {BAD}


def test_a_part_whose_crashes_another_one_explains_is_not_found(
    entries: list[Knowledge],
) -> None:
    for number in range(3):
        parts = ('rare1', BAD) if number else (BAD,)
        _crash(entries, number, [(0, parts)], 1 + LATER_S * number)
    assert entries[0].found() == {BAD}


def test_a_part_that_crashes_only_from_some_time_on_is_found(
    entries: list[Knowledge],
) -> None:
    for entry in entries:
        entry.answered.record([BAD, COMMON], 0)
    for number in range(5):
        now_s = 1 + LATER_S * number
        _crash(entries, number, [(0, (COMMON, BAD))], now_s)
        entries[1].answered.record([COMMON], now_s + 1)
    assert entries[2].found() == {BAD}


def test_an_unrelated_crash_does_not_renew_a_conclusion(
    entries: list[Knowledge],
) -> None:
    for number in range(2):
        _crash(entries, number, [(0, (BAD,))], 1 + LATER_S * number)
    _crash(entries, 3, [(0, ('rare1',))], 1 + LATER_S * 3)
    assert not entries[0].found()


def test_a_released_part_is_found_only_by_later_crashes(
    entries: list[Knowledge],
) -> None:
    for number in range(2):
        _crash(entries, number, [(0, (BAD,))], 1 + LATER_S * number)
    assert entries[1].found() == {BAD}
    for entry in entries:
        crash_reports.release(entry.history, BAD, 2 + LATER_S)
    # A late report of a crash before the release.
    _crash(entries, 1, [(2, ('rare1',))], 3 + LATER_S)
    assert not entries[1].found()
    for number in range(2, 4):
        assert not entries[1].found()
        _crash(entries, number, [(0, (BAD,))], 1 + LATER_S * number)
    assert entries[1].found() == {BAD}


def test_reports_are_bounded_and_expire(entries: list[Knowledge]) -> None:
    entry = entries[0]
    for number in range(crash_reports.MAX_CRASHES + 50):
        parts = tuple(f'p{number}-{part}' for part in range(200))
        suspicion = crash_reports.Suspicion(parts, parts)
        crash_reports.add_suspects(
            entry.history, entry.name, f'i-{number}', suspicion, number
        )
    published = crash_reports.published(entry.history, entry.name)
    assert len(entry.history.crashes) == crash_reports.MAX_CRASHES
    assert len(published) == crash_reports.MAX_PUBLISHED_REPORTS
    assert {len(report.suspects) for report in published} == {
        crash_reports.MAX_REPORTED_PARTS
    }
    last_s = crash_reports.MAX_CRASHES + 49
    crash_reports.expire(entry.history, last_s + crash_reports.REPORT_LIFE_S)
    assert len(entry.history.crashes) == 1


def test_answered_parts_are_bounded() -> None:
    answered = answered_parts.AnsweredParts()
    for number in range(answered_parts.MAX_PARTS + 10):
        answered.record([str(number), COMMON], number)
    assert len(answered.by_part) == answered_parts.MAX_PARTS
    assert answered.count(COMMON) == answered_parts.MAX_PARTS + 10
    assert not answered.count('1')


def test_a_quarantined_part_is_refused_until_its_deadline() -> None:
    known = quarantine.Quarantine()
    known.add(BAD, 10, 0)
    known.add(BAD, 5, 0)
    assert known.find((COMMON, BAD), 8) == quarantine.QuarantinedSuspect(BAD, 2)
    assert known.find((COMMON,), 8) is None


def test_a_quarantine_ends_at_its_deadline() -> None:
    known = quarantine.Quarantine()
    known.add(BAD, 10, 0)
    end_s = quarantine.QUARANTINE_S
    assert not known.expire(end_s - 1)
    trial_due = quarantine.QuarantinedSuspect(BAD, 0)
    assert known.find((BAD,), end_s - 1) == trial_due
    assert known.expire(end_s) == [BAD]
    assert known.find((BAD,), end_s - 1) is None


def test_a_request_waits_for_the_last_of_its_quarantined_parts() -> None:
    known = quarantine.Quarantine()
    known.add(BAD, 10, 0)
    known.add(COMMON, 20, 0)
    found = known.find((COMMON, BAD), 5)
    assert found == quarantine.QuarantinedSuspect(COMMON, 15)


@pytest.mark.parametrize('sole', [True, False])
def test_trials_begin_within_a_minute_and_become_rare(sole: bool) -> None:
    delays_s = [
        quarantine.trial_delay_s(trials, sole=sole) for trials in range(8)
    ]
    assert delays_s[0] <= 60
    assert delays_s == sorted(delays_s)
    # In an hour no more trials than a request may be repeated.
    assert sum(delays_s[:4]) > 600
    assert delays_s[-1] < quarantine.QUARANTINE_S


class CrashingFleet(stateful.RuleBasedStateMachine):
    """Entries that see answers and crashes in any order.

    One part crashes each engine; a common part is in all prompts. The reports
    of a crash come in any order, late, or twice.
    """

    def __init__(self) -> None:
        """Start with entries that know nothing."""
        super().__init__()
        self.entries = [Knowledge(name) for name in ENTRIES]
        self.now_s: float = 0
        self.crash_count = 0

    @stateful.rule(
        index=strategies.integers(0, 2), rare=strategies.sampled_from(RARE)
    )
    def answer(self, index: int, rare: str) -> None:
        """An entry sees an answer to a sound prompt."""
        self.now_s += 1
        self.entries[index].answered.record([COMMON, rare], self.now_s)

    @stateful.precondition(lambda machine: machine.now_s)
    @stateful.rule(
        culprit=strategies.integers(0, 2),
        rares=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2), strategies.sampled_from(RARE)
            ),
            max_size=4,
        ),
    )
    def crash(self, culprit: int, rares: list[tuple[int, str]]) -> None:
        """An engine crashes while it runs the bad prompt and sound ones."""
        self.now_s += LATER_S
        self.crash_count += 1
        prompts: list[Prompt] = [(culprit, (COMMON, BAD))]
        prompts += [(index, (COMMON, rare)) for index, rare in rares]
        _crash(self.entries, self.crash_count, prompts, self.now_s)
        _exchange(list(reversed(self.entries)), self.now_s)
        # Between the crashes some request of each kind is answered.
        self.entries[0].answered.record([COMMON, *RARE], self.now_s + 1)

    @stateful.invariant()
    def only_the_bad_part_is_found(self) -> None:
        """Each entry finds the bad part at the second crash, and no other."""
        expected = {BAD} if self.crash_count > 1 else set()
        for entry in self.entries:
            assert entry.found() == expected


CrashingFleetTest = CrashingFleet.TestCase
CrashingFleetTest.settings = settings(
    max_examples=60, stateful_step_count=12, deadline=None
)
