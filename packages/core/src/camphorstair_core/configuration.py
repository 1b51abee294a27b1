"""The configuration in force at a process; its revision only rises."""

import attrs

from camphorstair_core import rule_reader, rules


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


@attrs.define
class ConfigurationHolder:
    """What is in force at a process.

    :ivar current: The configuration, or None before the first.
    :ivar rule_set: Its rules.
    :ivar refused: Why the last newer one was refused, else empty.
    """

    current: Configuration | None = None
    rule_set: rules.RuleSet = attrs.field(factory=rules.RuleSet)
    refused: str = ''

    def revision(self) -> int:
        """Return the revision in force, or 0."""
        return self.current.revision if self.current else 0


def offer(holder: ConfigurationHolder, offered: Configuration) -> bool:
    """Put a configuration in force if it is newer and has no fault.

    :param holder: What is in force.
    :param offered: The configuration that was received.
    :returns: Whether it was put in force.
    """
    if offered.revision <= holder.revision():
        return False
    rule_set, faults = rule_reader.parse(offered.text)
    if faults:
        holder.refused = f'revision {offered.revision}: {faults[0]}'
        return False
    holder.current = offered
    holder.rule_set = rule_set
    holder.refused = ''
    return True
