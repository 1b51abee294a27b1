"""What an entry knows of endpoints that crash under requests."""

import attrs
import curio

from camphorstair_core.fleet import answered_parts, crash_reports, quarantine
from camphorstair_fleet import crash_checks


@attrs.define(eq=False)
class CrashState:
    """What an entry knows of endpoints that crash under requests.

    :ivar answered: Requests and parts of prompts that were answered.
    :ivar history: The crashes that entries have reported.
    :ivar quarantined: Requests and parts of prompts that no endpoint is sent.
    :ivar checks: Checks whether an endpoint's process has ended.
    :ivar answered_trials: Suspects whose trials were answered and whose keys
        are still in the store.
    :ivar store_era: Era of the store that this entry follows.
    :ivar news: Set when a crash was reported, a trial was answered or the
        store's era has changed.
    """

    answered: answered_parts.AnsweredParts = attrs.field(
        factory=answered_parts.AnsweredParts
    )
    history: crash_reports.CrashHistory = attrs.field(
        factory=crash_reports.CrashHistory
    )
    quarantined: quarantine.Quarantine = attrs.field(
        factory=quarantine.Quarantine
    )
    answered_trials: set[str] = attrs.field(factory=set)
    store_era: int = 0
    checks: crash_checks.CrashChecks = attrs.field(
        factory=crash_checks.CrashChecks
    )
    news: curio.Event = attrs.field(factory=curio.Event)
