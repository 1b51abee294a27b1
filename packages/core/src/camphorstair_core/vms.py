"""The table of VMs, and who watches and follows among them."""

import enum
import hashlib

import attrs


class VmRole(enum.StrEnum):
    """What a VM is for."""

    entry = 'entry'
    agent = 'agent'


class VmState(enum.StrEnum):
    """What the VM list says about a VM."""

    live = 'live'
    leaving = 'leaving'


@attrs.define(frozen=True)
class Vm:
    """One VM of the platform's list.

    :ivar name: Name, unique in the fleet.
    :ivar callers_address: Where an entry VM listens to callers, else empty.
    :ivar peers_address: Where its process listens to the others.
    :ivar service: The service of an endpoint VM, else empty.
    """

    name: str
    role: VmRole
    state: VmState
    region: str
    data_centre: str
    peers_address: str
    callers_address: str = ''
    service: str = ''


def rank(key: str, name: str) -> int:
    """Return the weight of a name for a key, for rendezvous hashing.

    :param key: What is to be placed.
    :param name: A candidate; the one with the highest weight is taken.
    """
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def rendezvous(key: str, names: list[str], count: int) -> list[str]:
    """Choose names for a key so that few choices change with the list.

    :param key: What is to be placed.
    :param names: The candidates.
    :param count: How many to choose at most.
    :returns: The chosen, best first.
    """
    ordered = sorted(names, key=lambda name: rank(key, name), reverse=True)
    return ordered[:count]


def watchers(vms: list[Vm], data_centre: str, count: int) -> list[Vm]:
    """Choose the entry VMs of a data centre that watch the platform.

    :param vms: All VMs.
    :param data_centre: The data centre.
    :param count: How many watch.
    """
    candidates = {
        vm.name: vm
        for vm in vms
        if vm.role is VmRole.entry
        and vm.data_centre == data_centre
        and vm.state is VmState.live
    }
    chosen = rendezvous(f'watch {data_centre}', list(candidates), count)
    return [candidates[name] for name in chosen]
