"""Accepts a rules file and waits until all processes have it."""

import functools
import pathlib
from collections import abc

import attrs
import curio

from camphorstair import acceptance, operators, restoring, rules_file
from camphorstair_runtime import platform

ACCEPT_TRIES = 3
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


@attrs.define
class Attempt:
    """What an apply works with.

    :ivar base_revision: The revision that the text was made from, if known.
    """

    fleet: operators.Fleet
    client: platform.PlatformClient
    reports: Reports
    text: str
    base_revision: int | None


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
    if base_revision is None:
        base_revision = rules_file.noted_base(path)
    client = fleet.client()
    revision, changed = await _accept(
        Attempt(fleet, client, reports, text, base_revision),
    )
    await client.end_session()
    rules_file.note_base(path, revision)
    answers = await _wait_spread(fleet, revision, reports)
    return Applied(
        revision,
        answers.lacking(revision),
        answers.silent,
        changed,
    )


async def _accept(attempt: Attempt) -> tuple[int, bool]:
    """Accept a text; the revision in force and whether it is a new one."""
    client = attempt.client
    ask = functools.partial(restoring.highest_in_force, attempt.fleet)
    revision = 0
    for _ in range(ACCEPT_TRIES):
        await client.begin_session()
        stored = await restoring.newest(
            attempt.fleet,
            client,
            attempt.reports.warning,
        )
        revision = stored.found.revision()
        plan = acceptance.prepare(stored, attempt.text, restoring.author())
        lines = plan.change.changed_lines()
        if not lines:
            return revision, False
        await _refuse_stale(client, plan, attempt.base_revision)
        attempt.reports.difference(lines)
        if await acceptance.accept(client, plan, ask):
            return plan.changed.revision, True
        # Certainly not done: only the same base is tried again.
        attempt.base_revision = revision
    raise acceptance.ConflictError(revision, ['the platform is busy'])


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
