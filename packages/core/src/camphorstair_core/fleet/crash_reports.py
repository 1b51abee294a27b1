"""What entries report to each other of the crashes of endpoints.

A request, or a part of its prompt, may crash each endpoint that begins to run
it. Several requests run on an endpoint when it crashes, and each entry knows
only its own, so the entries report to each other which ones had no answer yet.

A suspect is a request, by its identity, or a part of a prompt. It is suspected
while no entry has seen an answer to it. Parts that other prompts share, as a
common first part, are soon cleared: an entry that has answered them says so.
``crash_culprits`` tells which suspects are found to crash endpoints.
"""

import itertools
from collections import abc

import attrs

from camphorstair_core import decoding

# Reports older than this no longer count.
REPORT_LIFE_S = 300.0
MAX_CRASHES = 256
# Parts of one report, and reports that an entry publishes.
MAX_REPORTED_PARTS = 64
MAX_PUBLISHED_REPORTS = 16


@attrs.frozen
class CrashReport:
    """What one entry knows of the crash of an engine.

    :ivar crash: Identifies the endpoint's process that crashed.
    :ivar suspects: The requests that the entry had sent to the endpoint and
        that had no answer yet, and the parts of their prompts.
    :ivar cleared: Suspects, its own or those of others, that the entry has seen
        answered.
    :ivar repeated: The requests that the entry knew, as it sent them, to be
        suspects of an earlier crash.
    """

    crash: decoding.Name
    suspects: decoding.Names = ()
    cleared: decoding.Names = ()
    repeated: decoding.Names = ()


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

    def repeated(self) -> set[str]:
        """Return the requests sent though an earlier crash was known."""
        return _union(report.repeated for report in self.reports.values())


@attrs.define
class CrashHistory:
    """The crashes that this entry has heard of, oldest first.

    :ivar crashes: The crashes by identifier.
    :ivar changes: Number of reports added or replaced so far.
    :ivar released_s: When a suspect was released; earlier crashes do not count
        against it.
    :ivar suspected: The suspects of all these crashes, not released since.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)
    changes: int = 0
    released_s: dict[str, float] = attrs.field(factory=dict)
    suspected: set[str] = attrs.field(factory=set)


@attrs.frozen
class Suspicion:
    """What one request makes suspect when its endpoint crashes.

    :ivar suspects: The request and the parts of its prompt.
    :ivar repeated: The request, if an earlier crash under it was known as it
        was sent.
    """

    suspects: tuple[str, ...]
    repeated: tuple[str, ...] = ()


def crash_name(endpoint: str, born_ms: int) -> str:
    """Return what identifies an endpoint's process that crashed."""
    return f'{endpoint}@{born_ms}'


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
    history.suspected.update(_counted(history, crash))
    while len(history.crashes) > MAX_CRASHES:
        history.crashes.pop(next(iter(history.crashes)))
        _collect_suspected(history)


def add_suspects(
    history: CrashHistory,
    entry: str,
    crash: str,
    suspicion: Suspicion,
    now_s: float,
) -> None:
    """Add what one more request makes suspect to an entry's report."""
    report = report_of(history, entry, crash)
    suspects = dict.fromkeys((*report.suspects, *suspicion.suspects))
    repeated = dict.fromkeys((*report.repeated, *suspicion.repeated))
    extended = attrs.evolve(
        report,
        suspects=tuple(suspects)[:MAX_REPORTED_PARTS],
        repeated=tuple(repeated)[:MAX_REPORTED_PARTS],
    )
    add_report(history, entry, extended, now_s)


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


def has_report(history: CrashHistory, entry: str, crash: str) -> bool:
    """Return whether an entry's report of a crash is known."""
    known = history.crashes.get(crash)
    return known is not None and entry in known.reports


def is_suspected(history: CrashHistory, suspect: str) -> bool:
    """Return whether a suspect was at an endpoint that crashed."""
    return suspect in history.suspected


def release(history: CrashHistory, part: str, now_s: float) -> None:
    """Record that a suspect was released."""
    history.released_s[part] = now_s
    history.suspected.discard(part)


def expire(history: CrashHistory, now_s: float) -> None:
    """Remove the crashes and releases that no longer count."""
    for part, released_s in list(history.released_s.items()):
        if now_s - released_s > REPORT_LIFE_S:
            history.released_s.pop(part)
    for name, crash in list(history.crashes.items()):
        if now_s - crash.first_seen_s > REPORT_LIFE_S:
            history.crashes.pop(name)
            _collect_suspected(history)


def _collect_suspected(history: CrashHistory) -> None:
    history.suspected = _union(
        _counted(history, crash) for crash in history.crashes.values()
    )


def _counted(history: CrashHistory, crash: Crash) -> set[str]:
    """Return the suspects of a crash that were not released since."""
    return {
        suspect
        for suspect in crash.suspects()
        if history.released_s.get(suspect, 0) < crash.first_seen_s
    }


def _union(groups: abc.Iterable[abc.Iterable[str]]) -> set[str]:
    return set(itertools.chain.from_iterable(groups))


def report_of(history: CrashHistory, entry: str, crash: str) -> CrashReport:
    """Return an entry's report of a crash, or an empty one."""
    known = history.crashes.get(crash)
    reports = known.reports if known else {}
    return reports.get(entry) or CrashReport(crash)
