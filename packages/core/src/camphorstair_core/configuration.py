"""The configuration in force at a process.

The revision in force never decreases.
"""

import collections

import attrs

from camphorstair_core import changes, deltas, rule_reader, rules

RECENT_CHANGES = 32


@attrs.define(frozen=True)
class Configuration:
    """One accepted configuration.

    :ivar revision: Revision number, from 1; increases with each change.
    :ivar change_id: Identifier of the change that created the revision.
    :ivar text: The text of the rules file.
    """

    revision: int
    change_id: str
    text: str


def _new_recent() -> collections.deque[changes.Change]:
    return collections.deque(maxlen=RECENT_CHANGES)


@attrs.define
class ConfigurationHolder:
    """The configuration in force at a process, and its recent history.

    :ivar current: The configuration in force, or None before the first one.
    :ivar rule_set: The parsed rules of ``current``.
    :ivar refused: Why the last newer configuration was refused; empty if the
        last one was put in force.
    :ivar refused_change_id: Identifier of the change that was refused; else
        empty.
    :ivar recent: The latest changes up to ``current``, without a gap; at most
        ``RECENT_CHANGES``.
    """

    current: Configuration | None = None
    rule_set: rules.RuleSet = attrs.field(factory=rules.RuleSet)
    refused: str = ''
    refused_change_id: str = ''
    recent: collections.deque[changes.Change] = attrs.field(
        factory=_new_recent,
    )

    def revision(self) -> int:
        """Return the revision in force, or 0 if there is none."""
        return self.current.revision if self.current else 0


def apply_parsed(
    holder: ConfigurationHolder,
    offered: Configuration,
    parsed: rule_reader.ParsedRules,
    applied_changes: list[changes.Change] | None = None,
) -> bool:
    """Put a parsed configuration in force if it is newer and has no fault.

    A newer configuration with a fault is recorded as refused.

    :param holder: The configuration in force; updated in place.
    :param offered: The configuration that was received.
    :param parsed: The parsed text of ``offered``.
    :param applied_changes: The changes from the revision in force to
        ``offered``; None if ``offered`` was received as a whole copy, which
        clears the recent changes.
    :returns: Whether ``offered`` was put in force.
    """
    if offered.revision <= holder.revision():
        return False
    if parsed.faults:
        holder.refused = f'revision {offered.revision}: {parsed.faults[0]}'
        holder.refused_change_id = offered.change_id
        return False
    if applied_changes is None:
        holder.recent.clear()
    holder.recent.extend(applied_changes or [])
    holder.current = offered
    holder.rule_set = parsed.rule_set
    holder.refused = ''
    holder.refused_change_id = ''
    return True


def apply_if_newer(holder: ConfigurationHolder, offered: Configuration) -> bool:
    """Parse a configuration and put it in force if it is newer and valid.

    :param holder: The configuration in force; updated in place.
    :param offered: The configuration that was received, as a whole copy.
    :returns: Whether ``offered`` was put in force.
    """
    if not should_apply(holder, offered):
        return False
    return apply_parsed(holder, offered, rule_reader.read(offered.text))


def should_apply(holder: ConfigurationHolder, offered: Configuration) -> bool:
    """Return whether a configuration is newer and not the one last refused."""
    if offered.revision <= holder.revision():
        return False
    return (
        not holder.refused_change_id
        or offered.change_id != holder.refused_change_id
    )


def configuration_after(
    holder: ConfigurationHolder,
    newer: list[changes.Change],
) -> Configuration:
    """Return the configuration in force with changes applied to its text.

    The holder is not modified.

    :param holder: The configuration in force.
    :param newer: Changes above the revision in force, in order.
    :raises deltas.DeltaError: if the changes do not follow the revision in
        force without a gap; a whole copy is then needed.
    """
    if holder.current is None or not newer:
        raise deltas.DeltaError('no base revision or no changes to apply')
    text = changes.RulesText(holder.current.revision, holder.current.text)
    for change in newer:
        text = changes.advance(text, change)
    return Configuration(text.revision, newer[-1].change_id, text.rules)


def newer_changes(
    holder: ConfigurationHolder,
    offered: list[changes.Change],
) -> list[changes.Change]:
    """Return those of the changes that are above the revision in force."""
    return [change for change in offered if change.revision > holder.revision()]


def apply_changes(
    holder: ConfigurationHolder,
    offered: list[changes.Change],
) -> bool:
    """Apply changes and put the resulting configuration in force.

    :param holder: The configuration in force; updated in place.
    :param offered: Changes in the order of their revisions; those at or below
        the revision in force are ignored.
    :returns: Whether a configuration was put in force.
    :raises deltas.DeltaError: if the changes do not follow the revision in
        force without a gap; a whole copy is then needed.
    """
    newer = newer_changes(holder, offered)
    if not newer:
        return False
    changed = configuration_after(holder, newer)
    if not should_apply(holder, changed):
        return False
    return apply_parsed(holder, changed, rule_reader.read(changed.text), newer)


def changes_above(
    holder: ConfigurationHolder,
    revision: int,
) -> list[changes.Change] | None:
    """Return the changes from a revision to the one in force.

    :param holder: The configuration in force.
    :param revision: The revision that the receiver has.
    :returns: The changes, or None if some of them are no longer recorded and
        the receiver needs a whole copy.
    """
    newer = [change for change in holder.recent if change.revision > revision]
    if len(newer) != holder.revision() - revision:
        return None
    return newer
