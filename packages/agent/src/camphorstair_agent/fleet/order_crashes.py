"""Stops giving a rank group orders under which its engines crash.

An order without an answer whose engine refuses connections may have crashed it.
Agents report such orders through the store as entries report requests, and
conclude alike from the reports of both. While a kind of order is found to crash
engines, the planner begins no switch, but for a trial from time to time.
"""

import logging

import attrs
import curio
import msgspec

from camphorstair_agent.fleet import rank_calls, state
from camphorstair_core.experts import group_orders
from camphorstair_core.fleet import (
    answered_parts,
    crash_culprits,
    crash_incidents,
    crash_reports,
    quarantine,
    roster,
    suspect_kinds,
)
from camphorstair_fleet import crash_checks, keys
from camphorstair_platform import store, store_errors
from camphorstair_runtime import clocks

# The orders that are given again with each new map. An order to go on is never
# withheld: a group that is held would stand still.
SWITCH_KINDS = (
    group_orders.OrderKind.prepare,
    group_orders.OrderKind.hold,
    group_orders.OrderKind.arm,
)

# Time until reports are written again that the store did not take.
RETRY_INTERVAL_S = 0.5

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class OrderCrashes:
    """What this agent knows of orders that crash engines.

    :ivar agent: The agent's state, with the reports of crashes.
    :ivar client: Client of the store.
    :ivar checks: Checks whether an engine's process has ended.
    :ivar quarantined: The kinds of orders that are not given.
    :ivar answered: The orders that were carried out.
    :ivar last_published: The reports that the store has of this agent.
    :ivar published_era: Era of the store in which they were written.
    :ivar concluded_changes: Up to which report conclusions were drawn.
    """

    agent: state.FleetAgent
    client: store.StoreClient
    checks: crash_checks.CrashChecks = attrs.field(
        factory=crash_checks.CrashChecks
    )
    quarantined: quarantine.Quarantine = attrs.field(
        factory=quarantine.Quarantine
    )
    answered: answered_parts.AnsweredParts = attrs.field(
        factory=answered_parts.AnsweredParts
    )
    last_published: tuple[crash_reports.CrashReport, ...] = ()
    published_era: int = 0
    concluded_changes: int = 0

    async def run(self) -> None:
        """Write this agent's reports to the store until cancelled.

        The planner must not wait for the store: its group may be held.
        """
        while True:
            await self.agent.crash_news.wait()
            self.agent.crash_news.clear()
            while not await self._publish():
                await curio.sleep(RETRY_INTERVAL_S)

    async def check(
        self, unanswered: rank_calls.Orders, ranks: rank_calls.Ranks
    ) -> None:
        """Report the orders whose engines have ended without an answer.

        :param unanswered: The orders without an answer.
        :param ranks: The registrations of the group by rank.
        """
        async with curio.TaskGroup() as group:
            for order in unanswered:
                if order.kind in SWITCH_KINDS:
                    await group.spawn(self._check_one, order, ranks[order.rank])
        await self.agent.crash_news.set()

    def may_begin_switch(self, group: str) -> bool:
        """Return whether a switch may begin, if only as a trial."""
        now_s = clocks.monotonic_s()
        crash_reports.expire(self.agent.crashes, now_s)
        self.quarantined.expire(now_s)
        self._conclude(now_s)
        found = self.quarantined.find(_suspects(group), now_s)
        return found is None or found.remaining_s <= 0

    def note_begun(self, group: str) -> None:
        """Note that a switch has begun, a trial of what is quarantined."""
        now_s = clocks.monotonic_s()
        for suspect in _suspects(group):
            hold = self.quarantined.holds.get(suspect)
            if hold is not None:
                _begin_trial(suspect, hold, now_s)

    async def note_completed(self, group: str) -> None:
        """Note that a switch was completed, so its orders crash nothing."""
        suspects = _suspects(group)
        crashes = self.agent.crashes
        if not any(suspect in crashes.suspected for suspect in suspects):
            return
        now_s = clocks.monotonic_s()
        self.answered.record(suspects, now_s)
        crash_incidents.clear_answered(
            crashes, self.agent.settings.name, self.answered, now_s
        )
        for suspect in suspects:
            self.quarantined.release(suspect)
        await self.agent.crash_news.set()

    async def _publish(self) -> bool:
        """Write this agent's reports to the store if it does not have them.

        :returns: Whether it has them.
        """
        own = self.agent.settings.name
        reports = crash_reports.published(self.agent.crashes, own)
        era = self.agent.store_era
        unchanged = (self.last_published, self.published_era)
        if not reports or (reports, era) == unchanged:
            return True
        key = keys.crash_reports(own)
        try:
            lease = await self.client.grant(crash_reports.REPORT_LIFE_S)
            put = store.Put(key, msgspec.json.encode(reports), lease)
            await self.client.transact((), (put,))
        except store_errors.StoreError as error:
            _LOG.warning('%s not written: %s', key, error)
            return False
        self.last_published = reports
        self.published_era = era
        return True

    async def _check_one(
        self, order: group_orders.Order, registration: roster.Registration
    ) -> None:
        """Report an order if its engine has ended."""
        if not await self.checks.has_ended(registration.address):
            return
        crash = crash_reports.crash_name(
            registration.endpoint, registration.born_ms
        )
        _LOG.warning(
            'the engine crashed before it answered an order',
            extra={
                'crash': crash,
                'order': order.kind.value,
                'version': order.version,
            },
        )
        crash_reports.add_suspects(
            self.agent.crashes,
            self.agent.settings.name,
            crash,
            crash_reports.Suspicion((_suspect(order.kind, registration),)),
            clocks.monotonic_s(),
        )

    def _conclude(self, now_s: float) -> None:
        """Quarantine the kinds of orders that were found to crash engines."""
        crashes = self.agent.crashes
        if self.concluded_changes == crashes.changes:
            return
        self.concluded_changes = crashes.changes
        for culprit in crash_culprits.culprits(crashes, self.answered.count):
            kind = suspect_kinds.kind_of(culprit.suspect)
            if kind is not suspect_kinds.SuspectKind.order:
                continue
            hold = self.quarantined.holds.get(culprit.suspect)
            delay_s = quarantine.trial_delay_s(
                hold.trials if hold else 0, sole=culprit.sole
            )
            self.quarantined.add(culprit.suspect, delay_s, now_s)
            _LOG.warning(
                'order quarantined',
                extra={'part': culprit.suspect, 'delay_s': delay_s},
            )


def _begin_trial(suspect: str, hold: quarantine.Hold, now_s: float) -> None:
    """Put the next trial off, as an order is given again."""
    hold.trials += 1
    hold.trial_s = now_s + quarantine.trial_delay_s(hold.trials)
    hold.end_s = now_s + quarantine.QUARANTINE_S
    _LOG.info(
        'trial of a quarantined order',
        extra={'part': suspect, 'trials': hold.trials},
    )


def _suspects(group: str) -> list[str]:
    return [suspect_kinds.order(kind.value, group) for kind in SWITCH_KINDS]


def _suspect(
    kind: group_orders.OrderKind, registration: roster.Registration
) -> str:
    """Return the suspect for an order to a rank."""
    membership = registration.membership
    return suspect_kinds.order(
        kind.value, membership.group if membership else ''
    )
