"""Distributes updates: a few processes watch the platform, others poll them.

In each data centre a few entries, the watchers, watch the platform. All other
processes get their updates from watchers or other entries.
"""

import random

import attrs

from camphorstair_core import vms

WATCHERS = 2
FAR_SHARE = 0.25
CANDIDATES = 3
EXCLUSION_S = 10.0


@attrs.define
class ProcessLocation:
    """Name and location of this process.

    :ivar name: Name of the process's VM.
    :ivar data_centre: Data centre of the VM.
    """

    name: str
    data_centre: str


@attrs.define
class SourceAvailability:
    """Availability of the entries from which a process may get updates.

    :ivar excluded_until_s: By name of an entry that did not respond, the time
        until which it is not asked again; monotonic clock.
    """

    excluded_until_s: dict[str, float] = attrs.field(factory=dict)


def is_watcher(listed: list[vms.Vm], process: ProcessLocation) -> bool:
    """Return whether a process is a watcher of its data centre."""
    watchers = vms.watchers(listed, process.data_centre, WATCHERS)
    return any(vm.name == process.name for vm in watchers)


def candidates(
    listed: list[vms.Vm],
    process: ProcessLocation,
    sources: SourceAvailability,
    now_s: float,
    generator: random.Random,
) -> list[vms.Vm]:
    """Return the entries to ask for updates, in order of preference.

    Usually a watcher of the same data centre comes first. For watchers, and
    for other processes with probability ``FAR_SHARE``, an entry in another
    data centre comes first. So a data centre that is cut off from the platform
    receives updates from the others.

    :param listed: All VMs.
    :param process: The process that asks.
    :param sources: Entries that did not respond recently.
    :param now_s: The current time, on the monotonic clock.
    :param generator: Random source.
    """
    entries = [vm for vm in listed if vm.role is vms.VmRole.entry]
    usable = _usable(entries, process, sources, now_s)
    watchers = vms.watchers(listed, process.data_centre, WATCHERS)
    near = [vm for vm in watchers if vm.name in usable]
    generator.shuffle(near)
    shuffled = list(usable.values())
    generator.shuffle(shuffled)
    far = [vm for vm in shuffled if vm.data_centre != process.data_centre]
    ordered = [*near, *far, *shuffled]
    # Watchers fetch updates from other data centres for their own.
    if is_watcher(listed, process) or generator.random() < FAR_SHARE:
        ordered = [*far[:1], *ordered]
    return list(dict.fromkeys(ordered))[:CANDIDATES]


def exclude(sources: SourceAvailability, name: str, now_s: float) -> None:
    """Exclude an entry that did not respond from being asked again.

    The exclusion ends after ``EXCLUSION_S``. Expired ones are removed.

    :param sources: The availability of entries, which is updated.
    :param name: Name of the entry.
    :param now_s: The current time, on the monotonic clock.
    """
    sources.excluded_until_s = {
        excluded_name: until_s
        for excluded_name, until_s in sources.excluded_until_s.items()
        if until_s > now_s
    }
    sources.excluded_until_s[name] = now_s + EXCLUSION_S


def _usable(
    entries: list[vms.Vm],
    process: ProcessLocation,
    sources: SourceAvailability,
    now_s: float,
) -> dict[str, vms.Vm]:
    """Return the entries that may be asked, by name."""
    excluded = {
        name
        for name, until_s in sources.excluded_until_s.items()
        if until_s > now_s
    }
    excluded.add(process.name)
    return {vm.name: vm for vm in entries if vm.name not in excluded}
