"""Versions of the VM list, and the differences between them."""

import collections
import hashlib

import attrs

from camphorstair_core import vms

RECENT_CHANGES = 32
DIGEST_BYTES = 8


@attrs.define(frozen=True)
class ListChange:
    """Leads from one version of the list to the next.

    :ivar before: Fingerprint of the version that it applies to.
    :ivar after: Fingerprint of the version that it makes.
    :ivar removed: Names of the VMs that go.
    :ivar written: The VMs that come or change.
    """

    before: str
    after: str
    removed: list[str]
    written: list[vms.Vm]


def _new_recent() -> collections.deque[ListChange]:
    return collections.deque(maxlen=RECENT_CHANGES)


@attrs.define
class ListHolder:
    """The list as a process knows it.

    :ivar digest: Its fingerprint; empty before the first.
    :ivar rows: The VMs by name.
    :ivar recent: The changes that led to it.
    """

    digest: str = ''
    rows: dict[str, vms.Vm] = attrs.field(factory=dict)
    recent: collections.deque[ListChange] = attrs.field(factory=_new_recent)

    def listed(self) -> list[vms.Vm]:
        """Return the VMs."""
        return list(self.rows.values())


def digest(rows: dict[str, vms.Vm]) -> str:
    """Return the fingerprint of a list, whatever its order."""
    raw = repr(sorted(map(repr, rows.values()))).encode()
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def replace(holder: ListHolder, listed: list[vms.Vm]) -> bool:
    """Take a whole list over.

    :returns: Whether it differs.
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


def changes_from(holder: ListHolder, known: str) -> list[ListChange] | None:
    """Return the changes from a version to the present one.

    :param known: Fingerprint of the version.
    :returns: The changes, or None if a whole list is needed.
    """
    if known == holder.digest:
        return []
    if not known:
        return None
    found: list[ListChange] = []
    for change in reversed(holder.recent):
        found.insert(0, change)
        if change.before == known:
            return found
    return None


def advance(holder: ListHolder, changes: list[ListChange]) -> bool:
    """Apply changes.

    :returns: Whether they led to the version that they name; if not, the
        list is as before.
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
