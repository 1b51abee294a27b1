"""Tests of how entries find a request that crashes endpoints."""

import attrs
import pytest
from hypothesis import settings, stateful, strategies

from camphorstair_core.fleet import (
    answered_parts,
    crash_culprits,
    crash_incidents,
    crash_reports,
    request_identity,
)

ENTRIES = ('e1', 'e2', 'e3')
COMMON = 'common'
PART = 'rarepart'
BAD = 'request-bad'
SOUND = ('request-1', 'request-2', 'request-3')
SOON_S = 0.2
LATER_S = 5.0
CONTENT = request_identity.RequestContent('a', 'h', 'POST', '/p', b'body')


@attrs.define(eq=False)
class Fleet:
    """What each of three entries knows.

    :ivar now_s: The current time.
    :ivar histories: The crashes that each entry has heard of.
    :ivar answered: What each entry has seen answered.
    :ivar crash_count: Number of crashes so far.
    """

    now_s: float = 1.0
    histories: dict[str, crash_reports.CrashHistory] = attrs.field(init=False)
    answered: dict[str, answered_parts.AnsweredParts] = attrs.field(init=False)
    crash_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with entries that know nothing."""
        self.histories = {
            name: crash_reports.CrashHistory() for name in ENTRIES
        }
        self.answered = {
            name: answered_parts.AnsweredParts() for name in ENTRIES
        }

    def crash(self, *sent: tuple[str, tuple[str, ...]]) -> None:
        """Crash an endpoint that runs requests of some entries.

        :param sent: Each entry with what its request makes suspect, the
            request first.
        """
        known = {
            name: crash_reports.is_suspected(self.histories[name], suspects[0])
            for name, suspects in sent
        }
        for name, suspects in sent:
            repeated = suspects[:1] if known[name] else ()
            crash_reports.add_suspects(
                self.histories[name],
                name,
                f'i-{self.crash_count}@0',
                crash_reports.Suspicion(suspects, repeated),
                self.now_s,
            )
        self.crash_count += 1

    def exchange(self) -> None:
        """Let every entry read, clear and read again what the others report."""
        for _ in range(2):
            for writer in ENTRIES:
                self._publish(writer)

    def found(self, name: str = 'e1') -> set[str]:
        """Return what an entry concludes to crash endpoints."""
        culprits = crash_culprits.culprits(
            self.histories[name], self.answered[name].count
        )
        return {culprit.suspect for culprit in culprits}

    def _publish(self, writer: str) -> None:
        history = self.histories[writer]
        crash_incidents.clear_answered(
            history, writer, self.answered[writer], self.now_s
        )
        for report in crash_reports.published(history, writer):
            for reader in ENTRIES:
                crash_reports.add_report(
                    self.histories[reader], writer, report, self.now_s
                )


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def test_a_request_sent_again_after_a_crash_is_found_by_the_next_one(
    fleet: Fleet,
) -> None:
    fleet.crash(('e1', (BAD, COMMON)))
    fleet.exchange()
    assert not fleet.found()
    fleet.now_s += SOON_S
    fleet.crash(('e2', (BAD, COMMON)))
    fleet.exchange()
    assert all(fleet.found(name) == {BAD} for name in ENTRIES)


def test_copies_of_a_request_at_endpoints_that_fail_together_find_nothing(
    fleet: Fleet,
) -> None:
    for name in ENTRIES:
        fleet.crash((name, (SOUND[0],)))
    fleet.exchange()
    assert not fleet.found()


def test_a_request_that_some_entry_has_answered_is_cleared(
    fleet: Fleet,
) -> None:
    fleet.answered['e3'].record([SOUND[0]], 0)
    for _ in range(2):
        fleet.crash(('e1', (SOUND[0],)))
        fleet.exchange()
    assert not fleet.found()


def test_a_request_is_found_before_the_parts_of_its_prompt(
    fleet: Fleet,
) -> None:
    for _ in range(2):
        fleet.crash(('e1', (BAD, PART)))
        fleet.exchange()
        fleet.now_s += LATER_S
    assert fleet.found() == {BAD}


def test_a_part_is_found_though_each_of_its_requests_comes_twice(
    fleet: Fleet,
) -> None:
    for request in SOUND:
        for _ in range(2):
            fleet.crash(('e1', (request, PART)))
            fleet.exchange()
            fleet.now_s += SOON_S
        fleet.now_s += LATER_S
    assert fleet.found() == {PART}


def test_a_request_beside_the_culprit_is_told_apart_by_the_next_crash(
    fleet: Fleet,
) -> None:
    for _ in range(2):
        fleet.crash(('e1', (BAD,)), ('e2', (SOUND[0],)))
        fleet.exchange()
        fleet.now_s += SOON_S
    assert fleet.found() == {BAD, SOUND[0]}
    fleet.now_s += LATER_S
    fleet.crash(('e3', (BAD,)))
    fleet.exchange()
    assert fleet.found() == {BAD}


def test_earlier_crashes_do_not_count_against_a_released_request(
    fleet: Fleet,
) -> None:
    for _ in range(2):
        fleet.crash(('e1', (BAD,)))
        fleet.exchange()
        fleet.now_s += LATER_S
    for name in ENTRIES:
        crash_reports.release(fleet.histories[name], BAD, fleet.now_s)
    fleet.now_s += LATER_S
    fleet.crash(('e1', (BAD,)))
    fleet.exchange()
    assert not fleet.found()


def test_a_late_report_does_not_count_against_a_released_request(
    fleet: Fleet,
) -> None:
    fleet.crash(('e1', (BAD,)))
    fleet.exchange()
    history = fleet.histories['e1']
    crash_reports.release(history, BAD, fleet.now_s + SOON_S)
    late = crash_reports.CrashReport('i-0@0', (BAD,))
    crash_reports.add_report(history, 'e3', late, fleet.now_s + LATER_S)
    assert not crash_reports.is_suspected(history, BAD)


@pytest.mark.parametrize(
    'other',
    [
        attrs.evolve(CONTENT, caller='b'),
        attrs.evolve(CONTENT, host='g'),
        attrs.evolve(CONTENT, method='PUT'),
        attrs.evolve(CONTENT, target='/p?q'),
        attrs.evolve(CONTENT, body=b'other'),
        attrs.evolve(CONTENT, caller='ah', host=''),
    ],
)
def test_requests_that_differ_have_different_identities(
    other: request_identity.RequestContent,
) -> None:
    own = request_identity.identity(CONTENT)
    assert own == request_identity.identity(attrs.evolve(CONTENT))
    assert request_identity.identity(other) != own


class RepeatedRequest(stateful.RuleBasedStateMachine):
    """A request that crashes endpoints comes again, among sound ones."""

    def __init__(self) -> None:
        """Start with a fleet that knows nothing."""
        super().__init__()
        self.fleet = Fleet()
        self.known_crashes = 0

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        request=strategies.sampled_from(SOUND),
    )
    def answer(self, name: str, request: str) -> None:
        """An entry sees an answer to a sound request."""
        self.fleet.now_s += 1
        self.fleet.answered[name].record([request, COMMON], self.fleet.now_s)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        beside=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ENTRIES),
                strategies.sampled_from(SOUND),
            ),
            max_size=3,
        ),
        later=strategies.booleans(),
    )
    def crash(
        self, name: str, beside: list[tuple[str, str]], later: bool
    ) -> None:
        """The request crashes an endpoint, soon after the last one or later."""
        fleet = self.fleet
        fleet.now_s += LATER_S if later else SOON_S
        fleet.crash(
            (name, (BAD, COMMON)),
            *((entry, (request, COMMON)) for entry, request in beside),
        )
        fleet.exchange()
        self.known_crashes += 1
        # The sound requests are answered once the endpoints are back.
        fleet.answered['e1'].record([COMMON, *SOUND], fleet.now_s + 0.1)
        fleet.exchange()

    @stateful.invariant()
    def only_the_bad_request_is_found(self) -> None:
        """Each entry finds it at the second crash, and nothing else."""
        expected = {BAD} if self.known_crashes > 1 else set()
        for name in ENTRIES:
            assert self.fleet.found(name) == expected


RepeatedRequestTest = RepeatedRequest.TestCase
RepeatedRequestTest.settings = settings(
    max_examples=60, stateful_step_count=12, deadline=None
)
