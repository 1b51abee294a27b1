"""Accepts a configuration in the platform's service, or says what came first.

All of it is one compare-and-swap on the revision read. An answer that is lost
is settled by reading back the change's identifier.
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

SETTLE_TRIES = 4
SETTLE_INTERVAL_S = 1.0


AskHighest = abc.Callable[[], abc.Awaitable[int]]


class Outcome(enum.StrEnum):
    """What is known of a write."""

    accepted = 'accepted'
    not_accepted = 'not accepted'
    unknown = 'unknown'


class AcceptanceError(Exception):
    """A change was not accepted, or that is not known."""


@attrs.define
class ConflictError(AcceptanceError):
    """Another change came between.

    :ivar revision: The revision in force.
    :ivar lines: The lines that the other changes removed and added.
    """

    revision: int
    lines: list[str]

    def __str__(self) -> str:
        """Return the conflict with the other's lines."""
        shown = [f'  {line}' for line in self.lines]
        head = f'conflict: revision {self.revision} has other lines:'
        return '\n'.join([head, *shown])


@attrs.define
class UnknownOutcomeError(AcceptanceError):
    """It can't be known now whether a change was accepted.

    :ivar change_id: Its identifier, to look for in the history.
    :ivar reason: Why it is not known.
    """

    change_id: str
    reason: str

    def __str__(self) -> str:
        """Return what is not known and how to find out."""
        return (
            f'outcome unknown: {self.reason}; once the platform answers,'
            f' "camphorstair history" shows change {self.change_id}'
            ' if it was accepted'
        )


@attrs.define(frozen=True)
class Plan:
    """A change that is not yet accepted.

    :ivar stored: What the platform held.
    :ivar changed: The new configuration.
    :ivar change: Its delta and audit entry.
    """

    stored: configuration_store.Stored
    changed: configuration.Configuration
    change: changes.Change


def prepare(
    stored: configuration_store.Stored,
    text: str,
    author: changes.Author,
) -> Plan:
    """Return the change that makes a text the next revision."""
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
    return Plan(stored, changed, change)


def prepare_repair(
    found: configuration_values.StoredHead,
    newest: configuration.Configuration,
    author: changes.Author,
) -> Plan:
    """Return the write that gives an older copy what is in force again.

    :param found: The head of the older copy; it may be corrupt.
    :param newest: The configuration in force at the processes.
    """
    change = changes.Change(
        revision=newest.revision,
        base_revision=found.revision(),
        change_id=newest.change_id,
        digest=deltas.digest(newest.text),
        edits=None,
        operator=author.operator,
        at_epoch_s=author.at_epoch_s,
        note='restored from a process: the platform held an older copy',
    )
    stored = configuration_store.Stored(None, found)
    return Plan(stored, newest, change)


async def accept(
    client: platform.PlatformClient,
    plan: Plan,
    ask_highest: AskHighest,
) -> bool:
    """Accept a change.

    The client's session must last since the head of the plan was read, so
    that the platform has not come back with an older copy in between.

    :param client: The platform.
    :param plan: The change.
    :param ask_highest: Asks the processes for the highest revision in force.
    :returns: Whether it was accepted; if not, it never will be.
    :raises UnknownOutcomeError: if it can't be known.
    :raises configuration_values.TooLargeError: if a value is too large.
    """
    try:
        return await configuration_store.write(
            client,
            plan.stored.found,
            plan.changed,
            plan.change,
        )
    except platform.PlatformError as failure:
        await client.end_session()
        if not failure.sent:
            return False
        return await _settle(client, plan, ask_highest, str(failure))


async def conflict(
    client: platform.PlatformClient,
    base_revision: int,
) -> ConflictError:
    """Return the conflict with all changes after a revision.

    :param base_revision: The revision that the own change was made from.
    """
    found = await configuration_store.read_head(client)
    try:
        others = await configuration_store.read_changes(
            client,
            base_revision,
            found.revision(),
        )
    except configuration_values.StoreError as fault:
        return ConflictError(found.revision(), [str(fault)])
    lines: list[str] = []
    for other in others:
        lines.append(f'revision {other.revision} by {other.operator}:')
        lines.extend(other.changed_lines())
    return ConflictError(found.revision(), lines)


async def _settle(
    client: platform.PlatformClient,
    plan: Plan,
    ask_highest: AskHighest,
    reason: str,
) -> bool:
    """Find out whether a write without an answer was done.

    :returns: Whether it was.
    :raises UnknownOutcomeError: if that can't be known.
    """
    outcome = Outcome.unknown
    for attempt in range(SETTLE_TRIES):
        if attempt:
            await curio.sleep(SETTLE_INTERVAL_S)
        try:
            outcome = await _read_back(client, plan, ask_highest)
        except (platform.PlatformError, configuration_values.StoreError):
            continue
        if outcome is not Outcome.unknown:
            return outcome is Outcome.accepted
    raise UnknownOutcomeError(plan.changed.change_id, reason)


async def _read_back(
    client: platform.PlatformClient,
    plan: Plan,
    ask_highest: AskHighest,
) -> Outcome:
    revision = plan.changed.revision
    found = await configuration_store.read_head(client)
    if found.head is not None and found.revision() >= revision:
        change = await configuration_store.read_change(client, revision)
        if change is None:
            return Outcome.unknown
        mine = change.change_id == plan.changed.change_id
        return Outcome.accepted if mine else Outcome.not_accepted
    if found != plan.stored.found:
        # The platform came back with a copy older than the one read.
        return Outcome.unknown
    # The write may still be on its way: a touched head keeps it out.
    if not await configuration_store.touch(client, found):
        return Outcome.unknown
    # It may have been done in what an older copy has replaced.
    if await ask_highest() >= revision:
        return Outcome.unknown
    return Outcome.not_accepted
