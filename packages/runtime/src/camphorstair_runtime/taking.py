"""Applies received configurations and VM lists to a process."""

import logging

import curio

from camphorstair_core import (
    changes,
    configuration,
    deltas,
    messages,
    rule_reader,
    vm_lists,
    vms,
)
from camphorstair_runtime import node

_LOG = logging.getLogger(__name__)


async def apply_configuration(
    state: node.NodeState,
    offered: configuration.Configuration,
    applied_changes: list[changes.Change] | None = None,
) -> bool:
    """Put a configuration in force if it is newer and valid.

    The rules are parsed in slices, between which other tasks run.

    :param state: The state of this process.
    :param offered: The configuration.
    :param applied_changes: The changes from the configuration in force to the
        offered one, if known.
    :returns: Whether the configuration was put in force.
    """
    holder = state.holder
    if not configuration.should_apply(holder, offered):
        return False
    base_revision = holder.revision()
    parsed = rule_reader.ParsedRules()
    for _ in rule_reader.parse_slices(offered.text, parsed):
        await curio.sleep(0)
    if holder.revision() != base_revision:
        applied_changes = None
    if configuration.apply_parsed(holder, offered, parsed, applied_changes):
        extra = {
            'revision': offered.revision,
            'change_id': offered.change_id,
        }
        _LOG.info('configuration in force', extra=extra)
        return True
    if holder.refused:
        _LOG.error('refused: %s', holder.refused)
    return False


async def apply_configuration_changes(
    state: node.NodeState,
    offered: list[changes.Change],
) -> bool:
    """Apply the changes that are newer than the revision in force.

    :param state: The state of this process.
    :param offered: The changes, in order of revision.
    :returns: Whether a newer configuration was put in force.
    :raises deltas.DeltaError: if the changes don't fit the configuration in
        force, so that the whole text is needed.
    """
    newer = configuration.newer_changes(state.holder, offered)
    if not newer:
        return False
    updated = configuration.configuration_after(state.holder, newer)
    return await apply_configuration(state, updated, newer)


async def apply_configuration_reply(
    state: node.NodeState,
    reply: messages.ConfigurationReply,
) -> bool:
    """Apply the configuration or the changes that a peer sent.

    :returns: Whether a newer configuration was put in force.
    :raises deltas.DeltaError: if the changes don't fit the configuration in
        force, so that the whole text is needed.
    """
    if reply.text is not None:
        offered = configuration.Configuration(
            reply.revision,
            reply.change_id,
            reply.text,
        )
        return await apply_configuration(state, offered)
    return await apply_configuration_changes(state, reply.deltas)


def apply_vm_list(state: node.NodeState, listed: list[vms.Vm]) -> bool:
    """Replace the VM list of this process.

    :returns: Whether the list differs from the previous one.
    """
    changed = vm_lists.replace(state.vm_list, listed)
    state.listed = state.vm_list.listed()
    return changed


def apply_vm_list_reply(
    state: node.NodeState,
    reply: messages.VmListReply,
) -> bool:
    """Apply the VM list or the changes that a peer sent.

    :returns: Whether the list was replaced by a different one, or changes
        were applied to it.
    :raises deltas.DeltaError: if the changes don't fit the list, so that the
        whole list is needed.
    """
    if reply.listed is not None:
        return apply_vm_list(state, reply.listed)
    if not reply.changes:
        return False
    if not vm_lists.advance(state.vm_list, reply.changes):
        raise deltas.DeltaError(
            f'VM list {reply.digest} does not follow from the current one'
        )
    state.listed = state.vm_list.listed()
    return True
