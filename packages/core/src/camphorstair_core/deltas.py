"""Differences between two texts, by lines, and their application."""

import difflib
import hashlib

import attrs

MATCH_LIMIT_LINES = 2000
DIGEST_BYTES = 16


class DeltaError(Exception):
    """A delta does not fit the text that it is applied to."""


@attrs.define(frozen=True)
class Edit:
    """Replaces lines of a text.

    :ivar start: Index of the first line replaced, in the old text, from 0.
    :ivar removed: The lines that go.
    :ivar added: The lines that come in their place.
    """

    start: int
    removed: list[str]
    added: list[str]

    def size_bytes(self) -> int:
        """Return about how much a copy of the edit takes."""
        lines = [*self.removed, *self.added]
        return sum(map(len, lines)) + len(lines)


def digest(text: str) -> str:
    """Return a short fingerprint of a text."""
    raw = text.encode()
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def compute(old: str, new: str) -> list[Edit]:
    """Return the edits that turn one text into another, first line first.

    Lines that both texts begin or end with are left aside before they are
    compared, and above a limit the rest is replaced as a whole: the edits are
    then larger, but still right.
    """
    before, after = old.split('\n'), new.split('\n')
    start = _common(before, after)
    removed, added = before[start:], after[start:]
    end = _common(list(reversed(removed)), list(reversed(added)))
    removed = removed[: len(removed) - end]
    added = added[: len(added) - end]
    if not removed and not added:
        return []
    if len(removed) + len(added) > 2 * MATCH_LIMIT_LINES:
        return [Edit(start, removed, added)]
    return _match(start, removed, added)


def apply(text: str, edits: list[Edit]) -> str:
    """Apply edits to a text.

    :raises DeltaError: if a line to remove is not there.
    """
    lines = text.split('\n')
    made: list[str] = []
    position = 0
    for edit in edits:
        end = edit.start + len(edit.removed)
        if edit.start < position or lines[edit.start : end] != edit.removed:
            raise DeltaError(f'line {edit.start + 1} is not as expected')
        made.extend(lines[position : edit.start])
        made.extend(edit.added)
        position = end
    made.extend(lines[position:])
    return '\n'.join(made)


def changed_lines(edits: list[Edit]) -> list[str]:
    """Return the lines that edits remove and add, marked by a sign."""
    marked: list[str] = []
    for edit in edits:
        marked.extend(f'-{line}' for line in edit.removed)
        marked.extend(f'+{line}' for line in edit.added)
    return marked


def _common(before: list[str], after: list[str]) -> int:
    count = 0
    for old, new in zip(before, after, strict=False):
        if old != new:
            break
        count += 1
    return count


def _match(start: int, removed: list[str], added: list[str]) -> list[Edit]:
    matcher = difflib.SequenceMatcher(None, removed, added, autojunk=False)
    return [
        Edit(start + old, removed[old:old_end], added[new:new_end])
        for tag, old, old_end, new, new_end in matcher.get_opcodes()
        if tag != 'equal'
    ]
