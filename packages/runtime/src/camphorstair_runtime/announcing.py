"""Announces the start and the shutdown of this process to all entries."""

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
    """Result of a call to an entry that did not reply.

    :ivar vm: The VM of the entry.
    """

    vm: vms.Vm


def other_entries(state: node.NodeState) -> list[vms.Vm]:
    """Return all entries of the VM list except this process."""
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
    """Send a message to each of several processes, several at a time.

    :param state: The state of this process.
    :param receivers: The VMs of the processes.
    :param message_for: Returns the message for a given VM.
    :returns: The replies, with ``Unanswered`` in place of each missing one.
    """
    slots = curio.Semaphore(CONCURRENT_CALLS)

    async def send_one(vm: vms.Vm) -> object:
        async with slots:
            return await _call(state, vm, message_for(vm))

    group = curio.TaskGroup()
    async with group:
        for vm in receivers:
            await group.spawn(send_one, vm)
    return list(group.results)


async def announce_presence(state: node.NodeState) -> None:
    """Send a heartbeat to all other entries once the VM list is known."""
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
    named_s: peers.NamedTimeSource = peers.no_named_time,
    *,
    last: bool = False,
) -> list[object]:
    """Announce to all other entries that this process shuts down.

    :param state: The state of this process.
    :param limit_s: Time for which the receivers treat this process as
        shutting down.
    :param named_s: Returns the time for which callers may still use a
        directory answer of this process that names a given VM; callers find
        entries by such answers.
    :param last: Whether this process no longer answers callers.
    :returns: The replies, with ``Unanswered`` in place of each missing one.
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
    """Return when the last directory answer naming this process expires.

    Callers find entries by the directory answers of any entry. An entry that
    does not reply may have named this process just before the announcement,
    so the full lifetime of an answer is assumed for it. An entry that has
    announced that it no longer answers callers counts with the deadline that
    it announced.

    :param state: The state of this process.
    :param outcomes: The result of ``announce_leaving``.
    :param lifetime_s: Time for which callers may use a directory answer.
    :returns: A time on the monotonic clock.
    """
    now_s = clocks.monotonic_s()
    deadline_s = now_s
    for outcome in outcomes:
        if isinstance(outcome, membership_messages.LeavingReply):
            deadline_s = max(deadline_s, now_s + outcome.named_ms / _MS_IN_S)
        elif isinstance(outcome, Unanswered):
            member = state.members.row(outcome.vm.name)
            expiry_s = now_s + lifetime_s
            if member.stopped_answering:
                expiry_s = member.named_deadline_s
            deadline_s = max(deadline_s, expiry_s)
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
