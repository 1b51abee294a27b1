"""The entries that serve callers, and their addresses for the directory."""

import attrs

ANSWER_TTL_S = 1


@attrs.frozen
class Member:
    """An entry that callers may send requests to.

    :ivar name: The name of its VM.
    :ivar data_centre: The data centre of that VM.
    :ivar address: ``IP:port`` for callers.
    :ivar internal_address: ``IP:port`` for the fleet's own processes.
    """

    name: str
    data_centre: str
    address: str
    internal_address: str


@attrs.define
class Members:
    """The known members.

    :ivar present: The members by name.
    :ivar absent_deadline_s: The time at which a member is removed, by name,
        for members whose key expired around an outage of the store.
    :ivar changes: Number of members added, replaced or removed so far.
    """

    present: dict[str, Member] = attrs.field(factory=dict)
    absent_deadline_s: dict[str, float] = attrs.field(factory=dict)
    changes: int = 0


def join(members: Members, member: Member) -> None:
    """Add or update a member and cancel its pending removal."""
    if members.present.get(member.name) != member:
        members.changes += 1
    members.present[member.name] = member
    members.absent_deadline_s.pop(member.name, None)


def leave(members: Members, name: str, absent_deadline_s: float | None) -> None:
    """Remove a member whose key is gone, at once or at a deadline.

    A deadline that is already set stays as it is.

    :param members: The members to update.
    :param name: The name of the member.
    :param absent_deadline_s: Until when the member may register again after
        an outage of the store; None to remove it at once.
    """
    if absent_deadline_s is None:
        members.changes += name in members.present
        members.present.pop(name, None)
        members.absent_deadline_s.pop(name, None)
    elif name in members.present:
        members.absent_deadline_s.setdefault(name, absent_deadline_s)


def expire(members: Members, now_s: float) -> None:
    """Remove the members that did not register again by their deadline."""
    for name, deadline_s in list(members.absent_deadline_s.items()):
        if deadline_s <= now_s:
            leave(members, name, None)


def addresses(named: list[Member], data_centre: str) -> list[str]:
    """Return the members' addresses, those in the caller's data centre first.

    :param named: The members to list.
    :param data_centre: The data centre of the caller.
    """
    local = [
        member.address for member in named if member.data_centre == data_centre
    ]
    remote = [
        member.address for member in named if member.data_centre != data_centre
    ]
    return local + remote
