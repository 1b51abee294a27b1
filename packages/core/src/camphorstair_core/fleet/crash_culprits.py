"""Finds the requests and the parts of prompts under which endpoints crash."""

import itertools
from collections import abc

import attrs

from camphorstair_core.fleet import (
    crash_incidents,
    crash_reports,
    suspect_kinds,
)

# Incidents in which a suspect must be suspected. A request needs only one if it
# was sent again, by an entry that knew of an earlier crash, and crashed another
# endpoint: endpoints that fail together do not fail one after the other under
# the same request.
MIN_INCIDENTS = 2


@attrs.frozen
class Culprit:
    """A suspect that was found to crash endpoints.

    :ivar suspect: Identifier of the request, the part or the order.
    :ivar sole: Whether nothing else explains the same incidents.
    """

    suspect: str
    sole: bool


def culprits(
    history: crash_reports.CrashHistory,
    popularity: abc.Callable[[str], int],
) -> list[Culprit]:
    """Return the suspects found to crash endpoints in the last incident.

    The suspect of most incidents explains those; another one is found only by
    incidents that remain. If a request explains as many as a part of its
    prompt, the request is found: it keeps the least from being served. Of those
    that still remain, the ones that were answered least are found.

    :param history: The crashes.
    :param popularity: Returns how often a suspect was answered.
    """
    found: list[Culprit] = []
    known = crash_incidents.incidents(history)
    unexplained = [
        crash_incidents.counted_suspects(history, incident)
        for incident in known
    ]
    repeated = _union(
        incident.repeated & suspected
        for incident, suspected in zip(known, unexplained, strict=True)
    )
    latest = unexplained[-1] if unexplained else set()
    while True:
        likely = _most_suspected(unexplained, repeated, popularity)
        if not likely:
            return found
        found.extend(
            Culprit(suspect, len(likely) == 1)
            for suspect in sorted(likely & latest)
        )
        unexplained = [
            suspected for suspected in unexplained if not suspected & likely
        ]


def _most_suspected(
    unexplained: list[set[str]],
    repeated: set[str],
    popularity: abc.Callable[[str], int],
) -> set[str]:
    """Return the suspects that explain the most incidents.

    :param unexplained: The suspects of each incident.
    :param repeated: Requests for which one incident is enough.
    :param popularity: Returns how often a suspect was answered.
    """
    counts: dict[str, int] = {}
    for named in itertools.chain.from_iterable(unexplained):
        counts[named] = counts.get(named, 0) + 1
    eligible = {
        suspect: count
        for suspect, count in counts.items()
        if count >= MIN_INCIDENTS or suspect in repeated
    }
    most = max(eligible.values(), default=0)
    likely = [suspect for suspect, count in eligible.items() if count == most]
    requests = [
        suspect for suspect in likely if suspect_kinds.is_request(suspect)
    ]
    likely = requests or likely
    fewest_answers = min(map(popularity, likely), default=0)
    return {
        suspect for suspect in likely if popularity(suspect) == fewest_answers
    }


def _union(groups: abc.Iterable[set[str]]) -> set[str]:
    return set(itertools.chain.from_iterable(groups))
