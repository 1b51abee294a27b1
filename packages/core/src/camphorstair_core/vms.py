"""VMs of the platform, and rendezvous hashing to choose among them."""

import enum
import hashlib

import attrs


class VmRole(enum.StrEnum):
    """Role of a VM."""

    entry = 'entry'
    agent = 'agent'


class VmState(enum.StrEnum):
    """State of a VM according to the VM list."""

    live = 'live'
    leaving = 'leaving'


@attrs.define(frozen=True)
class Vm:
    """A VM on the platform's VM list.

    :ivar name: Name, unique in the fleet.
    :ivar role: Role of the VM.
    :ivar state: State of the VM.
    :ivar region: The region of the data centre.
    :ivar data_centre: The data centre that the VM is in.
    :ivar peers_address: Address at which the VM's process listens for other
        processes.
    :ivar callers_address: Address at which an entry VM listens for callers,
        else empty.
    :ivar service: Name of an endpoint VM's service, else empty.
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

    :param key: The key that candidates are chosen for.
    :param name: Name of a candidate; the highest weight is chosen first.
    """
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def rendezvous(key: str, names: list[str], count: int) -> list[str]:
    """Choose names for a key by rendezvous hashing.

    If a candidate is added or removed, only the choices of keys for which it
    ranks among the first ``count`` change.

    :param key: The key to choose names for.
    :param names: The candidates.
    :param count: Maximum number of names to choose.
    :returns: The chosen names, highest weight first.
    """
    ordered = sorted(names, key=lambda name: rank(key, name), reverse=True)
    return ordered[:count]


def watchers(vms: list[Vm], data_centre: str, count: int) -> list[Vm]:
    """Return the live entry VMs of a data centre that watch the platform.

    :param vms: All VMs.
    :param data_centre: The data centre.
    :param count: Maximum number of VMs to choose.
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
