"""The directory: which entry addresses a caller is told to use."""

import attrs

from camphorstair_core import vms

ANSWER_LIFETIME_S = 30.0
ADDRESSES = 3


@attrs.define
class DirectoryAnswer:
    """Addresses for a caller.

    :ivar addresses: Addresses, the one to use first at the front.
    :ivar deadline_s: Until when the answer may be used, in epoch seconds.
    """

    addresses: list[str]
    deadline_s: float


def answer(
    listed: list[vms.Vm],
    data_centre: str,
    serial: int,
    now_s: float,
) -> DirectoryAnswer:
    """Choose the addresses for a caller.

    :param listed: All VMs that this entry knows to serve.
    :param data_centre: The data centre that the caller is near.
    :param serial: Number of the answer; it spreads callers evenly.
    :param now_s: The time in epoch seconds.
    """
    entries = [
        vm
        for vm in sorted(listed, key=lambda vm: vm.name)
        if vm.role is vms.VmRole.entry and vm.state is vms.VmState.live
    ]
    near = [vm for vm in entries if vm.data_centre == data_centre]
    far = [vm for vm in entries if vm.data_centre != data_centre]
    ordered = _rotate(near, serial) + _rotate(far, serial)
    addresses = [vm.callers_address for vm in ordered[:ADDRESSES]]
    return DirectoryAnswer(addresses, now_s + ANSWER_LIFETIME_S)


def _rotate(entries: list[vms.Vm], serial: int) -> list[vms.Vm]:
    if not entries:
        return []
    turn = serial % len(entries)
    return entries[turn:] + entries[:turn]
