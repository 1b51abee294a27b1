"""Which entries use which endpoints, in a fleet of the target size.

Counts what the choice means for each side: how many endpoints an entry uses and
how many slots it owns, how many entries an endpoint tells its load, and how much
one entry that goes changes. The baseline is a fleet in which each entry uses all
endpoints.
"""

import statistics

import attrs

from camphorstair_core.fleet import membership, roster, subsetting, windows
from measures import fleet_overload, reports

SIZES = ((100, 197), (370, 600))
TARGET_SIZE = (370, 600)
DATA_CENTRES = 8
SLOTS = 6
# Changes and repetitions of an endpoint's load in a second.
REPORTS_PER_S = 3
BASELINE_REPORTS_PER_S = 10
COLD_PER_S = 15.0
COLD_FACTOR = 1.5
COLD_SLACK = 5.0


@attrs.frozen
class Fleet:
    """The serving entries of a fleet and their shares of its endpoints.

    :ivar names: The names of the serving entries.
    :ivar endpoints: The endpoints.
    :ivar shares: What each serving entry may use, by its name.
    """

    names: list[str]
    endpoints: list[roster.Registration]
    shares: dict[str, subsetting.SharesByEndpoint]


def measure(seed: int) -> reports.Report:
    """Measure the spread of the endpoints over the entries.

    :param seed: Varies the names, on which the choice depends.
    """
    report = reports.Report('fleet_subsets', seed, {})
    for entries, endpoints in SIZES:
        fleet = _make_fleet(seed, entries, endpoints)
        size = f'{entries}x{endpoints}'
        for name, figure in _figures(fleet).items():
            report.figures[f'{name}_{size}'] = figure
        for name, figure in _baseline(entries, endpoints).items():
            report.baseline[f'{name}_{size}'] = figure
    target = f'{TARGET_SIZE[0]}x{TARGET_SIZE[1]}'
    report.targets = [
        # The bound on requests to a cold endpoint, which must not be zero.
        reports.Target(
            f'cold_sum_per_s_{target}',
            at_most=COLD_PER_S * COLD_FACTOR + COLD_SLACK,
            at_least=1,
        ),
    ]
    return report


def _make_fleet(seed: int, entries: int, endpoints: int) -> Fleet:
    members = [
        membership.Member(
            f'front-{seed}-{number}', f'dc-{number % DATA_CENTRES}', '', ''
        )
        for number in range(entries)
    ]
    registrations = [
        attrs.evolve(
            fleet_overload.registration(number),
            endpoint=f'i-{seed}-{number}',
            slots=SLOTS,
        )
        for number in range(endpoints)
    ]
    serving = subsetting.serving_entries(members, SLOTS * endpoints)
    names = [member.name for member in serving]
    shares = {
        name: subsetting.shares(name, names, registrations) for name in names
    }
    return Fleet(names, registrations, shares)


def _figures(fleet: Fleet) -> dict[str, float]:
    used = [len(shares) for shares in fleet.shares.values()]
    owned = [
        sum(share.own_slots for share in shares.values())
        for shares in fleet.shares.values()
    ]
    endpoint_count = len(fleet.endpoints)
    told = sum(used) / endpoint_count
    return {
        'serving_entries': len(fleet.names),
        'used_endpoints_least': min(used),
        'used_endpoints_most': max(used),
        'owned_slots_mean': statistics.fmean(owned),
        'owned_slots_least': min(owned),
        'owned_slots_most': max(owned),
        'reports_per_s': REPORTS_PER_S * told * endpoint_count,
        'reports_per_s_and_entry': REPORTS_PER_S * statistics.fmean(used),
        'moved_share_when_one_goes': _moved_share(fleet),
        'cold_sum_per_s': sum(
            windows.cold_limit(
                COLD_PER_S, COLD_FACTOR, COLD_SLACK, len(fleet.names), place
            )
            for place in range(len(fleet.names))
        ),
    }


def _moved_share(fleet: Fleet) -> float:
    """Return the share of selections that change when an entry goes."""
    left = fleet.names[1:]
    moved = 0
    total = 0
    for endpoint in fleet.endpoints:
        before = subsetting.selected_entries(
            endpoint.endpoint, fleet.names, len(fleet.endpoints)
        )
        after = subsetting.selected_entries(
            endpoint.endpoint, left, len(fleet.endpoints)
        )
        moved += len(set(after) - set(before))
        total += len(before)
    return moved / total


def _baseline(entries: int, endpoints: int) -> dict[str, float]:
    """Return the figures of a fleet in which everybody uses everything."""
    cold_total = COLD_PER_S * COLD_FACTOR + COLD_SLACK
    return {
        'serving_entries': entries,
        'used_endpoints_most': endpoints,
        'owned_slots_mean': SLOTS * endpoints / entries,
        'reports_per_s': BASELINE_REPORTS_PER_S * endpoints * entries,
        'reports_per_s_and_entry': BASELINE_REPORTS_PER_S * endpoints,
        'cold_sum_per_s': entries * (cold_total // entries),
    }
