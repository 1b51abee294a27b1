"""Accepts a rules file and waits until all processes have it."""

import getpass
import pathlib
import time
from collections import abc

import attrs
import curio

from camphorstair import acceptance, operators, rules_file
from camphorstair_core import changes, configuration, messages
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    platform,
    vm_list,
)

COPY_LIMIT_S = 5.0
SPREAD_LIMIT_S = 15.0
SPREAD_INTERVAL_S = 0.2

Show = abc.Callable[[list[str]], None]


@attrs.define
class Progress:
    """Who has a revision so far."""

    revision: int
    answers: operators.Answers

    def __str__(self) -> str:
        """Return the progress in one line."""
        lacking = self.answers.lacking(self.revision)
        total = len(self.answers.found)
        return (
            f'revision {self.revision}: {total - len(lacking)} of {total}'
            f' have it, {len(self.answers.silent)} do not answer'
        )


@attrs.define
class Reports:
    """Where an apply reports to while it works.

    :ivar difference: Takes the lines that change, before they are accepted.
    :ivar warning: Takes what the operator should know.
    :ivar progress: Takes the progress of the spread.
    """

    difference: Show
    warning: abc.Callable[[str], None]
    progress: abc.Callable[[Progress], None]


@attrs.define
class Applied:
    """Outcome of an apply.

    :ivar revision: The revision in force.
    :ivar lacking: Names of processes that answer and have not reported it.
    :ivar silent: Names of processes that do not answer.
    :ivar changed: Whether the rules differed from those in force.
    """

    revision: int
    lacking: list[str]
    silent: list[str] = attrs.field(factory=list)
    changed: bool = True


async def apply(
    fleet: operators.Fleet,
    path: pathlib.Path,
    reports: Reports,
    base_revision: int | None = None,
) -> Applied:
    """Accept a rules file and wait until all processes have it.

    :param fleet: How to reach the fleet.
    :param path: The rules file.
    :param reports: Where to report to.
    :param base_revision: The revision that the file was made from; by
        default the one noted beside the file.
    :raises rules_file.RulesError: if the file has faults; nothing is changed.
    :raises acceptance.ConflictError: if another change came first.
    :raises acceptance.UnknownOutcomeError: if it is not known whether it is
        accepted.
    :raises platform.PlatformError: if the platform can't be read; nothing
        is changed.
    """
    text = rules_file.read(path)
    client = fleet.client()
    stored = await newest(fleet, client, reports)
    author = changes.Author(_operator_name(), time.time())
    plan = acceptance.prepare(stored, text, author)
    lines = plan.change.changed_lines()
    reports.difference(lines)
    if base_revision is None:
        base_revision = rules_file.noted_base(path)
    revision = stored.found.revision()
    if lines:
        await _refuse_stale(client, plan, base_revision)
        await acceptance.accept(client, plan)
        revision = plan.changed.revision
    rules_file.note_base(path, revision)
    answers = await _wait_spread(fleet, revision, reports)
    return Applied(
        revision,
        answers.lacking(revision),
        answers.silent,
        bool(lines),
    )


async def _refuse_stale(
    client: platform.PlatformClient,
    plan: acceptance.Plan,
    base_revision: int | None,
) -> None:
    """Refuse a file made from an older revision, or from an unknown one."""
    revision = plan.stored.found.revision()
    if base_revision == revision:
        return
    if base_revision is not None:
        raise await acceptance.conflict(client, base_revision)
    removed = [
        line for line in plan.change.changed_lines() if line.startswith('-')
    ]
    if removed and plan.stored.current:
        raise acceptance.ConflictError(
            revision,
            [
                *removed,
                'it is not known which revision the file was made from;',
                f'if all this shall go, apply with --base {revision}',
            ],
        )


async def newest(
    fleet: operators.Fleet,
    client: platform.PlatformClient,
    reports: Reports,
) -> configuration_store.Stored:
    """Return the newest configuration, and restore an older platform's copy.

    :raises configuration_values.StoreError: if the platform's copy is corrupt
        and no process has a newer one.
    """
    answers = await _ask_known(fleet, reports)
    highest = max((one.revision for one in answers.found), default=0)
    found = await _read_mod_revision(client)
    try:
        stored = await configuration_store.read(client)
    except configuration_values.StoreError as fault:
        reports.warning(f'the platform holds a corrupt copy: {fault}')
    else:
        if highest <= stored.found.revision():
            return stored
        found = stored.found
        reports.warning(
            f'the platform holds revision {found.revision()}, but {highest}'
            ' is in force: it came back with an older copy; restoring it',
        )
    in_force = await _copy(fleet, answers)
    return await _restore(client, found, in_force)


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
    author = changes.Author(_operator_name(), time.time())
    plan = acceptance.prepare_repair(found, in_force, author)
    await acceptance.accept(client, plan)
    return await configuration_store.read(client)


async def _ask_known(
    fleet: operators.Fleet, reports: Reports
) -> operators.Answers:
    answers = await operators.ask_all(fleet)
    if answers.silent and not answers.found:
        reports.warning(
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


async def _wait_spread(
    fleet: operators.Fleet,
    revision: int,
    reports: Reports,
) -> operators.Answers:
    answers = operators.Answers()
    async with curio.ignore_after(SPREAD_LIMIT_S):
        while True:
            answers = await operators.ask_all(fleet)
            reports.progress(Progress(revision, answers))
            if not answers.lacking(revision):
                break
            await curio.sleep(SPREAD_INTERVAL_S)
    for refusal in answers.refusals():
        reports.warning(refusal)
    return answers


def _operator_name() -> str:
    """Return the name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return 'unknown'
