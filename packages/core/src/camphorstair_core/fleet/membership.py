"""The entries that serve, and what the directory answers."""

import attrs

ANSWER_LIFE_S = 1


@attrs.frozen
class Member:
    """An entry that callers may use.

    :ivar name: The name of its VM.
    :ivar data_centre: Where it is.
    :ivar address: ``IP:port`` for callers.
    :ivar internal_address: ``IP:port`` for the other processes.
    """

    name: str
    data_centre: str
    address: str
    internal_address: str


@attrs.define
class Members:
    """The members that are known.

    :ivar present: The members by name.
    :ivar absent_deadline_s: For members whose entry lapsed around an outage
        of the store, when they count as gone.
    """

    present: dict[str, Member] = attrs.field(factory=dict)
    absent_deadline_s: dict[str, float] = attrs.field(factory=dict)


def join(members: Members, member: Member) -> None:
    """Note that an entry serves."""
    members.present[member.name] = member
    members.absent_deadline_s.pop(member.name, None)


def leave(members: Members, name: str, absent_deadline_s: float | None) -> None:
    """Note that an entry's key is gone.

    :param absent_deadline_s: Until when it may come back after an outage of
        the store; None if it has left.
    """
    if absent_deadline_s is None:
        members.present.pop(name, None)
        members.absent_deadline_s.pop(name, None)
    elif name in members.present:
        members.absent_deadline_s.setdefault(name, absent_deadline_s)


def expire(members: Members, now_s: float) -> None:
    """Remove the members that did not come back."""
    for name, deadline_s in list(members.absent_deadline_s.items()):
        if deadline_s <= now_s:
            leave(members, name, None)


def addresses(named: list[Member], data_centre: str) -> list[str]:
    """Return the addresses for a caller: those of its data centre first.

    :param named: The members that it is told of.
    :param data_centre: Where the caller is.
    """
    near = [one.address for one in named if one.data_centre == data_centre]
    far = [one.address for one in named if one.data_centre != data_centre]
    return near + far
