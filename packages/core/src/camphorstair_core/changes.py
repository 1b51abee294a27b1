"""Accepted changes of the configuration: deltas and audit trail in one."""

import attrs

from camphorstair_core import deltas, rule_lines

EDITS_LIMIT_BYTES = 65536
AUDIT_LIMIT_LINES = 200
REQUESTERS_LIMIT = 20


@attrs.define(frozen=True)
class Author:
    """Who made a change, and when.

    :ivar operator: The operator's name.
    :ivar at_epoch_s: Time by the operator's clock.
    """

    operator: str
    at_epoch_s: float


@attrs.define(frozen=True)
class Change:
    """One accepted change.

    :ivar revision: The revision that it made.
    :ivar base_revision: The revision that it was made from.
    :ivar change_id: Its identifier.
    :ivar digest: Fingerprint of the text that it made.
    :ivar edits: What it changed, or None if that is too large for a delta.
    :ivar operator: Who made it.
    :ivar at_epoch_s: When, by the operator's clock.
    :ivar requesters: Who asked for the lines changed.
    :ivar lines: The lines changed, if ``edits`` is None; a part of them.
    :ivar omitted: How many lines are not in ``lines``.
    :ivar note: Why it was made by the system, else empty.
    """

    revision: int
    base_revision: int
    change_id: str
    digest: str
    edits: list[deltas.Edit] | None
    operator: str = ''
    at_epoch_s: float = 0
    requesters: list[str] = attrs.field(factory=list)
    lines: list[str] = attrs.field(factory=list)
    omitted: int = 0
    note: str = ''

    def changed_lines(self) -> list[str]:
        """Return the lines changed, marked by a sign."""
        if self.edits is None:
            return self.lines
        return deltas.changed_lines(self.edits)


@attrs.define(frozen=True)
class Text:
    """The rules of one revision."""

    revision: int
    rules: str


def describe(
    old: Text,
    new: Text,
    change_id: str,
    author: Author,
    note: str = '',
) -> Change:
    """Return the record of a change.

    :param old: What it was made from.
    :param new: What it made.
    :param change_id: Its identifier.
    :param author: Who made it.
    :param note: Why the system made it, if it did.
    """
    edits = deltas.compute(old.rules, new.rules)
    marked = deltas.changed_lines(edits)
    size_bytes = sum(edit.size_bytes() for edit in edits)
    # A delta applies to the revision just before only.
    small = size_bytes <= EDITS_LIMIT_BYTES
    follows = new.revision == old.revision + 1
    kept = edits if small and follows else None
    shown = marked[:AUDIT_LIMIT_LINES] if kept is None else []
    return Change(
        revision=new.revision,
        base_revision=old.revision,
        change_id=change_id,
        digest=deltas.digest(new.rules),
        edits=kept,
        operator=author.operator,
        at_epoch_s=author.at_epoch_s,
        requesters=_requesters(marked),
        lines=[line[:AUDIT_LIMIT_LINES] for line in shown],
        omitted=len(marked) - len(shown) if kept is None else 0,
        note=note,
    )


def advance(text: Text, change: Change) -> Text:
    """Apply a change to the revision just before it.

    :raises deltas.DeltaError: if it does not fit or makes another text.
    """
    if change.edits is None or change.revision != text.revision + 1:
        raise deltas.DeltaError(
            f'revision {change.revision} is no delta on {text.revision}',
        )
    rules = deltas.apply(text.rules, change.edits)
    if deltas.digest(rules) != change.digest:
        raise deltas.DeltaError(f'revision {change.revision}: wrong digest')
    return Text(change.revision, rules)


def _requesters(marked: list[str]) -> list[str]:
    found: dict[str, None] = {}
    for line in marked:
        requester = rule_lines.requester(line[1:])
        if requester:
            found[requester] = None
        if len(found) == REQUESTERS_LIMIT:
            break
    return list(found)
