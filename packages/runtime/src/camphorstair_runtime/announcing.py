"""Tells all entries at once that this process leaves or has come."""

import logging
from collections import abc

import attrs
import curio

from camphorstair_core import membership_messages, vms
from camphorstair_runtime import clocks, links, node, peers, settings

CALL_LIMIT_S = 1.0
CONCURRENT_CALLS = 16
LIST_INTERVAL_S = 0.2
_MS_IN_S = 1000

_LOG = logging.getLogger(__name__)

MessageSource = abc.Callable[[vms.Vm], object]


@attrs.define
class Unanswered:
    """An entry that could not be told."""

    vm: vms.Vm


def other_entries(state: node.NodeState) -> list[vms.Vm]:
    """Return the entries of the VM list but for this process."""
    return [
        vm
        for vm in state.listed
        if vm.role is vms.VmRole.entry and vm.name != state.identity.name
    ]


async def send_all(
    state: node.NodeState,
    receivers: list[vms.Vm],
    message_for: MessageSource,
) -> list[object]:
    """Send a message to each of several processes.

    :param state: The state of this process.
    :param receivers: The VMs.
    :param message_for: Returns the message for a VM.
    :returns: Their replies, and ``Unanswered`` for those without one.
    """
    slots = curio.Semaphore(CONCURRENT_CALLS)

    async def tell(vm: vms.Vm) -> object:
        async with slots:
            return await _call(state, vm, message_for(vm))

    group = curio.TaskGroup()
    async with group:
        for vm in receivers:
            await group.spawn(tell, vm)
    return list(group.results)


async def announce_presence(state: node.NodeState) -> None:
    """Tell all entries that this process is there, once the list is."""
    while not state.listed:
        await curio.sleep(LIST_INTERVAL_S)
    await send_all(
        state,
        other_entries(state),
        lambda _vm: peers.heartbeat(state),
    )


async def announce_leaving(
    state: node.NodeState,
    limit_s: float,
    named_s: peers.NamedSource = peers.never_named,
    *,
    last: bool = False,
) -> list[object]:
    """Tell all entries that this process shuts down.

    :param state: The state of this process.
    :param limit_s: How long this word counts.
    :param named_s: How long this process's directory answers that name a VM
        are in force.
    :param last: Whether this process answers no more callers.
    :returns: The replies, and ``Unanswered`` for those without one.
    """

    def message_for(vm: vms.Vm) -> object:
        return membership_messages.Leaving(
            state.identity.name,
            round(limit_s * _MS_IN_S),
            round(named_s(vm.name, clocks.monotonic_s()) * _MS_IN_S),
            last,
        )

    return await send_all(state, other_entries(state), message_for)


def named_deadline_s(
    state: node.NodeState,
    outcomes: list[object],
    lifetime_s: float,
) -> float:
    """Return until when a directory answer may name this process.

    An entry that does not reply may have named it just before, unless it
    said itself that it answers no more callers.

    :param state: The state of this process.
    :param outcomes: What ``announce_leaving`` returned.
    :param lifetime_s: How long callers may keep an answer.
    """
    now_s = clocks.monotonic_s()
    deadline_s = now_s
    for outcome in outcomes:
        if isinstance(outcome, membership_messages.LeavingReply):
            deadline_s = max(deadline_s, now_s + outcome.named_ms / _MS_IN_S)
        elif isinstance(outcome, Unanswered):
            row = state.members.row(outcome.vm.name)
            latest_s = now_s + lifetime_s
            if row.stopped_answering:
                latest_s = row.named_deadline_s
            deadline_s = max(deadline_s, latest_s)
    return deadline_s


async def _call(state: node.NodeState, vm: vms.Vm, message: object) -> object:
    try:
        return await peers.call(
            settings.split_address(vm.peers_address),
            state.link_context,
            message,
            CALL_LIMIT_S,
        )
    except links.LinkError as error:
        _LOG.debug('peer %s: %s', vm.name, error)
        return Unanswered(vm)
