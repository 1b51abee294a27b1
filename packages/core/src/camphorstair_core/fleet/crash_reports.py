"""Finds the parts of prompts under which engines crash.

A part of a prompt may crash each engine that begins to answer it. Such a
request must not be sent to one engine after the other. Several requests run on
an engine when it crashes, and each entry knows only its own, so the entries
report to each other which parts were in the prompts that had no answer yet.

A part is suspected while no entry has seen an answer to it. Parts that other
prompts share, as a common first part, are soon cleared: an entry that has
answered them says so. A part that stays suspected in several incidents is
found to crash engines.
"""

import itertools
from collections import abc

import attrs

from camphorstair_core.fleet import answered_parts

# Crashes within this time count as one incident: a rack or a group that fails
# as a whole says little about the prompts there.
INCIDENT_S = 1.0
# Incidents in which a part must be suspected.
MIN_INCIDENTS = 2
# Incidents since the last answer to a part up to which it counts as answered: a
# new version of the weights may crash on what was answered before.
MAX_INCIDENTS_SINCE_ANSWER = 2
# Reports older than this no longer count.
REPORT_LIFE_S = 300.0
MAX_CRASHES = 256
# Parts of one report, and reports that an entry publishes.
MAX_REPORTED_PARTS = 64
MAX_PUBLISHED_REPORTS = 16


@attrs.frozen
class CrashReport:
    """What one entry knows of the crash of an engine.

    :ivar crash: Identifies the engine's process that crashed.
    :ivar suspects: Parts of the prompts that the entry had sent to the engine
        and that had no answer yet.
    :ivar cleared: Suspects, its own or those of others, that the entry has seen
        answered.
    """

    crash: str
    suspects: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.define
class Crash:
    """A crash and what the entries report of it.

    :ivar first_seen_s: When this entry first heard of it.
    :ivar reports: The reports by entry.
    """

    first_seen_s: float
    reports: dict[str, CrashReport] = attrs.field(factory=dict)

    def suspects(self) -> set[str]:
        """Return the suspects of all entries, also those that are cleared."""
        return _union(report.suspects for report in self.reports.values())

    def cleared(self) -> set[str]:
        """Return what some entry has cleared."""
        return _union(report.cleared for report in self.reports.values())


@attrs.define
class CrashHistory:
    """The crashes that this entry has heard of, oldest first.

    :ivar crashes: The crashes by identifier.
    :ivar changes: Number of reports added or replaced so far.
    :ivar released_s: When an operator has released a part; earlier crashes do
        not count against it.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)
    changes: int = 0
    released_s: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class Incident:
    """Crashes that happened together.

    :ivar began_s: When the first one was heard of.
    :ivar suspects: The suspects of all of them, also those that are cleared.
    :ivar cleared: What some entry has cleared.
    """

    began_s: float
    suspects: set[str] = attrs.field(factory=set)
    cleared: set[str] = attrs.field(factory=set)


@attrs.frozen
class Culprit:
    """A part that was found to crash engines.

    :ivar part: The part.
    :ivar sole: Whether no other part explains the same incidents.
    """

    part: str
    sole: bool


def add_report(
    history: CrashHistory,
    entry: str,
    report: CrashReport,
    now_s: float,
) -> None:
    """Add an entry's report; it replaces an earlier one of the same crash."""
    crash = history.crashes.setdefault(report.crash, Crash(now_s))
    if crash.reports.get(entry) == report:
        return
    crash.reports[entry] = report
    history.changes += 1
    while len(history.crashes) > MAX_CRASHES:
        history.crashes.pop(next(iter(history.crashes)))


def add_suspects(
    history: CrashHistory,
    entry: str,
    crash: str,
    parts: abc.Iterable[str],
    now_s: float,
) -> None:
    """Add the parts of one more prompt to an entry's report of a crash."""
    report = _report_of(history, entry, crash)
    suspects = dict.fromkeys((*report.suspects, *parts))
    limited = tuple(suspects)[:MAX_REPORTED_PARTS]
    add_report(history, entry, attrs.evolve(report, suspects=limited), now_s)


def clear_answered(
    history: CrashHistory,
    entry: str,
    answered: answered_parts.AnsweredParts,
    now_s: float,
) -> bool:
    """Clear the suspects that an entry has seen answered.

    :param entry: The entry, whose reports are updated.
    :param answered: The parts that it has seen answered.
    :returns: Whether its reports have changed.
    """
    changed = False
    incidents = _incidents(history)
    for name, crash in list(history.crashes.items()):
        known = tuple(
            part
            for part in sorted(crash.suspects() - crash.cleared())
            if _is_answered(incidents, part, answered.last_s(part))
        )
        if known:
            report = _report_of(history, entry, name)
            cleared = (*report.cleared, *known)
            add_report(
                history, entry, attrs.evolve(report, cleared=cleared), now_s
            )
            changed = True
    return changed


def published(
    history: CrashHistory,
    entry: str,
) -> tuple[CrashReport, ...]:
    """Return an entry's own reports, oldest first, the latest ones only."""
    own = [
        crash.reports[entry]
        for crash in history.crashes.values()
        if entry in crash.reports
    ]
    return tuple(own[-MAX_PUBLISHED_REPORTS:])


def is_reporter(history: CrashHistory, entry: str, part: str) -> bool:
    """Return whether an entry has reported a part as a suspect."""
    return any(
        part in crash.reports[entry].suspects
        for crash in history.crashes.values()
        if entry in crash.reports
    )


def release(history: CrashHistory, part: str, now_s: float) -> None:
    """Record that an operator has released a part."""
    history.released_s[part] = now_s


def expire(history: CrashHistory, now_s: float) -> None:
    """Remove the crashes and releases that no longer count."""
    for part, released_s in list(history.released_s.items()):
        if now_s - released_s > REPORT_LIFE_S:
            history.released_s.pop(part)
    for name, crash in list(history.crashes.items()):
        if now_s - crash.first_seen_s > REPORT_LIFE_S:
            history.crashes.pop(name)


def culprits(
    history: CrashHistory,
    popularity: abc.Callable[[str], int],
) -> list[Culprit]:
    """Return the parts that were found to crash engines in the last incident.

    The part that is suspected in most incidents explains those; another part is
    found only by incidents that remain. Of parts suspected equally often, those
    that were answered least are found.

    :param history: The crashes.
    :param popularity: Returns how often a part was answered.
    """
    found: list[Culprit] = []
    unexplained = [
        _counted_suspects(history, incident) for incident in _incidents(history)
    ]
    latest = unexplained[-1] if unexplained else set()
    while True:
        likely = _most_suspected(unexplained, popularity)
        if not likely:
            return found
        found.extend(
            Culprit(part, len(likely) == 1) for part in sorted(likely & latest)
        )
        unexplained = [
            suspected for suspected in unexplained if not suspected & likely
        ]


def _most_suspected(
    incidents: list[set[str]],
    popularity: abc.Callable[[str], int],
) -> set[str]:
    """Return the parts that are suspected in the most incidents.

    The set is empty if these are fewer than ``MIN_INCIDENTS``.
    """
    counts: dict[str, int] = {}
    for named in itertools.chain.from_iterable(incidents):
        counts[named] = counts.get(named, 0) + 1
    most = max(counts.values(), default=0)
    if most < MIN_INCIDENTS:
        return set()
    likely = [part for part, count in counts.items() if count == most]
    fewest_answers = min(map(popularity, likely))
    return {
        suspect for suspect in likely if popularity(suspect) == fewest_answers
    }


def _counted_suspects(history: CrashHistory, incident: Incident) -> set[str]:
    """Return the suspects of an incident, not cleared and not released since."""
    return {
        part
        for part in incident.suspects - incident.cleared
        if history.released_s.get(part, 0) < incident.began_s
    }


def _incidents(history: CrashHistory) -> list[Incident]:
    """Return the crashes, those that happened together as one incident."""
    incidents: list[Incident] = []
    for crash in history.crashes.values():
        began_s = incidents[-1].began_s if incidents else None
        if began_s is None or crash.first_seen_s - began_s >= INCIDENT_S:
            incidents.append(Incident(crash.first_seen_s))
        incidents[-1].suspects |= crash.suspects()
        incidents[-1].cleared |= crash.cleared()
    return incidents


def _is_answered(
    incidents: list[Incident],
    part: str,
    answered_s: float | None,
) -> bool:
    """Return whether the last answer to a part still clears it."""
    if answered_s is None:
        return False
    since = [
        incident
        for incident in incidents
        if incident.began_s > answered_s and part in incident.suspects
    ]
    return len(since) <= MAX_INCIDENTS_SINCE_ANSWER


def _union(groups: abc.Iterable[abc.Iterable[str]]) -> set[str]:
    return set(itertools.chain.from_iterable(groups))


def _report_of(history: CrashHistory, entry: str, crash: str) -> CrashReport:
    known = history.crashes.get(crash)
    reports = known.reports if known else {}
    return reports.get(entry) or CrashReport(crash)
