"""Line-based deltas: computes the difference of two texts and applies it."""

import difflib
import hashlib

import attrs

MATCH_LIMIT_LINES = 2000
DIGEST_BYTES = 16


class DeltaError(Exception):
    """A delta does not match the text that it is applied to."""


@attrs.define(frozen=True)
class Edit:
    """Replacement of consecutive lines of a text.

    :ivar start: Index of the first replaced line in the old text, from 0.
    :ivar removed: The lines of the old text that are replaced.
    :ivar added: The lines that replace them.
    """

    start: int
    removed: list[str]
    added: list[str]

    def size_bytes(self) -> int:
        """Return the approximate encoded size of the edit.

        Counts one byte for each character and for each line end.
        """
        lines = [*self.removed, *self.added]
        return sum(map(len, lines)) + len(lines)


def digest(text: str) -> str:
    """Return a BLAKE2b digest of a text, as hexadecimal digits."""
    encoded = text.encode()
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def compute(old: str, new: str) -> list[Edit]:
    """Return the edits that turn one text into another, in line order.

    The common first and last lines are skipped. If more than twice
    ``MATCH_LIMIT_LINES`` lines remain in both texts together, they are not
    compared but replaced by a single edit, which is larger but correct.
    """
    before, after = old.split('\n'), new.split('\n')
    start = _common_prefix_length(before, after)
    removed, added = before[start:], after[start:]
    end = _common_prefix_length(list(reversed(removed)), list(reversed(added)))
    removed = removed[: len(removed) - end]
    added = added[: len(added) - end]
    if not removed and not added:
        return []
    if len(removed) + len(added) > 2 * MATCH_LIMIT_LINES:
        return [Edit(start, removed, added)]
    return _diff_blocks(start, removed, added)


def apply(text: str, edits: list[Edit]) -> str:
    """Return a text with edits applied.

    :param text: The text that the edits were computed from.
    :param edits: The edits, in line order.
    :raises DeltaError: if the edits overlap or a line to remove differs from
        the line in ``text``.
    """
    lines = text.split('\n')
    patched: list[str] = []
    position = 0
    for edit in edits:
        end = edit.start + len(edit.removed)
        if edit.start < position or lines[edit.start : end] != edit.removed:
            raise DeltaError(f'line {edit.start + 1} is not as expected')
        patched.extend(lines[position : edit.start])
        patched.extend(edit.added)
        position = end
    patched.extend(lines[position:])
    return '\n'.join(patched)


def changed_lines(edits: list[Edit]) -> list[str]:
    """Return removed lines prefixed with ``-`` and added ones with ``+``."""
    prefixed: list[str] = []
    for edit in edits:
        prefixed.extend(f'-{line}' for line in edit.removed)
        prefixed.extend(f'+{line}' for line in edit.added)
    return prefixed


def _common_prefix_length(before: list[str], after: list[str]) -> int:
    """Return the number of equal lines at the start of both lists."""
    count = 0
    for old, new in zip(before, after, strict=False):
        if old != new:
            break
        count += 1
    return count


def _diff_blocks(
    start: int, removed: list[str], added: list[str]
) -> list[Edit]:
    """Return the edits that turn one block of lines into another.

    :param start: Index of the first line of ``removed`` in the old text.
    :param removed: The block in the old text.
    :param added: The block in the new text.
    """
    matcher = difflib.SequenceMatcher(None, removed, added, autojunk=False)
    return [
        Edit(start + old, removed[old:old_end], added[new:new_end])
        for tag, old, old_end, new, new_end in matcher.get_opcodes()
        if tag != 'equal'
    ]
