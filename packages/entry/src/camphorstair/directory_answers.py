"""Directory answers, which name entries for a caller to connect to."""

from camphorstair import entry_state
from camphorstair_core import directory, vms
from camphorstair_runtime import clocks


def answer(
    entry: entry_state.Entry,
    data_centre: str,
) -> directory.DirectoryAnswer:
    """Return the directory answer for a caller.

    Record in ``entry.named`` which entries the answer names.

    :param entry: The entry that answers.
    :param data_centre: The data centre nearest to the caller; if empty, the
        entry's own data centre is used.
    """
    now_s = clocks.monotonic_s()
    lifetime_s = entry.checked.directory.answer_lifetime_s
    chosen = directory.choose(
        entry.named,
        candidates(entry, now_s),
        data_centre or entry.state.identity.data_centre,
        now_s,
        lifetime_s,
    )
    return directory.DirectoryAnswer(
        [vm.callers_address for vm in chosen],
        clocks.epoch_s() + lifetime_s,
    )


def candidates(
    entry: entry_state.Entry,
    now_s: float,
) -> list[directory.Candidate]:
    """Return all known entries as candidates, including this one.

    :param entry: The entry that answers.
    :param now_s: The time on the monotonic clock.
    """
    own_vm = _own_vm(entry)
    entry_vms = {own_vm.name: own_vm}
    for listed in entry.state.listed:
        if listed.role is vms.VmRole.entry:
            entry_vms[listed.name] = listed
    return [_candidate(entry, vm, now_s) for vm in entry_vms.values()]


def _own_vm(entry: entry_state.Entry) -> vms.Vm:
    """Return a description of this VM from the settings.

    It is used until the VM list contains this VM.
    """
    identity = entry.state.identity
    return vms.Vm(
        name=identity.name,
        role=vms.VmRole.entry,
        state=vms.VmState.live,
        region=identity.region,
        data_centre=identity.data_centre,
        peers_address=entry.checked.listen.peers,
        callers_address=entry.checked.listen.callers,
    )


def _candidate(
    entry: entry_state.Entry,
    vm: vms.Vm,
    now_s: float,
) -> directory.Candidate:
    state = entry.state
    is_own = vm.name == state.identity.name
    leaving = state.leaving if is_own else state.members.leaving(vm.name, now_s)
    return directory.Candidate(
        vm,
        down=not is_own and state.members.down(vm.name, now_s),
        leaving=leaving or vm.state is vms.VmState.leaving,
        out=vm.data_centre in state.holder.rule_set.data_centres_out,
    )
