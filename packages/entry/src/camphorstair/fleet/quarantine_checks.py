"""Refuses the requests that crash endpoints, but for trials."""

import attrs

from camphorstair.fleet import quarantining, state
from camphorstair_core import errors
from camphorstair_core.fleet import quarantine, suspect_kinds, waiting
from camphorstair_runtime import clocks

# Shortest retry-after of a request whose trial is due but was not claimed.
MIN_RETRY_AFTER_S = 2.1


@attrs.define(eq=False)
class QuarantineCheck:
    """Checks requests against what is quarantined.

    :ivar entry: The entry's state.
    :ivar keeper: Claims trials.
    """

    entry: state.FleetEntry
    keeper: quarantining.QuarantineKeeper

    def check(self, waiter: waiting.Waiter) -> None:
        """Refuse a request that crashes endpoints.

        :raises errors.RequestError: if it or a part of its prompt is
            quarantined and it is no trial.
        """
        found = self._find(waiter)
        if found is not None:
            raise _error(found)

    async def claim_trials(self, waiter: waiting.Waiter) -> None:
        """Make a request the trial of what is quarantined in it, if it may.

        Nothing is claimed while something in it must wait longer.
        """
        found = self._find(waiter)
        if found is None or found.remaining_s > 0:
            return
        for suspect in waiter.untried():
            if await self.keeper.claim_trial(suspect, waiter.request):
                waiter.trials.add(suspect)

    def _find(
        self, waiter: waiting.Waiter
    ) -> quarantine.QuarantinedSuspect | None:
        return self.entry.crashes.quarantined.find(
            waiter.untried(), clocks.monotonic_s()
        )


def _error(found: quarantine.QuarantinedSuspect) -> errors.RequestError:
    retry_after_s = max(found.remaining_s, MIN_RETRY_AFTER_S)
    if suspect_kinds.is_request(found.part):
        return errors.RequestError(
            errors.request_quarantined,
            f'endpoints crash under this request, {found.part}',
            retry_after_s=retry_after_s,
        )
    return errors.RequestError(
        errors.prompt_quarantined,
        f'engines crash on part {found.part} of the prompt',
        retry_after_s=retry_after_s,
    )
