"""Compare the directory with a simple model that records every answer."""

import collections
import itertools

import attrs
from hypothesis import settings, stateful
from hypothesis import strategies as st

from camphorstair_core import directory, vms

DATA_CENTRES = ('levis-nord', 'levis-sud', 'larisa')
REGIONS = ('qc-est', 'qc-est', 'thessalia')
LIFETIME_S = 30.0
OWN = 'entry-0'


def entry(number: int, place: int) -> directory.Candidate:
    """Return an entry in a data centre.

    :param place: Index into DATA_CENTRES and REGIONS.
    """
    vm = vms.Vm(
        name=f'entry-{number}',
        role=vms.VmRole.entry,
        state=vms.VmState.live,
        region=REGIONS[place],
        data_centre=DATA_CENTRES[place],
        peers_address='',
        callers_address=f'10.0.0.{number}:1',
    )
    return directory.Candidate(vm)


@attrs.define
class RecordedAnswer:
    """An answer of the directory.

    :ivar names: Names of the entries, in the order of the answer.
    :ivar time_s: Time of the answer.
    :ivar epoch: Number of changes to the candidates before the answer.
    """

    names: list[str]
    time_s: float
    epoch: int


class DirectoryMachine(stateful.RuleBasedStateMachine):
    """Change the known entries and compare answers with the model."""

    def __init__(self) -> None:
        super().__init__()
        self.tested_directory = directory.Directory(OWN)
        self.known_candidates = {OWN: entry(0, 0)}
        self.history: list[RecordedAnswer] = []
        self.now_s: float = 0
        self.epoch = 0

    @stateful.rule(number=st.integers(1, 7), place=st.integers(0, 2))
    def add(self, number: int, place: int) -> None:
        """Add an entry, or replace the one with its name."""
        added = entry(number, place)
        self.known_candidates[added.vm.name] = added
        self.epoch += 1

    @stateful.precondition(lambda machine: len(machine.known_candidates) > 1)
    @stateful.rule(draws=st.data())
    def remove(self, draws: st.DataObject) -> None:
        """Remove any entry but the directory's own."""
        names = sorted(set(self.known_candidates) - {OWN})
        self.known_candidates.pop(draws.draw(st.sampled_from(names)))
        self.epoch += 1

    @stateful.rule(
        draws=st.data(),
        marks=st.tuples(st.booleans(), st.booleans(), st.booleans()),
    )
    def mark(self, draws: st.DataObject, marks: tuple[bool, ...]) -> None:
        """Set whether an entry is down, leaving and out."""
        name = draws.draw(st.sampled_from(sorted(self.known_candidates)))
        down, leaving, out = marks
        self.known_candidates[name] = attrs.evolve(
            self.known_candidates[name],
            down=down and name != OWN,
            leaving=leaving,
            out=out,
        )
        self.epoch += 1

    @stateful.rule(step_s=st.floats(0, 20))
    def wait(self, step_s: float) -> None:
        """Advance the time."""
        self.now_s += step_s

    @stateful.rule(place=st.integers(0, 2), count=st.integers(1, 12))
    def ask(self, place: int, count: int) -> None:
        """Check a number of answers for callers in a data centre."""
        for _ in range(count):
            expected = self.expected_groups(place)
            chosen = directory.choose(
                self.tested_directory,
                list(self.known_candidates.values()),
                DATA_CENTRES[place],
                self.now_s,
                LIFETIME_S,
            )
            names = [vm.name for vm in chosen]
            self.check(names, expected)
            self.history.append(RecordedAnswer(names, self.now_s, self.epoch))

    def expected_groups(self, place: int) -> list[set[str]]:
        """Return the names of the best entries, grouped from near to far.

        Entries that are not down come first, then those that are not leaving,
        then those whose data centre is not out. The groups are those in the
        callers' data centre, in its region and elsewhere. Empty groups are left
        out.
        """
        levels = collections.defaultdict(list)
        for candidate in self.known_candidates.values():
            level = candidate.down * 4 + candidate.leaving * 2 + candidate.out
            levels[level].append(candidate.vm)
        best = levels[min(levels)]
        groups: list[set[str]] = [set(), set(), set()]
        for vm in best:
            distance = 2 * (vm.region != REGIONS[place])
            if vm.data_centre != DATA_CENTRES[place]:
                distance = max(distance, 1)
            groups[distance].add(vm.name)
        return [group for group in groups if group]

    def check(self, names: list[str], groups: list[set[str]]) -> None:
        """Check the length, the order and the rotation of an answer.

        The first entry is from one of the two nearest groups. Of its group, it
        is an entry that was named first the longest time ago, or never. An
        answer with fewer than MAX_ADDRESSES names contains the whole nearest
        group.

        :param names: Names in the answer.
        :param groups: Names of the best entries, grouped from near to far.
        """
        best = set().union(*groups)
        assert len(names) == min(directory.MAX_ADDRESSES, len(best))
        assert len(set(names) & best) == len(names)
        assert names[0] in groups[0] | groups[min(1, len(groups) - 1)]
        group = next(group for group in groups if names[0] in group)
        last_answers = {
            name: self.last_answer_with_first(name) for name in group
        }
        assert last_answers[names[0]] == min(last_answers.values())
        missing = groups[0] - set(names)
        assert not missing or len(names) == directory.MAX_ADDRESSES

    def last_answer_with_first(self, name: str) -> int:
        """Return the number of the last answer with an entry first, or 0."""
        numbers = [
            number
            for number, recorded in enumerate(self.history, 1)
            if recorded.names[0] == name
        ]
        return max(numbers, default=0)

    @stateful.invariant()
    def deadlines_cover_all_answers(self) -> None:
        """Check that named_s is at least each answer's remaining lifetime."""
        for recorded in self.history:
            remaining_s = recorded.time_s + LIFETIME_S - self.now_s
            for name in recorded.names:
                assert self.tested_directory.named_s(name, self.now_s) >= max(
                    0, remaining_s
                )


DirectoryMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
)
test_directory = DirectoryMachine.TestCase


def count_first_entries(
    counts: list[int], callers: int
) -> collections.Counter[str]:
    """Return how many callers were given each entry as the first.

    Each entry answers callers of its own data centre.

    :param counts: Number of entries in each data centre.
    :param callers: Number of callers that ask each entry.
    """
    numbers = itertools.count()
    known_candidates = [
        entry(next(numbers), place)
        for place, count in enumerate(counts)
        for _ in range(count)
    ]
    first_counts: collections.Counter[str] = collections.Counter()
    for asked_entry in known_candidates:
        tested_directory = directory.Directory(asked_entry.vm.name)
        for _ in range(callers):
            callers_data_centre = asked_entry.vm.data_centre
            chosen = directory.choose(
                tested_directory,
                known_candidates,
                callers_data_centre,
                0,
                LIFETIME_S,
            )
            first_counts[chosen[0].name] += 1
    return first_counts


def test_few_callers_are_spread_evenly() -> None:
    for callers in (1, 2, 3):
        first_counts = count_first_entries([3, 3, 3], callers)
        assert set(first_counts.values()) == {callers}


def test_sole_entry_of_data_centre_gets_no_more_than_its_share() -> None:
    known_candidates = [
        entry(0, 0),
        *(entry(number, 1) for number in range(1, 6)),
    ]
    tested_directory = directory.Directory(OWN)
    chosen = [
        directory.choose(
            tested_directory, known_candidates, DATA_CENTRES[0], 0, LIFETIME_S
        )[0].name
        for _ in range(60)
    ]
    assert 28 <= chosen.count(OWN) <= 32


def test_serving_entries_are_preferred_to_leaving_or_down() -> None:
    known_candidates = [
        entry(0, 0),
        attrs.evolve(entry(1, 0), out=True),
        attrs.evolve(entry(2, 0), leaving=True),
        attrs.evolve(entry(3, 0), down=True),
    ]
    while known_candidates:
        best = directory.eligible(known_candidates)
        assert best == [known_candidates.pop(0).vm]
