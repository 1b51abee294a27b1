"""Versions of the VM list and the changes between them."""

import collections
import hashlib

import attrs

from camphorstair_core import vms

RECENT_CHANGES = 32
DIGEST_BYTES = 8


@attrs.define(frozen=True)
class ListChange:
    """A change from one version of the VM list to the next.

    :ivar before: Digest of the version that the change applies to.
    :ivar after: Digest of the resulting version.
    :ivar removed: Names of the removed VMs.
    :ivar written: The added and modified VMs.
    """

    before: str
    after: str
    removed: list[str]
    written: list[vms.Vm]


def _new_recent() -> collections.deque[ListChange]:
    return collections.deque(maxlen=RECENT_CHANGES)


@attrs.define
class ListHolder:
    """A process's version of the VM list, and its recent changes.

    :ivar digest: Digest of the list; empty before the first list.
    :ivar rows: The VMs by name.
    :ivar recent: The latest changes up to this version; at most
        ``RECENT_CHANGES``.
    """

    digest: str = ''
    rows: dict[str, vms.Vm] = attrs.field(factory=dict)
    recent: collections.deque[ListChange] = attrs.field(factory=_new_recent)

    def listed(self) -> list[vms.Vm]:
        """Return the VMs on the list."""
        return list(self.rows.values())


def digest(rows: dict[str, vms.Vm]) -> str:
    """Return a digest of a list that does not depend on its order."""
    encoded = repr(sorted(map(repr, rows.values()))).encode()
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def replace(holder: ListHolder, listed: list[vms.Vm]) -> bool:
    """Replace the list, and record the change if there is one.

    :param holder: The list; updated in place.
    :param listed: The new list.
    :returns: Whether the new list differs from the old one.
    """
    rows = {vm.name: vm for vm in listed}
    if rows == holder.rows and holder.digest:
        return False
    after = digest(rows)
    change = ListChange(
        before=holder.digest,
        after=after,
        removed=[name for name in holder.rows if name not in rows],
        written=[vm for vm in listed if holder.rows.get(vm.name) != vm],
    )
    holder.recent.append(change)
    holder.digest = after
    holder.rows = rows
    return True


def changes_from(
    holder: ListHolder, known_digest: str
) -> list[ListChange] | None:
    """Return the changes from a version to the current one.

    :param holder: The current list and its recent changes.
    :param known_digest: Digest of the version that the receiver has; empty if
        it has none.
    :returns: The changes, or None if some of them are no longer recorded and
        the receiver needs the whole list.
    """
    if known_digest == holder.digest:
        return []
    if not known_digest:
        return None
    pending: list[ListChange] = []
    for change in reversed(holder.recent):
        pending.insert(0, change)
        if change.before == known_digest:
            return pending
    return None


def advance(holder: ListHolder, changes: list[ListChange]) -> bool:
    """Apply changes to the list if they yield the expected version.

    :param holder: The list; updated in place.
    :param changes: The changes, oldest first.
    :returns: Whether the digest of the resulting list is that of the last
        change; if not, the list is unchanged.
    """
    rows = dict(holder.rows)
    for change in changes:
        for name in change.removed:
            rows.pop(name, None)
        rows.update({vm.name: vm for vm in change.written})
    if not changes or digest(rows) != changes[-1].after:
        return False
    replace(holder, list(rows.values()))
    return True
