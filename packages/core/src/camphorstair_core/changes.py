"""Records of accepted configuration changes.

A record is both the delta from the previous revision and an entry of the
audit trail.
"""

import attrs

from camphorstair_core import deltas, rule_lines

EDITS_LIMIT_BYTES = 65536
AUDIT_LIMIT_LINES = 200
REQUESTERS_LIMIT = 20


@attrs.define(frozen=True)
class Author:
    """The operator who made a change, and the time of the change.

    :ivar operator: The operator's name.
    :ivar at_epoch_s: Time of the change by the operator's clock, in seconds
        since the epoch.
    """

    operator: str
    at_epoch_s: float


@attrs.define(frozen=True)
class Change:
    """Record of one accepted change.

    :ivar revision: The revision that the change created.
    :ivar base_revision: The revision that the change was based on.
    :ivar change_id: Identifier of the change.
    :ivar digest: Digest of the rules at ``revision``.
    :ivar edits: The edits that turn the previous revision into this one;
        None if they are too large to store, or if ``base_revision`` is not
        the previous revision.
    :ivar operator: Name of the operator who made the change.
    :ivar at_epoch_s: Time of the change by the operator's clock, in seconds
        since the epoch.
    :ivar requesters: Who asked for the changed rules, by their comments; at
        most ``REQUESTERS_LIMIT``.
    :ivar lines: The first changed lines, each prefixed with ``-`` or ``+``;
        only set if ``edits`` is None, and then at most ``AUDIT_LIMIT_LINES``
        lines, each cut to ``AUDIT_LIMIT_LINES`` characters.
    :ivar omitted: Number of changed lines that are missing from ``lines``.
    :ivar note: The reason, if the system made the change; else empty.
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
        """Return the changed lines, each prefixed with ``-`` or ``+``."""
        if self.edits is None:
            return self.lines
        return deltas.changed_lines(self.edits)


@attrs.define(frozen=True)
class RulesText:
    """The rules file at one revision.

    :ivar revision: The revision.
    :ivar rules: The whole text of the rules file.
    """

    revision: int
    rules: str


def build_change(
    old: RulesText,
    new: RulesText,
    change_id: str,
    author: Author,
    note: str = '',
) -> Change:
    """Return the record of a change.

    :param old: The rules before the change.
    :param new: The rules after the change.
    :param change_id: Identifier of the change.
    :param author: The operator, and the time of the change.
    :param note: The reason, if the system made the change; else empty.
    """
    edits = deltas.compute(old.rules, new.rules)
    diff_lines = deltas.changed_lines(edits)
    size_bytes = sum(edit.size_bytes() for edit in edits)
    # A delta can only be applied to the immediately preceding revision.
    fits_limit = size_bytes <= EDITS_LIMIT_BYTES
    is_consecutive = new.revision == old.revision + 1
    stored_edits = edits if fits_limit and is_consecutive else None
    stored_lines = (
        diff_lines[:AUDIT_LIMIT_LINES] if stored_edits is None else []
    )
    return Change(
        revision=new.revision,
        base_revision=old.revision,
        change_id=change_id,
        digest=deltas.digest(new.rules),
        edits=stored_edits,
        operator=author.operator,
        at_epoch_s=author.at_epoch_s,
        requesters=_requesters(diff_lines),
        lines=[line[:AUDIT_LIMIT_LINES] for line in stored_lines],
        omitted=len(diff_lines) - len(stored_lines)
        if stored_edits is None
        else 0,
        note=note,
    )


def advance(text: RulesText, change: Change) -> RulesText:
    """Return the rules after a change.

    :param text: The rules at the revision that precedes the change.
    :param change: The change to apply.
    :raises deltas.DeltaError: if the change has no edits, does not follow
        ``text`` directly, does not match its lines, or yields a text with
        another digest.
    """
    if change.edits is None or change.revision != text.revision + 1:
        raise deltas.DeltaError(
            f'revision {change.revision} is no delta on {text.revision}',
        )
    rules = deltas.apply(text.rules, change.edits)
    if deltas.digest(rules) != change.digest:
        raise deltas.DeltaError(f'revision {change.revision}: wrong digest')
    return RulesText(change.revision, rules)


def _requesters(diff_lines: list[str]) -> list[str]:
    """Return who asked for the changed rules, each requester once."""
    requesters_seen: dict[str, None] = {}
    for line in diff_lines:
        requester = rule_lines.requester(line[1:])
        if requester:
            requesters_seen[requester] = None
        if len(requesters_seen) == REQUESTERS_LIMIT:
            break
    return list(requesters_seen)
