"""Apply a rules file and wait until all processes have it in force."""

import functools
import pathlib
from collections import abc

import attrs
import curio

from camphorstair import acceptance, operators, restoring, rules_file
from camphorstair_runtime import platform

MAX_ACCEPT_ATTEMPTS = 3
PROPAGATION_LIMIT_S = 15.0
PROPAGATION_INTERVAL_S = 0.2

PrintLines = abc.Callable[[list[str]], None]


@attrs.define
class ApplyProgress:
    """Which processes have a revision in force so far.

    :ivar revision: The revision that was accepted.
    :ivar answers: The latest answers of all processes.
    """

    revision: int
    answers: operators.StatusReplies

    def __str__(self) -> str:
        """Return the progress in one line."""
        outdated = self.answers.outdated(self.revision)
        total = len(self.answers.found)
        return (
            f'revision {self.revision}: {total - len(outdated)} of {total}'
            f' have it in force, {len(self.answers.silent)} do not answer'
        )


@attrs.define
class ApplyCallbacks:
    """Callbacks that report on a running apply.

    :ivar difference: Called with the changed lines before they are accepted.
    :ivar warning: Called with each warning for the operator.
    :ivar progress: Called after each poll of the processes.
    """

    difference: PrintLines
    warning: abc.Callable[[str], None]
    progress: abc.Callable[[ApplyProgress], None]


@attrs.define
class ApplyResult:
    """Result of an apply.

    :ivar revision: The accepted revision.
    :ivar outdated: Names of processes that answer with an older revision.
    :ivar silent: Names of processes that do not answer.
    :ivar changed: Whether the rules differed from those in force.
    """

    revision: int
    outdated: list[str]
    silent: list[str] = attrs.field(factory=list)
    changed: bool = True


@attrs.define
class ApplyRequest:
    """Parameters of one apply.

    :ivar fleet: How to reach the fleet.
    :ivar client: Client of the platform.
    :ivar reports: Callbacks for progress and warnings.
    :ivar text: The rules text to accept.
    :ivar base_revision: The revision that the text is based on, if known.
    """

    fleet: operators.Fleet
    client: platform.PlatformClient
    reports: ApplyCallbacks
    text: str
    base_revision: int | None


async def apply(
    fleet: operators.Fleet,
    path: pathlib.Path,
    reports: ApplyCallbacks,
    base_revision: int | None = None,
) -> ApplyResult:
    """Accept a rules file and wait until all processes have it in force.

    The wait is limited in time. The accepted revision is recorded beside the
    file.

    :param fleet: How to reach the fleet.
    :param path: The rules file.
    :param reports: Callbacks for progress and warnings.
    :param base_revision: The revision that the file is based on; by default
        the one recorded beside the file.
    :returns: The revision, and the processes that do not report it.
    :raises rules_file.RulesError: if the file has errors; nothing is changed.
    :raises acceptance.ConflictError: if another change was accepted first.
    :raises acceptance.UnknownOutcomeError: if it is unknown whether the
        change was accepted.
    :raises platform.PlatformError: if the platform can't be read; nothing
        is changed.
    """
    text = rules_file.read(path)
    if base_revision is None:
        base_revision = rules_file.read_base(path)
    client = fleet.client()
    revision, changed = await _accept(
        ApplyRequest(fleet, client, reports, text, base_revision),
    )
    await client.end_session()
    rules_file.write_base(path, revision)
    answers = await _wait_in_force(fleet, revision, reports)
    return ApplyResult(
        revision,
        answers.outdated(revision),
        answers.silent,
        changed,
    )


async def _accept(attempt: ApplyRequest) -> tuple[int, bool]:
    """Accept a text; return the revision and whether it is a new one."""
    client = attempt.client
    ask_highest = functools.partial(restoring.highest_in_force, attempt.fleet)
    revision = 0
    for _ in range(MAX_ACCEPT_ATTEMPTS):
        await client.begin_session()
        stored = await restoring.restore_newest(
            attempt.fleet,
            client,
            attempt.reports.warning,
        )
        revision = stored.found.revision()
        pending_change = acceptance.prepare(
            stored, attempt.text, restoring.author()
        )
        lines = pending_change.change.changed_lines()
        if not lines:
            return revision, False
        await _check_base(client, pending_change, attempt.base_revision)
        attempt.reports.difference(lines)
        if await acceptance.accept(client, pending_change, ask_highest):
            return pending_change.changed.revision, True
        # The write was certainly not applied. Retry only if the platform
        # still holds the same revision.
        attempt.base_revision = revision
    raise acceptance.ConflictError(
        revision, ['the platform accepted none of the attempts']
    )


async def _check_base(
    client: platform.PlatformClient,
    pending_change: acceptance.PendingChange,
    base_revision: int | None,
) -> None:
    """Refuse a change that is not based on the current revision.

    A change without a known base is refused only if it removes lines.

    :raises acceptance.ConflictError: if the change is refused.
    """
    revision = pending_change.stored.found.revision()
    if base_revision == revision:
        return
    if base_revision is not None:
        raise await acceptance.conflict(client, base_revision)
    removed = [
        line
        for line in pending_change.change.changed_lines()
        if line.startswith('-')
    ]
    if removed and pending_change.stored.current:
        raise acceptance.ConflictError(
            revision,
            [
                *removed,
                'it is unknown which revision the file is based on;',
                f'to remove these lines, apply with --base {revision}',
            ],
        )


async def _wait_in_force(
    fleet: operators.Fleet,
    revision: int,
    reports: ApplyCallbacks,
) -> operators.StatusReplies:
    """Wait until all processes that answer report a revision.

    Return the last complete answers, after ``PROPAGATION_LIMIT_S`` at the
    latest. Warn of each process that refused the configuration.
    """
    answers = operators.StatusReplies()
    async with curio.ignore_after(PROPAGATION_LIMIT_S):
        while True:
            answers = await operators.request_statuses(fleet)
            reports.progress(ApplyProgress(revision, answers))
            if not answers.outdated(revision):
                break
            await curio.sleep(PROPAGATION_INTERVAL_S)
    for refusal in answers.refusals():
        reports.warning(refusal)
    return answers
