"""Groups crashes that happened together, and clears what was answered."""

import attrs

from camphorstair_core.fleet import answered_parts, crash_reports

# Crashes within this time count as one incident: a rack or a group that fails
# as a whole says little about the prompts there.
INCIDENT_S = 1.0
# Incidents since the last answer to a part up to which it counts as answered: a
# new version of the weights may crash on what was answered before.
MAX_INCIDENTS_SINCE_ANSWER = 2


@attrs.define
class Incident:
    """Crashes that happened together.

    :ivar began_s: When the first one was heard of.
    :ivar suspects: The suspects of all of them, also those that are cleared.
    :ivar cleared: What some entry has cleared.
    :ivar repeated: The requests sent though an earlier crash was known.
    """

    began_s: float
    suspects: set[str] = attrs.field(factory=set)
    cleared: set[str] = attrs.field(factory=set)
    repeated: set[str] = attrs.field(factory=set)


def incidents(history: crash_reports.CrashHistory) -> list[Incident]:
    """Return the crashes, those that happened together as one incident."""
    found: list[Incident] = []
    for crash in history.crashes.values():
        began_s = found[-1].began_s if found else None
        if began_s is None or crash.first_seen_s - began_s >= INCIDENT_S:
            found.append(Incident(crash.first_seen_s))
        found[-1].suspects |= crash.suspects()
        found[-1].cleared |= crash.cleared()
        found[-1].repeated |= crash.repeated()
    return found


def counted_suspects(
    history: crash_reports.CrashHistory, incident: Incident
) -> set[str]:
    """Return an incident's suspects, not cleared and not released since."""
    return {
        part
        for part in incident.suspects - incident.cleared
        if history.released_s.get(part, 0) < incident.began_s
    }


def clear_answered(
    history: crash_reports.CrashHistory,
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
    known_incidents = incidents(history)
    for name, crash in list(history.crashes.items()):
        known = tuple(
            part
            for part in sorted(crash.suspects() - crash.cleared())
            if _is_answered(known_incidents, part, answered.last_s(part))
        )
        if known:
            report = crash_reports.report_of(history, entry, name)
            cleared = (*report.cleared, *known)
            crash_reports.add_report(
                history, entry, attrs.evolve(report, cleared=cleared), now_s
            )
            changed = True
    return changed


def _is_answered(
    known_incidents: list[Incident],
    part: str,
    answered_s: float | None,
) -> bool:
    """Return whether the last answer to a part still clears it."""
    if answered_s is None:
        return False
    since = [
        incident
        for incident in known_incidents
        if incident.began_s > answered_s and part in incident.suspects
    ]
    return len(since) <= MAX_INCIDENTS_SINCE_ANSWER
