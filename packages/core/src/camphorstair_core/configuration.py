"""The configuration in force at a process; its revision only rises."""

import collections

import attrs

from camphorstair_core import changes, deltas, rule_reader, rules

RECENT_CHANGES = 32


@attrs.define(frozen=True)
class Configuration:
    """One accepted configuration.

    :ivar revision: Its number, from 1; it rises with each change.
    :ivar change_id: Identifier of the change that made it.
    :ivar text: The rules file.
    """

    revision: int
    change_id: str
    text: str


def _new_recent() -> collections.deque[changes.Change]:
    return collections.deque(maxlen=RECENT_CHANGES)


@attrs.define
class ConfigurationHolder:
    """What is in force at a process.

    :ivar current: The configuration, or None before the first.
    :ivar rule_set: Its rules.
    :ivar refused: Why the last newer one was refused, else empty.
    :ivar refused_id: Identifier of the change refused, else empty.
    :ivar recent: The changes that led to the current one without a gap.
    """

    current: Configuration | None = None
    rule_set: rules.RuleSet = attrs.field(factory=rules.RuleSet)
    refused: str = ''
    refused_id: str = ''
    recent: collections.deque[changes.Change] = attrs.field(
        factory=_new_recent,
    )

    def revision(self) -> int:
        """Return the revision in force, or 0."""
        return self.current.revision if self.current else 0


def admit(
    holder: ConfigurationHolder,
    offered: Configuration,
    reading: rule_reader.Reading,
    led_by: list[changes.Change] | None = None,
) -> bool:
    """Put a configuration that was read in force if it may be.

    :param holder: What is in force.
    :param offered: The configuration that was received.
    :param reading: What its text says.
    :param led_by: The changes that led to it from the revision in force;
        None for a whole copy.
    :returns: Whether it was put in force.
    """
    if offered.revision <= holder.revision():
        return False
    if reading.faults:
        holder.refused = f'revision {offered.revision}: {reading.faults[0]}'
        holder.refused_id = offered.change_id
        return False
    if led_by is None:
        holder.recent.clear()
    holder.recent.extend(led_by or [])
    holder.current = offered
    holder.rule_set = reading.rule_set
    holder.refused = ''
    holder.refused_id = ''
    return True


def offer(holder: ConfigurationHolder, offered: Configuration) -> bool:
    """Put a configuration in force if it is newer and has no fault.

    :param holder: What is in force.
    :param offered: The configuration that was received.
    :returns: Whether it was put in force.
    """
    if not wanted(holder, offered):
        return False
    return admit(holder, offered, rule_reader.read(offered.text))


def wanted(holder: ConfigurationHolder, offered: Configuration) -> bool:
    """Tell whether a configuration is newer and was not refused before."""
    if offered.revision <= holder.revision():
        return False
    return not holder.refused_id or offered.change_id != holder.refused_id


def advanced(
    holder: ConfigurationHolder,
    newer: list[changes.Change],
) -> Configuration:
    """Return what changes make of the configuration in force.

    :param newer: Changes above the revision in force, in order.
    :raises deltas.DeltaError: if they do not lead on from it; a whole copy
        is needed.
    """
    if holder.current is None or not newer:
        raise deltas.DeltaError('no revision that a delta could apply to')
    text = changes.Text(holder.current.revision, holder.current.text)
    for change in newer:
        text = changes.advance(text, change)
    return Configuration(text.revision, newer[-1].change_id, text.rules)


def newer_changes(
    holder: ConfigurationHolder,
    offered: list[changes.Change],
) -> list[changes.Change]:
    """Return the changes above the revision in force."""
    return [one for one in offered if one.revision > holder.revision()]


def offer_changes(
    holder: ConfigurationHolder,
    offered: list[changes.Change],
) -> bool:
    """Put the changes that follow the current revision in force.

    :param holder: What is in force.
    :param offered: Changes in the order of their revisions; those not newer
        are passed over.
    :returns: Whether anything was put in force.
    :raises deltas.DeltaError: if they do not lead on from the current
        revision; a whole copy is needed.
    """
    newer = newer_changes(holder, offered)
    if not newer:
        return False
    changed = advanced(holder, newer)
    if not wanted(holder, changed):
        return False
    return admit(holder, changed, rule_reader.read(changed.text), newer)


def changes_above(
    holder: ConfigurationHolder,
    revision: int,
) -> list[changes.Change] | None:
    """Return the changes from a revision to the one in force.

    :returns: The changes, or None if a whole copy is needed.
    """
    found = [one for one in holder.recent if one.revision > revision]
    if len(found) != holder.revision() - revision:
        return None
    return found
