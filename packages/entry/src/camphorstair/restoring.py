"""Restore the platform's configuration if it is older than the one in force."""

import getpass
import time
from collections import abc

from camphorstair import acceptance, operators
from camphorstair_core import changes, configuration, messages
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    platform,
    vm_list,
)

FETCH_LIMIT_S = 5.0


async def restore_newest(
    fleet: operators.Fleet,
    client: platform.PlatformClient,
    warn: abc.Callable[[str], None],
) -> configuration_store.Stored:
    """Return the newest configuration.

    If the platform's copy is corrupt or older than what a process has in
    force, restore it first.

    :param fleet: How to reach the fleet.
    :param client: Client of the platform, with a session.
    :param warn: Called with each warning for the operator.
    :raises configuration_values.StoreError: if the platform's copy is corrupt
        or outdated and no process provides a newer one.
    :raises acceptance.ConflictError: if another change was accepted first.
    """
    stored_head = await _read_mod_revision(client)
    corruption = ''
    stored = configuration_store.Stored(None, stored_head)
    try:
        stored = await configuration_store.read(client)
    except configuration_values.StoreError as fault:
        corruption = str(fault)
    # Ask after the read, so that the answers include every revision that a
    # process had in force before the read.
    answers = await _ask_processes(fleet, warn)
    highest = answers.highest()
    if corruption:
        warn(f'the platform holds a corrupt copy: {corruption}')
    elif highest <= stored.found.revision():
        return stored
    else:
        warn(
            f'the platform holds revision {stored.found.revision()}, but'
            f' {highest} is in force: it was restored from an older copy;'
            ' writing the newer one back',
        )
    in_force = await _fetch_newest(fleet, answers)
    return await _restore(client, stored.found, in_force)


async def highest_in_force(fleet: operators.Fleet) -> int:
    """Return the highest revision in force at any process that answers."""
    return (await operators.request_statuses(fleet)).highest()


async def _read_mod_revision(
    client: platform.PlatformClient,
) -> configuration_values.StoredHead:
    """Return a head with only the modification revision; don't decode it."""
    raw = await client.get(configuration_values.HEAD_KEY)
    return configuration_values.StoredHead(None, raw.mod_revision)


async def _restore(
    client: platform.PlatformClient,
    old_head: configuration_values.StoredHead,
    in_force: configuration.Configuration,
) -> configuration_store.Stored:
    """Replace the platform's copy by a configuration in force.

    :raises acceptance.ConflictError: if another change was accepted first.
    """
    pending_change = acceptance.prepare_repair(old_head, in_force, author())
    written = await configuration_store.write(
        client,
        old_head,
        pending_change.changed,
        pending_change.change,
    )
    if not written:
        raise await acceptance.conflict(client, old_head.revision())
    return await configuration_store.read(client)


async def _ask_processes(
    fleet: operators.Fleet, warn: abc.Callable[[str], None]
) -> operators.StatusReplies:
    """Ask all processes for their state; warn if none answers."""
    answers = await operators.request_statuses(fleet)
    if answers.silent and not answers.found:
        warn(
            'no process answers: an older copy at the platform'
            ' would not be detected',
        )
    return answers


async def _fetch_newest(
    fleet: operators.Fleet,
    answers: operators.StatusReplies,
) -> configuration.Configuration:
    """Return the newest configuration in force at any process.

    :raises configuration_values.StoreError: if no process provides one.
    """
    listed = await vm_list.read(fleet.checked.platform.vm_list)
    by_name = {vm.name: vm for vm in listed}
    newest_first = sorted(
        answers.found,
        key=lambda status: status.revision,
        reverse=True,
    )
    for node in newest_first:
        vm = by_name.get(node.node)
        if vm is None or not node.revision:
            continue
        request = messages.ConfigurationRequest(0)
        reply = await operators.call(fleet, vm, request, FETCH_LIMIT_S)
        if isinstance(reply, messages.ConfigurationReply) and reply.text:
            return configuration.Configuration(
                reply.revision,
                reply.change_id,
                reply.text,
            )
    raise configuration_values.StoreError(
        'no process provides a newer configuration'
    )


def author() -> changes.Author:
    """Return the operator who runs the command, and the current time."""
    return changes.Author(_operator_name(), time.time())


def _operator_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return 'unknown'
