"""Decides which entries may use the idle slots of an engine.

An entry owns some slots of an engine. Its agent grants those that are idle to
entries that ask for one. A grant is for one request and lapses by itself; an
entry holds at most one grant of an engine.

The engine's report counts the requests of all entries but does not name them.
Therefore each request by which a report exceeds the one before is taken for the
oldest grant. If another entry has sent that request, the engine gets at most one
request too many for each grant in force.
"""

from collections import abc

import attrs

from camphorstair_core.fleet import placement

# Entries whose last grant is remembered. Usually 8 use an engine.
MAX_ENTRIES = 64


@attrs.frozen
class Asker:
    """An entry's request for a slot.

    :ivar entry: Name of the entry.
    :ivar number: Number of the request.
    :ivar tier: Tier of its most urgent waiting request; 0 is the most urgent.
    :ivar wanted: Number of its waiting requests.
    """

    entry: str
    number: int
    tier: int
    wanted: int


@attrs.frozen
class LastGrant:
    """The last grant of an entry.

    :ivar number: Number of the request that it was for.
    :ivar given_s: When it was given.
    """

    number: int
    given_s: float


@attrs.define(eq=False)
class SlotGrants:
    """The grants of one engine's slots.

    :ivar not_before_s: When the first grant may be given. An agent that starts
        does not know the grants of its earlier process, so it waits until they
        have lapsed.
    :ivar deadlines_s: When each grant in force lapses, by entry, oldest first.
    :ivar reported: Requests in the engine's last report.
    :ivar last: The last grant by entry, oldest first.
    """

    not_before_s: float
    deadlines_s: dict[str, float] = attrs.field(factory=dict)
    reported: int = 0
    last: dict[str, LastGrant] = attrs.field(factory=dict)


def start(now_s: float) -> SlotGrants:
    """Return the grants of an agent that starts now."""
    return SlotGrants(now_s + placement.GRANT_VALID_S)


def decide(
    grants: SlotGrants,
    askers: abc.Iterable[Asker],
    slots: int,
    requests: int,
    now_s: float,
) -> list[Asker]:
    """Grant idle slots, to the most urgent askers first.

    Among equally urgent ones, the entry goes first whose last grant is the
    longest ago, then the one with more waiting requests.

    :param grants: The grants so far, to which the new ones are added.
    :param askers: The requests to decide, at most one of an entry.
    :param slots: Slots of the engine.
    :param requests: Running and waiting requests in the engine's report, which
        must have been read after the requests for slots arrived.
    :param now_s: The current time.
    :returns: The requests that are granted.
    """
    _record_report(grants, requests, now_s)
    new = [asker for asker in askers if not _is_repeated(grants, asker)]
    for waiting_asker in new:
        # An entry asks again only if it holds no grant of this engine.
        grants.deadlines_s.pop(waiting_asker.entry, None)
    if now_s < grants.not_before_s:
        return []
    idle = max(0, slots - requests - len(grants.deadlines_s))
    granted = sorted(new, key=lambda asker: _rank(grants, asker))[:idle]
    for asker in granted:
        grants.deadlines_s[asker.entry] = now_s + placement.GRANT_VALID_S
        grants.last.pop(asker.entry, None)
        grants.last[asker.entry] = LastGrant(asker.number, now_s)
    while len(grants.last) > MAX_ENTRIES:
        grants.last.pop(next(iter(grants.last)))
    return granted


def _record_report(grants: SlotGrants, requests: int, now_s: float) -> None:
    """Remove the grants that have lapsed or that a report shows as used."""
    in_force = [
        entry
        for entry, deadline_s in grants.deadlines_s.items()
        if now_s < deadline_s
    ]
    used = max(0, requests - grants.reported)
    grants.reported = requests
    grants.deadlines_s = {
        entry: grants.deadlines_s[entry] for entry in in_force[used:]
    }


def _is_repeated(grants: SlotGrants, asker: Asker) -> bool:
    """Return whether the datagram of a granted request arrived again."""
    last = grants.last.get(asker.entry)
    return last is not None and last.number == asker.number


def _rank(grants: SlotGrants, asker: Asker) -> tuple[int, float, int]:
    last = grants.last.get(asker.entry)
    return asker.tier, last.given_s if last else 0, -asker.wanted
