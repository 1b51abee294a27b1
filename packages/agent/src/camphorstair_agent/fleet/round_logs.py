"""Logs why the rounds of a planner plan no new expert map."""

import enum
import logging
from collections import abc

import attrs

# Longest time between two lines. A line is also logged when the reason changes.
REPEAT_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class Reason(enum.StrEnum):
    """Why a round plans no new map."""

    unregistered = 'ranks are not registered'
    silent = 'ranks do not reply'
    quarantined = 'orders to switch crash engines'
    mixed_maps = 'ranks use different maps'
    unread_map = 'the map in use could not be read'
    small_gain = 'the gain would be too small'


@attrs.define
class RoundLog:
    """The rounds of a planner without a new map since the last line.

    :ivar reason: The reason that was logged last, if any.
    :ivar repeat_s: When the same reason is logged again; monotonic clock.
    :ivar rounds: Number of rounds since the last line.
    """

    reason: Reason | None = None
    repeat_s: float = 0
    rounds: int = 0

    def note(
        self,
        reason: Reason,
        now_s: float,
        details: abc.Callable[[], dict[str, object]] = dict,
    ) -> None:
        """Note a round that plans no new map; log a line if one is due.

        :param reason: Why it plans none.
        :param now_s: Current time; monotonic clock.
        :param details: Returns what the round knows, the fields of a line;
            called only for a line that is due.
        """
        self.rounds += 1
        if reason is self.reason and now_s < self.repeat_s:
            return
        _LOG.info(
            'no new expert map: %s',
            reason.value,
            extra={'rounds': self.rounds, **details()},
        )
        self.reason = reason
        self.repeat_s = now_s + REPEAT_INTERVAL_S
        self.rounds = 0
