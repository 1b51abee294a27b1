"""The directory's answers from what an entry knows of the others."""

from camphorstair import entry_state
from camphorstair_core import directory, vms
from camphorstair_runtime import clocks


def answer(
    entry: entry_state.Entry,
    data_centre: str,
) -> directory.DirectoryAnswer:
    """Return the answer to a caller.

    :param entry: The entry that answers.
    :param data_centre: The data centre that the caller is near; empty if it
        did not say, then the entry's own counts.
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
    """Return all entries as the directory sees them."""
    own = _own_vm(entry)
    known = {own.name: own}
    for listed in entry.state.listed:
        if listed.role is vms.VmRole.entry:
            known[listed.name] = listed
    return [_candidate(entry, vm, now_s) for vm in known.values()]


def _own_vm(entry: entry_state.Entry) -> vms.Vm:
    """Return this VM, also if the VM list lacks it."""
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
    own = vm.name == state.identity.name
    leaving = state.leaving if own else state.members.leaving(vm.name, now_s)
    return directory.Candidate(
        vm,
        down=not own and state.members.down(vm.name, now_s),
        leaving=leaving or vm.state is vms.VmState.leaving,
        out=vm.data_centre in state.holder.rule_set.data_centres_out,
    )
