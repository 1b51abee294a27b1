"""Selection of the entry addresses that the directory gives to callers."""

import fractions

import attrs

from camphorstair_core import vms

MAX_ADDRESSES = 3
# Upper limit for the share of answers that start with a VM of a small nearest
# group, as a multiple of the fair share.
NEAR_SLACK = fractions.Fraction(3, 2)


@attrs.define
class DirectoryAnswer:
    """Answer of the directory to a caller.

    :ivar addresses: Addresses of entries, in the order to try them.
    :ivar deadline_s: When the answer expires, in seconds since the epoch.
    """

    addresses: list[str]
    deadline_s: float


@attrs.define(frozen=True)
class Candidate:
    """An entry VM and its known state.

    :ivar vm: The VM.
    :ivar down: Whether the VM missed its heartbeats.
    :ivar leaving: Whether the VM shuts down, according to its process or to
        the VM list.
    :ivar out: Whether the rules take the VM's data centre out of service.
    """

    vm: vms.Vm
    down: bool = False
    leaving: bool = False
    out: bool = False


@attrs.define
class Directory:
    """Record of the directory answers that one entry has given.

    :ivar own_name: The entry's name.
    :ivar serial: Number of answers so far.
    :ivar first_serials: By VM name, the number of the last answer that lists
        the VM first.
    :ivar named_deadlines_s: By VM name, when the last answer that lists the VM
        expires, on the monotonic clock.
    """

    own_name: str
    serial: int = 0
    first_serials: dict[str, int] = attrs.field(factory=dict)
    named_deadlines_s: dict[str, float] = attrs.field(factory=dict)

    def named_s(self, name: str, now_s: float) -> float:
        """Return how long callers may still use answers that list a VM.

        :param name: Name of the VM.
        :param now_s: The time on the monotonic clock.
        :returns: Seconds until the last such answer expires; 0 if none is
            valid.
        """
        return max(0, self.named_deadlines_s.get(name, 0) - now_s)


def eligible(candidates: list[Candidate]) -> list[vms.Vm]:
    """Return the VMs in the best state, sorted by name.

    VMs that are neither down, leaving nor out are preferred. Entries of a
    data centre that is out still serve, so they come next, then the leaving
    ones, and those that seem down last.

    :param candidates: All entry VMs known to the directory.
    :returns: The VMs; empty only if there is no candidate.
    """
    levels = [
        (candidate.down, candidate.leaving, candidate.out)
        for candidate in candidates
    ]
    lowest = min(levels, default=None)
    return sorted(
        (
            candidate.vm
            for candidate, level in zip(candidates, levels, strict=True)
            if level == lowest
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
    """Return the VMs for one answer, in the order to try them.

    The first VM is the one of its group that was listed first the longest
    ago, so that each VM comes first in the same share of the valid answers.
    That group is the nearest one, unless its VMs would get too many callers
    (see ``_starts_with_nearest``). The order of the other VMs depends on a
    hash of the answer's number, so that the callers of a VM that fails do not
    all move to the same VM.

    :param directory: The record of this entry's answers; updated in place.
    :param candidates: All entry VMs known to the directory.
    :param data_centre: The data centre nearest to the caller.
    :param now_s: The time on the monotonic clock.
    :param lifetime_s: How long a caller may use the answer.
    :returns: The first few VMs; empty if there is no candidate.
    """
    eligible_vms = eligible(candidates)
    if not eligible_vms:
        return []
    directory.serial += 1
    regions = {
        candidate.vm.region
        for candidate in candidates
        if candidate.vm.data_centre == data_centre
    }
    groups = _group_by_distance(eligible_vms, data_centre, regions)
    if len(groups) > 1 and not _starts_with_nearest(
        directory.serial, eligible_vms, groups
    ):
        groups.insert(1, groups.pop(0))
    first = _next_first(directory, candidates, groups[0])
    directory.first_serials[first.name] = directory.serial
    ordered_vms = [first]
    for group in groups:
        ordered_vms.extend(
            _hash_ordered(directory, [vm for vm in group if vm != first])
        )
    answer = ordered_vms[:MAX_ADDRESSES]
    for vm in answer:
        directory.named_deadlines_s[vm.name] = now_s + lifetime_s
    return answer


def _group_by_distance(
    eligible_vms: list[vms.Vm],
    data_centre: str,
    regions: set[str],
) -> list[list[vms.Vm]]:
    """Group VMs by distance from a data centre.

    :returns: The VMs in the data centre, those elsewhere in its region, and
        all others; empty groups are left out.
    """
    groups: list[list[vms.Vm]] = [[], [], []]
    for vm in eligible_vms:
        if vm.data_centre == data_centre:
            groups[0].append(vm)
        elif vm.region in regions:
            groups[1].append(vm)
        else:
            groups[2].append(vm)
    return [group for group in groups if group]


def _starts_with_nearest(
    serial: int,
    eligible_vms: list[vms.Vm],
    groups: list[list[vms.Vm]],
) -> bool:
    """Return whether an answer starts with the nearest group.

    If the nearest group is much smaller than the average data centre, some
    answers start with the next group instead. Over all callers, a VM of the
    small group comes first in at most ``NEAR_SLACK`` times its fair share.
    """
    data_centres = len({vm.data_centre for vm in eligible_vms})
    share = NEAR_SLACK * len(groups[0]) * data_centres / len(eligible_vms)
    nearest_count = int(serial * share)
    return share >= 1 or nearest_count > int(serial * share - share)


def _next_first(
    directory: Directory,
    candidates: list[Candidate],
    group: list[vms.Vm],
) -> vms.Vm:
    """Return the VM of a group that was listed first the longest ago.

    Entries start at different positions of the group, so that their first
    answers are spread over its VMs as well.
    """
    names = sorted(candidate.vm.name for candidate in candidates)
    start = 0
    if directory.own_name in names:
        start = names.index(directory.own_name)
    offset = start % len(group)
    ordered = group[offset:] + group[:offset]
    return min(
        ordered,
        key=lambda vm: directory.first_serials.get(vm.name, 0),
    )


def _hash_ordered(directory: Directory, group: list[vms.Vm]) -> list[vms.Vm]:
    """Return VMs ordered by a hash of the entry's name and answer number."""
    key = f'{directory.own_name} {directory.serial}'
    return sorted(group, key=lambda vm: vms.rank(key, vm.name))
