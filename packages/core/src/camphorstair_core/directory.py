"""The directory: which entry addresses a caller is told to use."""

import fractions

import attrs

from camphorstair_core import vms

ADDRESSES = 3
NEAR_SLACK = fractions.Fraction(3, 2)


@attrs.define
class DirectoryAnswer:
    """Addresses for a caller.

    :ivar addresses: Addresses, the one to use first at the front.
    :ivar deadline_s: Until when the answer may be used, in epoch seconds.
    """

    addresses: list[str]
    deadline_s: float


@attrs.define(frozen=True)
class Candidate:
    """An entry VM as a directory sees it.

    :ivar vm: The VM.
    :ivar down: Whether it missed its heartbeats.
    :ivar leaving: Whether it, or the VM list, says that it shuts down.
    :ivar out: Whether the rules take its data centre out.
    """

    vm: vms.Vm
    down: bool = False
    leaving: bool = False
    out: bool = False


@attrs.define
class Directory:
    """What one entry keeps of its own answers.

    :ivar own_name: The entry's name.
    :ivar serial: Number of answers so far.
    :ivar first_serials: Number of the last answer that put a VM first.
    :ivar named_deadlines_s: When the last answer that names a VM passes its
        deadline, on the monotonic clock.
    """

    own_name: str
    serial: int = 0
    first_serials: dict[str, int] = attrs.field(factory=dict)
    named_deadlines_s: dict[str, float] = attrs.field(factory=dict)

    def named_s(self, name: str, now_s: float) -> float:
        """Return how long callers may still keep answers that name a VM."""
        return max(0, self.named_deadlines_s.get(name, 0) - now_s)


def eligible(candidates: list[Candidate]) -> list[vms.Vm]:
    """Return the VMs to name; none only if there is no candidate.

    Entries of a data centre that is out still serve, so they come before
    those that leave, and those before the ones that seem down.

    :param candidates: All entry VMs that the directory knows of.
    """
    levels = [
        (candidate.down, candidate.leaving, candidate.out)
        for candidate in candidates
    ]
    best = min(levels, default=None)
    return sorted(
        (
            candidate.vm
            for candidate, level in zip(candidates, levels, strict=True)
            if level == best
        ),
        key=lambda vm: vm.name,
    )


def choose(
    directory: Directory,
    candidates: list[Candidate],
    data_centre: str,
    now_s: float,
    lifetime_s: float,
) -> list[vms.Vm]:
    """Choose the VMs for one answer, the one to use first at the front.

    The first is the near one that was first longest ago, so that each gets
    the same part of the answers in force. The others are spread by a hash of
    the answer's number, so that the callers of a VM that dies do not all
    move to the same one.

    :param directory: The state of this entry's directory.
    :param candidates: All entry VMs that it knows of.
    :param data_centre: The data centre that the caller is near.
    :param now_s: The time.
    :param lifetime_s: How long a caller may keep the answer.
    """
    named = eligible(candidates)
    if not named:
        return []
    directory.serial += 1
    regions = {
        candidate.vm.region
        for candidate in candidates
        if candidate.vm.data_centre == data_centre
    }
    rings = _by_distance(named, data_centre, regions)
    if len(rings) > 1 and not _near_turn(directory.serial, named, rings):
        rings.insert(1, rings.pop(0))
    first = _next_first(directory, candidates, rings[0])
    directory.first_serials[first.name] = directory.serial
    chosen = [first]
    for ring in rings:
        chosen.extend(_spread(directory, [vm for vm in ring if vm != first]))
    answer = chosen[:ADDRESSES]
    for vm in answer:
        directory.named_deadlines_s[vm.name] = now_s + lifetime_s
    return answer


def _by_distance(
    named: list[vms.Vm],
    data_centre: str,
    regions: set[str],
) -> list[list[vms.Vm]]:
    """Group VMs: those of the data centre, of its region, and the others."""
    rings: list[list[vms.Vm]] = [[], [], []]
    for vm in named:
        if vm.data_centre == data_centre:
            rings[0].append(vm)
        elif vm.region in regions:
            rings[1].append(vm)
        else:
            rings[2].append(vm)
    return [ring for ring in rings if ring]


def _near_turn(
    serial: int,
    named: list[vms.Vm],
    rings: list[list[vms.Vm]],
) -> bool:
    """Tell whether an answer goes to the near VMs.

    If fewer are near than a data centre has on average, some answers go on
    to the next group, so that the few left get no more than ``NEAR_SLACK``
    of their fair part.
    """
    data_centres = len({vm.data_centre for vm in named})
    part = NEAR_SLACK * len(rings[0]) * data_centres / len(named)
    turns = int(serial * part)
    return part >= 1 or turns > int(serial * part - part)


def _next_first(
    directory: Directory,
    candidates: list[Candidate],
    ring: list[vms.Vm],
) -> vms.Vm:
    """Return the VM that was first longest ago.

    The directories of all entries begin at different places of the ring, so
    that also the first answers of each are spread.
    """
    names = sorted(candidate.vm.name for candidate in candidates)
    start = 0
    if directory.own_name in names:
        start = names.index(directory.own_name)
    turn = start % len(ring)
    ordered = ring[turn:] + ring[:turn]
    return min(
        ordered,
        key=lambda vm: directory.first_serials.get(vm.name, 0),
    )


def _spread(directory: Directory, ring: list[vms.Vm]) -> list[vms.Vm]:
    key = f'{directory.own_name} {directory.serial}'
    return sorted(ring, key=lambda vm: vms.rank(key, vm.name))
