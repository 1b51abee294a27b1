"""Failure detection among processes by heartbeats and gossip.

Each entry exchanges heartbeats with a few others. All entries are placed on a
ring, ordered by a hash of their names; an entry watches those at distances 1,
b and b*b after it, where b is the cube root of the number of entries. So each
entry is watched by as many others as it watches, for any list of entries.
Heartbeats also list the processes that are down; because of the long
distances, this information reaches all entries, even one to which the direct
announcement was lost.
"""

import attrs

from camphorstair_core import membership_messages, vms

HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 5.0
# How long a process counts as down once its heartbeat was found overdue.
DOWN_S = 15.0
# How many down processes a heartbeat lists at most.
MAX_DOWN_MEMBERS = 16
_RING_KEY = 'heartbeat'
_DISTANCE_COUNT = 3
_MS_IN_S = 1000


@attrs.define
class Member:
    """State of another process; deadlines are on the monotonic clock.

    :ivar name: Name of the process's VM.
    :ivar heartbeat_deadline_s: When its next heartbeat is overdue; 0 if none
        is expected yet.
    :ivar down_deadline_s: Until when the process counts as down.
    :ivar leaving_deadline_s: Until when its announcement that it shuts down
        is valid.
    :ivar named_deadline_s: Until when callers may use directory answers of that
        process that name the local one, as it announced.
    :ivar stopped_answering: Whether it announced that it answers no more
        callers.
    """

    name: str
    heartbeat_deadline_s: float = 0
    down_deadline_s: float = 0
    leaving_deadline_s: float = 0
    named_deadline_s: float = 0
    stopped_answering: bool = False


@attrs.define
class Members:
    """The known state of the other processes.

    :ivar rows: The state of each process, by the name of its VM.
    """

    rows: dict[str, Member] = attrs.field(factory=dict)

    def row(self, name: str) -> Member:
        """Return the state of a process; add an empty one if there is none."""
        return self.rows.setdefault(name, Member(name))

    def down(self, name: str, now_s: float) -> bool:
        """Return whether a process counts as down."""
        member = self.rows.get(name)
        return member is not None and now_s < member.down_deadline_s

    def leaving(self, name: str, now_s: float) -> bool:
        """Return whether a process announced that it shuts down."""
        member = self.rows.get(name)
        return member is not None and now_s < member.leaving_deadline_s


def watched(entries: list[str], own_name: str) -> list[str]:
    """Return the entries that an entry exchanges heartbeats with.

    :param entries: Names of all entries of the VM list.
    :param own_name: Name of the entry whose peers are returned.
    """
    ring = vms.rendezvous(
        _RING_KEY,
        sorted({*entries, own_name}),
        len(entries) + 1,
    )
    position = ring.index(own_name)
    base = max(2, round(len(ring) ** (1 / _DISTANCE_COUNT)))
    peers: dict[str, None] = {}
    for exponent in range(_DISTANCE_COUNT):
        peers[ring[(position + base**exponent) % len(ring)]] = None
    peers.pop(own_name, None)
    return list(peers)


def expect(members: Members, names: list[str], now_s: float) -> None:
    """Set the first heartbeat deadline of newly watched processes.

    :param members: The known state; updated in place.
    :param names: Names of the watched processes.
    :param now_s: The time on the monotonic clock.
    """
    for name in names:
        member = members.row(name)
        if not member.heartbeat_deadline_s:
            member.heartbeat_deadline_s = now_s + HEARTBEAT_TIMEOUT_S


def record_heartbeat(
    members: Members,
    heartbeat: membership_messages.Heartbeat,
    now_s: float,
) -> None:
    """Record a heartbeat and the down processes that it lists.

    Clears the sender's down state, and its leaving state unless the heartbeat
    repeats it.

    :param members: The known state; updated in place.
    :param heartbeat: The heartbeat or the reply to one.
    :param now_s: The time on the monotonic clock.
    """
    member = members.row(heartbeat.node)
    member.heartbeat_deadline_s = now_s + HEARTBEAT_TIMEOUT_S
    member.down_deadline_s = 0
    if not heartbeat.leaving:
        member.leaving_deadline_s = 0
        member.stopped_answering = False
    for down_member in heartbeat.down:
        _record_down(members, down_member, now_s)


def _record_down(
    members: Members,
    down_member: membership_messages.DownMember,
    now_s: float,
) -> None:
    """Mark a process as down, unless its own heartbeat is not yet overdue."""
    member = members.row(down_member.node)
    if now_s < member.heartbeat_deadline_s:
        return
    deadline_s = now_s + min(down_member.remaining_ms / _MS_IN_S, DOWN_S)
    member.down_deadline_s = max(member.down_deadline_s, deadline_s)


def record_leaving(
    members: Members,
    leaving: membership_messages.Leaving,
    now_s: float,
) -> None:
    """Record the announcement of a process that it shuts down.

    :param members: The known state; updated in place.
    :param leaving: The announcement.
    :param now_s: The time on the monotonic clock.
    """
    member = members.row(leaving.node)
    member.leaving_deadline_s = now_s + leaving.remaining_ms / _MS_IN_S
    member.named_deadline_s = now_s + leaving.named_ms / _MS_IN_S
    member.stopped_answering = leaving.last


def mark_missing(
    members: Members,
    names: list[str],
    now_s: float,
) -> list[str]:
    """Mark the watched processes whose heartbeat is overdue as down.

    :param members: The known state; updated in place.
    :param names: Names of the watched processes.
    :param now_s: The time on the monotonic clock.
    :returns: Names of the processes that did not count as down before.
    """
    newly_down = []
    for name in names:
        member = members.row(name)
        if now_s < member.heartbeat_deadline_s:
            continue
        if now_s >= member.down_deadline_s:
            newly_down.append(name)
        member.down_deadline_s = now_s + DOWN_S
    return newly_down


def down_members(
    members: Members,
    now_s: float,
) -> list[membership_messages.DownMember]:
    """Return the processes that are down, to be sent with heartbeats.

    :param members: The known state.
    :param now_s: The time on the monotonic clock.
    :returns: The processes with the latest deadlines, latest first.
    """
    down = [
        member
        for member in members.rows.values()
        if now_s < member.down_deadline_s
    ]
    down.sort(key=lambda member: member.down_deadline_s, reverse=True)
    return [
        membership_messages.DownMember(
            member.name,
            round((member.down_deadline_s - now_s) * _MS_IN_S),
        )
        for member in down[:MAX_DOWN_MEMBERS]
    ]


def remove_expired(members: Members, listed: set[str], now_s: float) -> None:
    """Remove unlisted processes whose deadlines have all passed.

    :param members: The known state; updated in place.
    :param listed: Names of the VMs on the VM list.
    :param now_s: The time on the monotonic clock.
    """
    for name in set(members.rows) - listed:
        member = members.rows[name]
        latest_s = max(
            member.down_deadline_s,
            member.leaving_deadline_s,
            member.named_deadline_s,
        )
        if now_s >= latest_s:
            members.rows.pop(name)
