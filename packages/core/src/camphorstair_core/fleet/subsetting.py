"""Chooses the entries that serve callers, and the endpoints that each one uses.

The directory names only some entries of each data centre, so that each of them
holds a useful number of the endpoints' slots; the others stand by. Each
endpoint selects a few of the serving entries by rendezvous hashing. Those use
its slots and receive its load reports, so an endpoint's messages do not grow
with the number of entries, and an entry's do not grow with the number of
endpoints.

The choice depends only on the names of the entries and endpoints. An entry or
agent that lacks a recent change chooses almost the same, and one entry that
comes or goes moves only its own share of the endpoints.
"""

import math
from collections import abc

import attrs

from camphorstair_core import vms
from camphorstair_core.fleet import membership, roster

# Slots that a serving entry is responsible for, on average.
SLOTS_PER_ENTRY = 32
# A data centre still has serving entries if any two of its VMs fail.
MIN_SERVING_ENTRIES = 3
# Entries of a data centre that read from the store itself.
READERS_PER_DATA_CENTRE = 1
# Longest time until an entry notices that the one it follows has failed, and has
# read from the store itself.
READER_FAILURE_S = 2.7
# Entries that use one endpoint, and endpoints of a service that one entry uses
# at least, if there are so many.
ENTRIES_PER_ENDPOINT = 8
ENDPOINTS_PER_ENTRY = 24


@attrs.frozen
class SlotShare:
    """What one entry may use of an endpoint.

    :ivar own_slots: How many of the endpoint's slots the entry owns.
    :ivar place: The place of the entry among those that use the endpoint,
        starting at 0; None if the endpoint did not select it.
    :ivar users: Number of entries that use the endpoint.
    """

    own_slots: int
    place: int | None
    users: int


SharesByEndpoint = dict[str, SlotShare]


def serving_entries(
    members: abc.Iterable[membership.Member],
    slot_count: int,
) -> list[membership.Member]:
    """Return the entries that the directory names to callers.

    :param members: All entries.
    :param slot_count: Slots of all endpoints.
    """
    by_data_centre: dict[str, dict[str, membership.Member]] = {}
    for member in members:
        local = by_data_centre.setdefault(member.data_centre, {})
        local[member.name] = member
    wanted = math.ceil(
        slot_count / SLOTS_PER_ENTRY / max(1, len(by_data_centre))
    )
    count = max(MIN_SERVING_ENTRIES, wanted)
    return [
        local[name]
        for data_centre, local in sorted(by_data_centre.items())
        for name in vms.rendezvous(data_centre, list(local), count)
    ]


def readers(
    members: abc.Iterable[membership.Member],
    data_centre: str,
    apply_limit_s: float,
) -> list[membership.Member]:
    """Return the entries of a data centre that the others there follow.

    :param members: All entries.
    :param data_centre: The data centre.
    :param apply_limit_s: How soon a change must be in force.
    :returns: Empty if all have to read from the store itself, as the failure
        of a reader would delay changes for too long.
    """
    if apply_limit_s < READER_FAILURE_S:
        return []
    local = {
        member.name: member
        for member in members
        if member.data_centre == data_centre
    }
    names = vms.rendezvous(
        f'read {data_centre}', list(local), READERS_PER_DATA_CENTRE
    )
    return [local[name] for name in names]


def selected_entries(
    endpoint: str,
    entries: list[str],
    endpoint_count: int,
) -> list[str]:
    """Return the entries that use an endpoint, the same for every caller.

    :param endpoint: The identifier of the endpoint.
    :param entries: The names of the serving entries.
    :param endpoint_count: Number of endpoints of its service.
    """
    proportional = math.ceil(
        ENDPOINTS_PER_ENTRY * len(entries) / max(1, endpoint_count)
    )
    count = max(ENTRIES_PER_ENDPOINT, proportional)
    return vms.rendezvous(endpoint, entries, count)


def shares(
    entry: str,
    entries: list[str],
    endpoints: abc.Iterable[roster.Registration],
) -> SharesByEndpoint:
    """Return what an entry may use of the endpoints of one service.

    An entry that owns no slot, as one that stands by or has fewer slots than
    there are entries, may use all slots of all endpoints.

    :param entry: The name of the entry.
    :param entries: The names of the serving entries.
    :param endpoints: The endpoints of one service.
    """
    registrations = sorted(endpoints, key=_identifier)
    selected: SharesByEndpoint = {}
    for turn, registration in enumerate(registrations):
        names = selected_entries(
            registration.endpoint, entries, len(registrations)
        )
        if len(names) == len(entries):
            names = _rotated(sorted(names), turn)
        if entry in names:
            place = names.index(entry)
            owned = own_slots(registration.slots, place, len(names))
            selected[registration.endpoint] = SlotShare(
                owned, place, len(names)
            )
    if any(share.own_slots for share in selected.values()):
        return selected
    return {
        row.endpoint: SlotShare(
            row.slots, _place(selected, row.endpoint), len(entries)
        )
        for row in registrations
    }


def own_slots(slots: int, place: int, entries: int) -> int:
    """Return how many slots of an endpoint one entry owns.

    The shares of all entries add up to the endpoint's slots and differ by at
    most one.

    :param slots: Slots of the endpoint.
    :param place: The place of the entry among those that use the endpoint.
    :param entries: Number of entries that use it.
    """
    return slots * (place + 1) // entries - slots * place // entries


def _identifier(registration: roster.Registration) -> str:
    return registration.endpoint


def _rotated(names: list[str], turn: int) -> list[str]:
    """Return the names in turn, so that each owns as many slots as the next."""
    first = -turn % max(1, len(names))
    return names[first:] + names[:first]


def _place(selected: SharesByEndpoint, endpoint: str) -> int | None:
    share = selected.get(endpoint)
    return share.place if share else None
