"""Counts streams that their engines presumably interrupted for lack of memory.

An engine does not report which requests it interrupts. A stream counts if it
pauses for longer than its route's target while its engine's memory is almost
full.
"""

import logging

import attrs

from camphorstair.fleet import calls, state
from camphorstair_core.fleet import catalogue, memory_placement, placement

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class PauseWatch:
    """Watches the pauses of one stream.

    :ivar entry: The entry's state.
    :ivar call: The request.
    :ivar candidate: The endpoint that sends the stream.
    :ivar profile: The profile of its engine.
    :ivar last_event_s: When the last event came; None before the first.
    :ivar counted: Whether the stream was counted.
    """

    entry: state.FleetEntry
    call: calls.Call
    candidate: placement.Candidate
    profile: catalogue.EngineProfile
    last_event_s: float | None = None
    counted: bool = False

    def note_events(self, now_s: float) -> None:
        """Note that events have come; count the stream if it had paused."""
        before_s = self.last_event_s
        self.last_event_s = now_s
        if before_s is None or self.counted:
            return
        pause_s = now_s - before_s
        load = self.candidate.load
        if pause_s > self.call.route.gap_target_s and (
            memory_placement.is_almost_full(load, self.profile, now_s)
        ):
            self.counted = True
            self.entry.meters.preempted_streams.add(
                1, {'route': self.call.route.name}
            )
            _LOG.info(
                'stream paused while the memory of its engine was almost full',
                extra={
                    'request': self.call.caller_headers.attempt,
                    'endpoint': self.candidate.endpoint.registration.endpoint,
                    'pause_s': round(pause_s, 3),
                    'kv_used': load.kv_reported,
                },
            )


def watch(
    entry: state.FleetEntry,
    call: calls.Call,
    candidate: placement.Candidate,
) -> PauseWatch | None:
    """Return the watch of an attempt's stream.

    :returns: None if the route has no target for pauses, or the service no
        engine with a profile.
    """
    configuration = entry.configuration
    if configuration is None or call.route.gap_target_s <= 0:
        return None
    service = configuration.services.get(call.service)
    if service is None or service.engine is None:
        return None
    return PauseWatch(entry, call, candidate, service.engine)
