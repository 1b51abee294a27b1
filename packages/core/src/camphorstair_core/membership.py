"""Which other processes are there: heartbeats, and what the others tell.

Each entry watches a few others. All entries stand on a ring in an order given
by a hash of their names; an entry watches those 1, b and b*b places after it,
with b the cube root of their number. So each is watched by as many as it
watches, whoever is on the list, and news reach all over these long steps even
if the direct announcement to a process is lost.
"""

import attrs

from camphorstair_core import membership_messages, vms

HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_LIMIT_S = 5.0
DOWN_S = 15.0
MAX_NEWS = 16
_RING_KEY = 'heartbeat'
_STEPS = 3
_MS_IN_S = 1000


@attrs.define
class Member:
    """What is known of another process.

    :ivar name: Name of its VM.
    :ivar heartbeat_deadline_s: When its next heartbeat has to be there.
    :ivar down_deadline_s: Until when it counts as down.
    :ivar leaving_deadline_s: Until when its word that it shuts down counts.
    :ivar named_deadline_s: Until when callers keep one of its directory
        answers that name this process, by its own word.
    :ivar last_word: Whether it said that it answers no more callers.
    """

    name: str
    heartbeat_deadline_s: float = 0
    down_deadline_s: float = 0
    leaving_deadline_s: float = 0
    named_deadline_s: float = 0
    last_word: bool = False


@attrs.define
class Members:
    """All processes of which something was heard, by name."""

    rows: dict[str, Member] = attrs.field(factory=dict)

    def row(self, name: str) -> Member:
        """Return the row of a process; a new one if nothing was heard."""
        return self.rows.setdefault(name, Member(name))

    def down(self, name: str, now_s: float) -> bool:
        """Tell whether a process counts as down."""
        row = self.rows.get(name)
        return row is not None and now_s < row.down_deadline_s

    def leaving(self, name: str, now_s: float) -> bool:
        """Tell whether a process said that it shuts down."""
        row = self.rows.get(name)
        return row is not None and now_s < row.leaving_deadline_s


def watched(entries: list[str], own_name: str) -> list[str]:
    """Return the entries that an entry exchanges heartbeats with.

    :param entries: Names of all entries of the VM list.
    :param own_name: The name of the entry that asks.
    """
    ring = vms.rendezvous(
        _RING_KEY,
        sorted({*entries, own_name}),
        len(entries) + 1,
    )
    place = ring.index(own_name)
    base = max(2, round(len(ring) ** (1 / _STEPS)))
    chosen: dict[str, None] = {}
    for power in range(_STEPS):
        chosen[ring[(place + base**power) % len(ring)]] = None
    chosen.pop(own_name, None)
    return list(chosen)


def expect(members: Members, names: list[str], now_s: float) -> None:
    """Begin to wait for the heartbeats of processes not yet waited for."""
    for name in names:
        row = members.row(name)
        if not row.heartbeat_deadline_s:
            row.heartbeat_deadline_s = now_s + HEARTBEAT_LIMIT_S


def note_heartbeat(
    members: Members,
    heartbeat: membership_messages.Heartbeat,
    now_s: float,
) -> None:
    """Keep what a process says of itself and of others."""
    row = members.row(heartbeat.node)
    row.heartbeat_deadline_s = now_s + HEARTBEAT_LIMIT_S
    row.down_deadline_s = 0
    if not heartbeat.leaving:
        row.leaving_deadline_s = 0
        row.last_word = False
    for news in heartbeat.down:
        _note_down(members, news, now_s)


def _note_down(
    members: Members,
    news: membership_messages.DownMember,
    now_s: float,
) -> None:
    row = members.row(news.node)
    if now_s < row.heartbeat_deadline_s:
        return
    deadline_s = now_s + min(news.remaining_ms / _MS_IN_S, DOWN_S)
    row.down_deadline_s = max(row.down_deadline_s, deadline_s)


def note_leaving(
    members: Members,
    leaving: membership_messages.Leaving,
    now_s: float,
) -> None:
    """Keep the word of a process that shuts down."""
    row = members.row(leaving.node)
    row.leaving_deadline_s = now_s + leaving.remaining_ms / _MS_IN_S
    row.named_deadline_s = now_s + leaving.named_ms / _MS_IN_S
    row.last_word = leaving.last


def mark_missing(
    members: Members,
    names: list[str],
    now_s: float,
) -> list[str]:
    """Mark the watched processes whose heartbeat is overdue.

    :param members: The table.
    :param names: Names of the watched processes.
    :param now_s: The time.
    :returns: Those that were not marked before.
    """
    found = []
    for name in names:
        row = members.row(name)
        if now_s < row.heartbeat_deadline_s:
            continue
        if now_s >= row.down_deadline_s:
            found.append(name)
        row.down_deadline_s = now_s + DOWN_S
    return found


def news(
    members: Members,
    now_s: float,
) -> list[membership_messages.DownMember]:
    """Return the marks to pass on, those that last longest first."""
    down = [row for row in members.rows.values() if now_s < row.down_deadline_s]
    down.sort(key=lambda row: row.down_deadline_s, reverse=True)
    return [
        membership_messages.DownMember(
            row.name,
            round((row.down_deadline_s - now_s) * _MS_IN_S),
        )
        for row in down[:MAX_NEWS]
    ]


def forget(members: Members, listed: set[str], now_s: float) -> None:
    """Remove rows that no list names and whose deadlines have passed."""
    for name in set(members.rows) - listed:
        row = members.rows[name]
        latest_s = max(
            row.down_deadline_s,
            row.leaving_deadline_s,
            row.named_deadline_s,
        )
        if now_s >= latest_s:
            members.rows.pop(name)
