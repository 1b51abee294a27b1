"""Gives the platform back what is in force, if its copy is older."""

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

COPY_LIMIT_S = 5.0


async def newest(
    fleet: operators.Fleet,
    client: platform.PlatformClient,
    warn: abc.Callable[[str], None],
) -> configuration_store.Stored:
    """Return the newest configuration, and restore an older platform's copy.

    :raises configuration_values.StoreError: if the platform's copy is corrupt
        and no process has a newer one.
    """
    found = await _read_mod_revision(client)
    corrupt = ''
    stored = configuration_store.Stored(None, found)
    try:
        stored = await configuration_store.read(client)
    except configuration_values.StoreError as fault:
        corrupt = str(fault)
    # Asked after the read: what a process took before it is seen.
    answers = await _ask_known(fleet, warn)
    highest = answers.highest()
    if corrupt:
        warn(f'the platform holds a corrupt copy: {corrupt}')
    elif highest <= stored.found.revision():
        return stored
    else:
        warn(
            f'the platform holds revision {stored.found.revision()}, but'
            f' {highest} is in force: it came back with an older copy;'
            ' restoring it',
        )
    in_force = await _copy(fleet, answers)
    return await _restore(client, stored.found, in_force)


async def highest_in_force(fleet: operators.Fleet) -> int:
    """Return the highest revision in force at any process that answers."""
    return (await operators.ask_all(fleet)).highest()


async def _read_mod_revision(
    client: platform.PlatformClient,
) -> configuration_values.StoredHead:
    raw = await client.get(configuration_values.HEAD_KEY)
    return configuration_values.StoredHead(None, raw.mod_revision)


async def _restore(
    client: platform.PlatformClient,
    found: configuration_values.StoredHead,
    in_force: configuration.Configuration,
) -> configuration_store.Stored:
    plan = acceptance.prepare_repair(found, in_force, author())
    written = await configuration_store.write(
        client,
        found,
        plan.changed,
        plan.change,
    )
    if not written:
        raise await acceptance.conflict(client, found.revision())
    return await configuration_store.read(client)


async def _ask_known(
    fleet: operators.Fleet, warn: abc.Callable[[str], None]
) -> operators.Answers:
    answers = await operators.ask_all(fleet)
    if answers.silent and not answers.found:
        warn(
            'no process answers: an older copy at the platform'
            ' would not be noticed',
        )
    return answers


async def _copy(
    fleet: operators.Fleet,
    answers: operators.Answers,
) -> configuration.Configuration:
    """Return the highest configuration in force at any process.

    :raises configuration_values.StoreError: if no process has one.
    """
    listed = await vm_list.read(fleet.checked.platform.vm_list)
    by_name = {vm.name: vm for vm in listed}
    ordered = sorted(answers.found, key=lambda one: one.revision, reverse=True)
    for node in ordered:
        vm = by_name.get(node.node)
        if vm is None or not node.revision:
            continue
        request = messages.ConfigurationRequest(0)
        reply = await operators.call(fleet, vm, request, COPY_LIMIT_S)
        if isinstance(reply, messages.ConfigurationReply) and reply.text:
            return configuration.Configuration(
                reply.revision,
                reply.change_id,
                reply.text,
            )
    raise configuration_values.StoreError('no process has a newer copy')


def author() -> changes.Author:
    """Return who runs the command, and the time."""
    return changes.Author(_operator_name(), time.time())


def _operator_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return 'unknown'
