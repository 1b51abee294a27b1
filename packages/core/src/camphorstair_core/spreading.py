"""Who watches the platform, and whom the other processes follow."""

import random

import attrs

from camphorstair_core import vms

WATCHERS = 2
FAR_SHARE = 0.25
CANDIDATES = 3
AVOIDED_S = 10.0


@attrs.define
class Place:
    """The process that chooses.

    :ivar name: Its name.
    :ivar data_centre: Its data centre.
    """

    name: str
    data_centre: str


@attrs.define
class Sources:
    """What a process knows of those that it may follow.

    :ivar avoided_until_s: Until when one that did not answer is passed over.
    """

    avoided_until_s: dict[str, float] = attrs.field(factory=dict)


def watches(listed: list[vms.Vm], place: Place) -> bool:
    """Tell whether a process watches the platform for its data centre."""
    chosen = vms.watchers(listed, place.data_centre, WATCHERS)
    return any(vm.name == place.name for vm in chosen)


def candidates(
    listed: list[vms.Vm],
    place: Place,
    sources: Sources,
    now_s: float,
    generator: random.Random,
) -> list[vms.Vm]:
    """Return whom to ask in this round, first choice first.

    Mostly a watcher of the same data centre. Its watchers themselves, and
    the others now and then, ask another data centre first, so that one that
    is cut off from the platform learns from the others.

    :param listed: All VMs.
    :param place: The asking process.
    :param sources: Who did not answer of late.
    :param now_s: The monotonic clock.
    :param generator: Chooses.
    """
    entries = [vm for vm in listed if vm.role is vms.VmRole.entry]
    usable = _usable(entries, place, sources, now_s)
    watchers = vms.watchers(listed, place.data_centre, WATCHERS)
    near = [vm for vm in watchers if vm.name in usable]
    generator.shuffle(near)
    others = list(usable.values())
    generator.shuffle(others)
    far = [vm for vm in others if vm.data_centre != place.data_centre]
    ordered = [*near, *far, *others]
    # A watcher brings news of other data centres to its own.
    if watches(listed, place) or generator.random() < FAR_SHARE:
        ordered = [*far[:1], *ordered]
    return list(dict.fromkeys(ordered))[:CANDIDATES]


def avoid(sources: Sources, name: str, now_s: float) -> None:
    """Pass a process over for a while: it did not answer."""
    sources.avoided_until_s = {
        other: until_s
        for other, until_s in sources.avoided_until_s.items()
        if until_s > now_s
    }
    sources.avoided_until_s[name] = now_s + AVOIDED_S


def _usable(
    entries: list[vms.Vm],
    place: Place,
    sources: Sources,
    now_s: float,
) -> dict[str, vms.Vm]:
    passed_over = {
        name
        for name, until_s in sources.avoided_until_s.items()
        if until_s > now_s
    }
    passed_over.add(place.name)
    return {vm.name: vm for vm in entries if vm.name not in passed_over}
