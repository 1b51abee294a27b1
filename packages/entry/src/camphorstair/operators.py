"""What operators do: apply rules, and ask all processes for their state."""

import pathlib
import uuid

import attrs
import curio

from camphorstair_core import configuration, messages, rule_reader, vms
from camphorstair_runtime import (
    configuration_store,
    links,
    peers,
    platform,
    settings,
    vm_list,
)

STATUS_LIMIT_S = 1.0
SPREAD_LIMIT_S = 5.0
SPREAD_INTERVAL_S = 0.2


@attrs.define
class Fleet:
    """How the command line reaches the fleet.

    :ivar checked: The settings of any entry.
    :ivar context: TLS context of links, or None.
    """

    checked: settings.EntrySettings
    context: object

    def client(self) -> platform.PlatformClient:
        """Return a client of the platform."""
        return platform.PlatformClient(self.checked.platform.key_value)


@attrs.define
class Applied:
    """Outcome of an apply.

    :ivar revision: The new revision.
    :ivar lacking: Names of processes that have not reported it.
    """

    revision: int
    lacking: list[str]


class ConflictError(Exception):
    """Another change came between reading and writing."""


class RulesError(Exception):
    """The rules have faults; the text has a line for each."""


async def statuses(fleet: Fleet) -> list[messages.NodeStatus]:
    """Ask every process of the VM list for its state."""
    listed = await vm_list.read(fleet.checked.platform.vm_list)
    group = curio.TaskGroup()
    async with group:
        for vm in listed:
            await group.spawn(_status, fleet, vm)
    return [found for found in group.results if found is not None]


async def _status(fleet: Fleet, vm: vms.Vm) -> messages.NodeStatus | None:
    try:
        reply = await peers.call(
            settings.split_address(vm.peers_address),
            fleet.context,
            messages.StatusRequest(),
            STATUS_LIMIT_S,
        )
    except links.LinkError:
        return None
    return reply if isinstance(reply, messages.NodeStatus) else None


async def apply(fleet: Fleet, path: pathlib.Path) -> Applied:
    """Accept a rules file and wait until all processes have it.

    :param fleet: How to reach the fleet.
    :param path: The rules file.
    :raises RulesError: if the file has faults; nothing is changed.
    :raises ConflictError: if another change came first.
    :raises platform.PlatformError: if it is not known whether it is accepted.
    """
    text = path.read_text(encoding='utf-8')
    faults = rule_reader.parse(text)[1]
    if faults:
        raise RulesError('\n'.join(f'{path}:{fault}' for fault in faults))
    client = fleet.client()
    stored = await configuration_store.read(client)
    revision = stored.current.revision + 1 if stored.current else 1
    changed = configuration.Configuration(revision, uuid.uuid4().hex, text)
    if not await configuration_store.write(client, stored, changed):
        raise ConflictError(f'revision {revision} was taken by another change')
    return Applied(revision, await _wait_spread(fleet, revision))


async def _wait_spread(fleet: Fleet, revision: int) -> list[str]:
    lacking: list[str] = []
    async with curio.ignore_after(SPREAD_LIMIT_S):
        while True:
            found = await statuses(fleet)
            lacking = [one.node for one in found if one.revision < revision]
            if not lacking:
                break
            await curio.sleep(SPREAD_INTERVAL_S)
    return lacking
