"""The directory against a naive version that keeps all of its answers."""

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
class Given:
    """An answer that was given."""

    names: list[str]
    time_s: float
    epoch: int


class DirectoryMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.kept = directory.Directory(OWN)
        self.known = {OWN: entry(0, 0)}
        self.history: list[Given] = []
        self.now_s: float = 0
        self.epoch = 0

    @stateful.rule(number=st.integers(1, 7), place=st.integers(0, 2))
    def add(self, number: int, place: int) -> None:
        added = entry(number, place)
        self.known[added.vm.name] = added
        self.epoch += 1

    @stateful.precondition(lambda machine: len(machine.known) > 1)
    @stateful.rule(draws=st.data())
    def remove(self, draws: st.DataObject) -> None:
        names = sorted(set(self.known) - {OWN})
        self.known.pop(draws.draw(st.sampled_from(names)))
        self.epoch += 1

    @stateful.rule(
        draws=st.data(),
        marks=st.tuples(st.booleans(), st.booleans(), st.booleans()),
    )
    def mark(self, draws: st.DataObject, marks: tuple[bool, ...]) -> None:
        name = draws.draw(st.sampled_from(sorted(self.known)))
        down, leaving, out = marks
        self.known[name] = attrs.evolve(
            self.known[name],
            down=down and name != OWN,
            leaving=leaving,
            out=out,
        )
        self.epoch += 1

    @stateful.rule(step_s=st.floats(0, 20))
    def wait(self, step_s: float) -> None:
        self.now_s += step_s

    @stateful.rule(place=st.integers(0, 2), count=st.integers(1, 12))
    def ask(self, place: int, count: int) -> None:
        for _ in range(count):
            expected = self.naive_groups(place)
            chosen = directory.choose(
                self.kept,
                list(self.known.values()),
                DATA_CENTRES[place],
                self.now_s,
                LIFETIME_S,
            )
            names = [vm.name for vm in chosen]
            self.check(names, expected)
            self.history.append(Given(names, self.now_s, self.epoch))

    def naive_groups(self, place: int) -> list[set[str]]:
        """Return the best entries, grouped from near to far."""
        levels = collections.defaultdict(list)
        for candidate in self.known.values():
            level = candidate.down * 4 + candidate.leaving * 2 + candidate.out
            levels[level].append(candidate.vm)
        best = levels[min(levels)]
        groups: list[set[str]] = [set(), set(), set()]
        for vm in best:
            far = 2 * (vm.region != REGIONS[place])
            if vm.data_centre != DATA_CENTRES[place]:
                far = max(far, 1)
            groups[far].add(vm.name)
        return [group for group in groups if group]

    def check(self, names: list[str], groups: list[set[str]]) -> None:
        best = set().union(*groups)
        assert len(names) == min(directory.MAX_ADDRESSES, len(best))
        assert len(set(names) & best) == len(names)
        assert names[0] in groups[0] | groups[min(1, len(groups) - 1)]
        group = next(group for group in groups if names[0] in group)
        waited = {name: self.last_first(name) for name in group}
        assert waited[names[0]] == min(waited.values())
        missing = groups[0] - set(names)
        assert not missing or len(names) == directory.MAX_ADDRESSES

    def last_first(self, name: str) -> int:
        """Return the number of the last answer that put an entry first."""
        numbers = [
            number
            for number, given in enumerate(self.history, 1)
            if given.names[0] == name
        ]
        return max(numbers, default=0)

    @stateful.invariant()
    def deadlines_cover_all_answers(self) -> None:
        for given in self.history:
            left_s = given.time_s + LIFETIME_S - self.now_s
            for name in given.names:
                assert self.kept.named_s(name, self.now_s) >= max(0, left_s)


DirectoryMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
)
test_directory = DirectoryMachine.TestCase


def shares(counts: list[int], callers: int) -> collections.Counter[str]:
    """Let each entry answer callers near it; return who was put first.

    :param counts: Entries of each data centre.
    :param callers: Callers that ask each entry.
    """
    numbers = itertools.count()
    known = [
        entry(next(numbers), place)
        for place, count in enumerate(counts)
        for _ in range(count)
    ]
    firsts: collections.Counter[str] = collections.Counter()
    for asked in known:
        kept = directory.Directory(asked.vm.name)
        for _ in range(callers):
            place = asked.vm.data_centre
            chosen = directory.choose(kept, known, place, 0, LIFETIME_S)
            firsts[chosen[0].name] += 1
    return firsts


def test_few_callers_are_spread_evenly() -> None:
    for callers in (1, 2, 3):
        firsts = shares([3, 3, 3], callers)
        assert set(firsts.values()) == {callers}


def test_the_last_entry_of_a_data_centre_gets_no_more_than_its_part() -> None:
    known = [entry(0, 0), *(entry(number, 1) for number in range(1, 6))]
    kept = directory.Directory(OWN)
    chosen = [
        directory.choose(kept, known, DATA_CENTRES[0], 0, LIFETIME_S)[0].name
        for _ in range(60)
    ]
    assert 28 <= chosen.count(OWN) <= 32


def test_what_serves_is_preferred_to_what_leaves_or_seems_down() -> None:
    known = [
        entry(0, 0),
        attrs.evolve(entry(1, 0), out=True),
        attrs.evolve(entry(2, 0), leaving=True),
        attrs.evolve(entry(3, 0), down=True),
    ]
    while known:
        best = directory.eligible(known)
        assert best == [known.pop(0).vm]
