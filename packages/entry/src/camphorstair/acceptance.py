"""Write a new configuration to the platform's key-value service.

The head is the key whose value describes the newest revision. A write is one
compare-and-swap on the head that was read before. If its reply is lost, the
outcome is determined by reading the change back and comparing its identifier.
"""

import enum
import uuid
from collections import abc

import attrs
import curio

from camphorstair_core import changes, configuration, deltas
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    platform,
)

READ_BACK_ATTEMPTS = 4
READ_BACK_INTERVAL_S = 1.0


FetchHighestRevision = abc.Callable[[], abc.Awaitable[int]]


class Outcome(enum.StrEnum):
    """What is known about the result of a write."""

    accepted = 'accepted'
    not_accepted = 'not accepted'
    unknown = 'unknown'


class AcceptanceError(Exception):
    """A change was not accepted, or its outcome is unknown."""


@attrs.define
class ConflictError(AcceptanceError):
    """Another change was accepted first.

    :ivar revision: The revision that the platform holds.
    :ivar lines: The lines that the other changes removed and added.
    """

    revision: int
    lines: list[str]

    def __str__(self) -> str:
        """Return the conflict and the lines of the other changes."""
        indented = [f'  {line}' for line in self.lines]
        heading = f'conflict: revision {self.revision} has other lines:'
        return '\n'.join([heading, *indented])


@attrs.define
class UnknownOutcomeError(AcceptanceError):
    """The outcome of a change can't be determined at the moment.

    :ivar change_id: Identifier of the change, to look up in the history.
    :ivar reason: Why the outcome is unknown.
    """

    change_id: str
    reason: str

    def __str__(self) -> str:
        """Return the reason and how to find out the outcome later."""
        return (
            f'outcome unknown: {self.reason}; once the platform answers,'
            f' "camphorstair history" shows change {self.change_id}'
            ' if it was accepted'
        )


@attrs.define(frozen=True)
class PendingChange:
    """A prepared change that is not accepted yet.

    :ivar stored: The head and the configuration that the platform held.
    :ivar changed: The new configuration.
    :ivar change: Delta and audit entry of the new configuration.
    """

    stored: configuration_store.Stored
    changed: configuration.Configuration
    change: changes.Change


def prepare(
    stored: configuration_store.Stored,
    text: str,
    author: changes.Author,
) -> PendingChange:
    """Return the change that makes a rules text the next revision."""
    old = stored.current or configuration.Configuration(0, '', '')
    changed = configuration.Configuration(
        old.revision + 1,
        uuid.uuid4().hex,
        text,
    )
    change = changes.build_change(
        changes.RulesText(old.revision, old.text),
        changes.RulesText(changed.revision, text),
        changed.change_id,
        author,
    )
    return PendingChange(stored, changed, change)


def prepare_repair(
    old_head: configuration_values.StoredHead,
    newest: configuration.Configuration,
    author: changes.Author,
) -> PendingChange:
    """Return the change that replaces an outdated copy at the platform.

    :param old_head: The head of the outdated copy; it may be corrupt.
    :param newest: The configuration in force at the processes.
    :param author: The operator and the time, for the audit entry.
    """
    change = changes.Change(
        revision=newest.revision,
        base_revision=old_head.revision(),
        change_id=newest.change_id,
        digest=deltas.digest(newest.text),
        edits=None,
        operator=author.operator,
        at_epoch_s=author.at_epoch_s,
        note='restored from a process: the platform held an older copy',
    )
    stored = configuration_store.Stored(None, old_head)
    return PendingChange(stored, newest, change)


async def accept(
    client: platform.PlatformClient,
    pending_change: PendingChange,
    ask_highest: FetchHighestRevision,
) -> bool:
    """Write a prepared change to the platform and determine the outcome.

    The client must use the same session as when the head was read. This
    ensures that the platform was not restored from an older copy in between.

    :param client: Client of the platform.
    :param pending_change: The prepared change.
    :param ask_highest: Returns the highest revision in force at any process.
    :returns: Whether the change was accepted; if not, it never will be.
    :raises UnknownOutcomeError: if the outcome can't be determined.
    :raises configuration_values.TooLargeError: if a value is too large.
    """
    try:
        return await configuration_store.write(
            client,
            pending_change.stored.found,
            pending_change.changed,
            pending_change.change,
        )
    except platform.PlatformError as failure:
        await client.end_session()
        if not failure.sent:
            return False
        return await _determine_outcome(
            client, pending_change, ask_highest, str(failure)
        )


async def conflict(
    client: platform.PlatformClient,
    base_revision: int,
) -> ConflictError:
    """Return an error that lists all changes after a revision.

    :param client: Client of the platform.
    :param base_revision: The revision that the rejected change is based on.
    """
    stored_head = await configuration_store.read_head(client)
    try:
        later_changes = await configuration_store.read_changes(
            client,
            base_revision,
            stored_head.revision(),
        )
    except configuration_values.StoreError as fault:
        return ConflictError(stored_head.revision(), [str(fault)])
    lines: list[str] = []
    for change in later_changes:
        lines.append(f'revision {change.revision} by {change.operator}:')
        lines.extend(change.changed_lines())
    return ConflictError(stored_head.revision(), lines)


async def _determine_outcome(
    client: platform.PlatformClient,
    pending_change: PendingChange,
    ask_highest: FetchHighestRevision,
    reason: str,
) -> bool:
    """Determine whether a write without a reply was applied.

    :returns: Whether it was applied.
    :raises UnknownOutcomeError: if this can't be determined.
    """
    outcome = Outcome.unknown
    for attempt in range(READ_BACK_ATTEMPTS):
        if attempt:
            await curio.sleep(READ_BACK_INTERVAL_S)
        try:
            outcome = await _read_back(client, pending_change, ask_highest)
        except (platform.PlatformError, configuration_values.StoreError):
            continue
        if outcome is not Outcome.unknown:
            return outcome is Outcome.accepted
    raise UnknownOutcomeError(pending_change.changed.change_id, reason)


async def _read_back(
    client: platform.PlatformClient,
    pending_change: PendingChange,
    ask_highest: FetchHighestRevision,
) -> Outcome:
    """Determine the outcome of a write from what the platform holds now.

    If the head is unchanged, write it again with the same value, so that the
    earlier write can't be applied later.
    """
    revision = pending_change.changed.revision
    stored_head = await configuration_store.read_head(client)
    if stored_head.head is not None and stored_head.revision() >= revision:
        change = await configuration_store.read_change(client, revision)
        if change is None:
            return Outcome.unknown
        is_own = change.change_id == pending_change.changed.change_id
        return Outcome.accepted if is_own else Outcome.not_accepted
    if stored_head != pending_change.stored.found:
        # The platform was restored from a copy older than the one read.
        return Outcome.unknown
    # The write may still be in transit. Touching the head changes its
    # modification revision, so that the compare-and-swap fails.
    if not await configuration_store.touch(client, stored_head):
        return Outcome.unknown
    # The write may have been applied before the platform was restored from
    # an older copy; then a process may have it in force.
    if await ask_highest() >= revision:
        return Outcome.unknown
    return Outcome.not_accepted
